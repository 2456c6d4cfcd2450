#include "cell_impl.hpp"

#include <algorithm>

namespace cicada::cell
{

namespace
{

constexpr std::size_t full_mesh_members = 16;

} // namespace

void cell_daemon::impl::tick()
{
    this->member_step(membership::timer_fired{});
    this->shared.after(membership_tick,
                       [this]
                       {
                           this->tick();
                       });
}

void cell_daemon::impl::member_step(membership::event_body body)
{
    std::vector<membership::effect> const effects =
        membership::step(this->members, {this->shared.now(), std::move(body)});
    for (membership::effect const& each : effects)
    {
        std::visit(
            [this](auto const& effect)
            {
                this->do_effect(effect);
            },
            each);
    }
}

void cell_daemon::impl::do_effect(membership::grant_lease const&)
{
    this->shared.store.grant(
        this->members.settings.lease,
        [this](result<std::int64_t> const& lease)
        {
            this->shared.note_store(lease.has_value());
            if (!lease.has_value())
            {
                this->member_step(membership::call_failed{});
                return;
            }
            this->shared.store_heard = this->shared.now();
            this->shared.write(132,
                               "lease=" + std::to_string(lease.assume_value()));
            this->member_step(membership::lease_granted{lease.assume_value()});
        });
}

void cell_daemon::impl::do_effect(membership::renew_lease const& effect)
{
    this->shared.store.renew(
        effect.lease,
        [this, lease = effect.lease](result<bool> const& alive)
        {
            this->shared.note_store(alive.has_value());
            if (!alive.has_value())
            {
                this->member_step(membership::call_failed{});
                return;
            }
            if (alive.assume_value())
            {
                this->member_step(membership::lease_renewed{});
                return;
            }
            this->shared.write(133, "lease=" + std::to_string(lease));
            this->member_step(membership::lease_ended{});
        });
}

void cell_daemon::impl::do_effect(membership::end_lease const& effect)
{
    this->shared.store.revoke(
        effect.lease,
        [this](result<bool> const& ended)
        {
            if (!ended.has_value())
            {
                this->shared.write(
                    133, "what=end " + describe(ended.assume_error()));
            }
        });
}

void cell_daemon::impl::do_effect(membership::register_self const& effect)
{
    platform::kv_transaction change;
    change.writes.push_back({keys::daemons + this->shared.settings.name,
                             encode_member(this->members.settings.self),
                             effect.lease});
    this->shared.store.commit(
        change,
        [this](result<platform::kv_commit_result> const& done)
        {
            if (!done.has_value())
            {
                this->member_step(membership::call_failed{});
                return;
            }
            if (done.assume_value().outcome ==
                platform::kv_commit_status::no_lease)
            {
                this->member_step(membership::lease_ended{});
                return;
            }
            this->member_step(membership::registered{});
        });
}

void cell_daemon::impl::do_effect(membership::claim_placer const& effect)
{
    platform::kv_transaction change;
    change.conditions = {{keys::placer, effect.placer_revision},
                         {keys::epoch, effect.epoch_revision}};
    change.writes = {
        {keys::placer,
         encode_claim(
             {this->shared.settings.name, this->incarnation, effect.epoch}),
         effect.lease},
        {keys::epoch, std::to_string(effect.epoch), 0}};
    this->shared.store.commit(
        change,
        [this, effect](result<platform::kv_commit_result> const& done)
        {
            this->take_claim(effect, done);
        });
}

void cell_daemon::impl::take_claim(
    membership::claim_placer const& claim,
    result<platform::kv_commit_result> const& done)
{
    if (!done.has_value())
    {
        if (done.assume_error().code == error_code::unavailable)
        {
            this->member_step(membership::call_failed{});
            return;
        }
        this->check_claim(claim);
        return;
    }
    switch (done.assume_value().outcome)
    {
    case platform::kv_commit_status::committed:
        this->epoch_revision = done.assume_value().revision;
        this->member_step(membership::claim_won{claim.epoch});
        return;
    case platform::kv_commit_status::conflict:
        this->shared.write(134, "epoch=" + std::to_string(claim.epoch));
        this->member_step(membership::claim_lost{});
        return;
    case platform::kv_commit_status::no_lease:
        this->member_step(membership::lease_ended{});
        return;
    }
}

/** The claim's answer was lost: only the keys tell. */
void cell_daemon::impl::check_claim(membership::claim_placer const& claim)
{
    this->shared.store.range(
        keys::cell,
        [this, claim](result<platform::kv_page> const& page)
        {
            if (!page.has_value())
            {
                this->shared.after(membership_tick * 4,
                                   [this, claim]
                                   {
                                       this->check_claim(claim);
                                   });
                return;
            }
            watched_prefix::items items;
            for (platform::kv_item const& item : page.assume_value().items)
            {
                items.emplace(item.key, item);
            }
            membership::cell_view const view = decode_view(items);
            bool const mine = view.placer &&
                              view.placer->name == this->shared.settings.name &&
                              view.placer->incarnation == this->incarnation &&
                              view.placer->epoch == claim.epoch;
            if (mine)
            {
                this->epoch_revision = view.epoch_revision;
                this->member_step(membership::claim_won{claim.epoch});
                return;
            }
            this->member_step(membership::claim_lost{});
        });
}

void cell_daemon::impl::do_effect(membership::start_placing const& effect)
{
    if (this->placing)
    {
        this->placing->stop();
    }
    placer_ports ports;
    ports.send = [this](std::string const& daemon, message const& m)
    {
        this->send(daemon, m);
    };
    ports.send_all = [this](message const& m)
    {
        this->send_all(m);
    };
    ports.superseded = [this]
    {
        this->member_step(membership::placer_fenced{});
    };
    this->placing = std::make_shared<placer>(
        this->shared, ports, effect.epoch, this->epoch_revision);
    this->connect_peers();
    this->placing->start();
}

void cell_daemon::impl::do_effect(membership::stop_placing const& effect)
{
    this->shared.write(131, "why=\"" + effect.why + "\"");
    if (this->shared.stopping)
    {
        this->send_all(leaving_message{});
    }
    std::shared_ptr<placer> const ended = std::move(this->placing);
    this->placing.reset();
    if (ended)
    {
        ended->stop();
    }
}

void cell_daemon::impl::take_view(watched_prefix::items const& items)
{
    membership::cell_view const view = decode_view(items);
    if (view.placer && view.placer->name == this->shared.settings.name &&
        view.placer->incarnation == this->incarnation &&
        view.epoch_revision > this->epoch_revision)
    {
        this->epoch_revision = view.epoch_revision;
        if (this->placing)
        {
            this->placing->set_epoch_revision(view.epoch_revision);
        }
    }
    this->member_step(membership::view_changed{view});
    this->connect_peers();
}

/** The placer links to every daemon, the others to the placer; in a small
 * cell all link to all, so that a new placer finds its links open. */
void cell_daemon::impl::connect_peers()
{
    std::set<std::string> wanted;
    bool const few = this->members.view.members.size() <= full_mesh_members;
    std::optional<membership::placer_claim> const& claim =
        this->members.view.placer;
    for (membership::member const& each : this->members.view.members)
    {
        bool const self = each.name == this->shared.settings.name;
        bool const is_placer = claim && claim->name == each.name;
        if (!self && (few || this->placing || is_placer))
        {
            wanted.insert(each.name);
            this->link.connect(each.name, each.link.host, each.link.port);
        }
    }
    for (std::string const& name : this->linked)
    {
        // A daemon that has lost the store may still need its peers.
        if (wanted.count(name) == 0 && this->up.count(name) != 0)
        {
            wanted.insert(name);
        }
        else if (wanted.count(name) == 0)
        {
            this->link.disconnect(name);
        }
    }
    this->linked = std::move(wanted);
    this->set_askers();
}

/** Whoever is connected can ask the advisor, whatever the store says. */
void cell_daemon::impl::set_askers()
{
    if (this->placing)
    {
        std::vector<std::string> askers(this->up.begin(), this->up.end());
        askers.push_back(this->shared.settings.name);
        std::sort(askers.begin(), askers.end());
        this->placing->set_askers(askers);
    }
}

void cell_daemon::impl::note_placer_link(std::string const& peer, bool is_up)
{
    if (peer == this->placer_name())
    {
        this->member_step(membership::placer_link{is_up});
    }
}

/** By the store's key or a load message, whichever has the higher epoch. */
std::string cell_daemon::impl::placer_name() const
{
    std::optional<membership::placer_claim> const& claim =
        this->members.view.placer;
    bool const heard =
        this->heard_epoch > 0 && (!claim || this->heard_epoch >= claim->epoch);
    return heard ? this->heard_placer : claim ? claim->name : "";
}

std::string
cell_daemon::impl::next_peer(std::set<std::string> const& tried) const
{
    std::string placer = this->placer_name();
    if (this->up.count(placer) != 0 && tried.count(placer) == 0)
    {
        return placer;
    }
    for (std::string const& name : this->up)
    {
        if (tried.count(name) == 0)
        {
            return name;
        }
    }
    return "";
}

} // namespace cicada::cell
