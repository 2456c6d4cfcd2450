#include "cell_impl.hpp"

#include <algorithm>

namespace cicada::cell
{

namespace
{

constexpr std::size_t max_full_mesh_members = 16;
constexpr int claim_check_ticks = 4; //!< between reads of the keys

} // namespace

void cell_daemon::impl::tick()
{
    this->step_membership(membership::timer_fired{});
    this->shared.after(membership_tick,
                       [this]
                       {
                           this->tick();
                       });
}

void cell_daemon::impl::step_membership(membership::event_body body)
{
    std::vector<membership::effect> const effects =
        membership::step(this->members, {this->shared.now(), std::move(body)});
    for (membership::effect const& each : effects)
    {
        std::visit(
            [this](auto const& effect)
            {
                this->execute(effect);
            },
            each);
    }
}

void cell_daemon::impl::execute(membership::grant_lease const&)
{
    this->shared.store.grant(
        this->members.settings.lease,
        [this, call = store_call{"what=grant", this->shared.now()}](
            result<std::int64_t> const& lease)
        {
            this->shared.record_store_call(call, lease);
            if (!lease.has_value())
            {
                this->step_membership(membership::call_failed{});
                return;
            }
            this->shared.log_event(events::store_lease_granted,
                                   "lease=" +
                                       std::to_string(lease.assume_value()));
            this->step_membership(
                membership::lease_granted{lease.assume_value()});
        });
}

void cell_daemon::impl::execute(membership::renew_lease const& effect)
{
    this->shared.store.renew(
        effect.lease,
        [this,
         lease = effect.lease,
         call = store_call{"what=renewal", this->shared.now()}](
            result<bool> const& alive)
        {
            this->shared.record_store_call(call, alive);
            if (!alive.has_value())
            {
                this->step_membership(membership::call_failed{});
                return;
            }
            if (alive.assume_value())
            {
                this->step_membership(membership::lease_renewed{});
                return;
            }
            this->shared.log_event(events::store_lease_ended,
                                   "lease=" + std::to_string(lease));
            this->step_membership(membership::lease_ended{});
        });
}

void cell_daemon::impl::execute(membership::end_lease const& effect)
{
    this->shared.store.revoke(effect.lease,
                              [this](result<bool> const& ended)
                              {
                                  if (!ended.has_value())
                                  {
                                      this->shared.log_event(
                                          events::store_lease_ended,
                                          "what=end " +
                                              describe(ended.assume_error()));
                                  }
                              });
}

void cell_daemon::impl::execute(membership::register_self const& effect)
{
    platform::kv_transaction change;
    change.writes.push_back({keys::daemons + this->shared.settings.name,
                             encode_member(this->members.settings.self),
                             effect.lease});
    this->shared.store.commit(
        change,
        [this](result<platform::kv_commit_result> const& reply)
        {
            if (!reply.has_value())
            {
                this->step_membership(membership::call_failed{});
                return;
            }
            if (reply.assume_value().outcome ==
                platform::kv_commit_status::no_lease)
            {
                this->step_membership(membership::lease_ended{});
                return;
            }
            this->step_membership(membership::registered{});
        });
}

void cell_daemon::impl::execute(membership::claim_placer const& effect)
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
        [this, effect](result<platform::kv_commit_result> const& reply)
        {
            this->handle_claim_reply(effect, reply);
        });
}

void cell_daemon::impl::handle_claim_reply(
    membership::claim_placer const& claim,
    result<platform::kv_commit_result> const& reply)
{
    if (!reply.has_value())
    {
        if (reply.assume_error().code == error_code::unavailable)
        {
            this->step_membership(membership::call_failed{});
            return;
        }
        this->check_claim(claim);
        return;
    }
    switch (reply.assume_value().outcome)
    {
    case platform::kv_commit_status::committed:
        this->set_claim(claim.epoch, reply.assume_value().revision);
        this->step_membership(membership::claim_won{claim.epoch});
        return;
    case platform::kv_commit_status::conflict:
        this->shared.log_event(events::placer_claim_lost,
                               "epoch=" + std::to_string(claim.epoch));
        this->check_claim(claim);
        return;
    case platform::kv_commit_status::no_lease:
        this->step_membership(membership::lease_ended{});
        return;
    }
}

void cell_daemon::impl::set_claim(std::uint64_t epoch, std::int64_t revision)
{
    this->epoch_revision = std::max(this->epoch_revision, revision);
    if (this->active_placer)
    {
        this->active_placer->set_claim(epoch, revision);
    }
}

/**
 * Reads the keys to find out whether a claim without an answer succeeded, or
 * what a claim conflicted with: the view must not stay out of date, or every
 * further claim would conflict too.
 */
void cell_daemon::impl::check_claim(membership::claim_placer const& claim)
{
    this->shared.store.range(
        keys::cell,
        [this, claim](result<platform::kv_page> const& page)
        {
            if (!page.has_value())
            {
                this->shared.after(membership_tick * claim_check_ticks,
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
                this->set_claim(claim.epoch, view.epoch_revision);
                this->step_membership(membership::claim_won{claim.epoch});
                return;
            }
            this->step_membership(membership::claim_lost{});
            // The watch may have seen later changes than this read.
            if (page.assume_value().at_revision >=
                this->cell_watch->known_revision())
            {
                this->handle_view(items);
            }
        });
}

void cell_daemon::impl::execute(membership::release_placer const& effect)
{
    this->send_all(leaving_message{});
    platform::kv_transaction change;
    change.conditions = {{keys::placer, effect.placer_revision}};
    change.deletes = {keys::placer};
    this->shared.store.commit(
        change,
        [this, call = store_call{"what=release", this->shared.now()}](
            result<platform::kv_commit_result> const& reply)
        {
            // Unless the key is gone, this daemon claims it again.
            this->shared.record_store_call(call, reply);
        });
}

void cell_daemon::impl::execute(membership::start_placing const& effect)
{
    if (this->active_placer)
    {
        this->active_placer->stop();
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
        this->step_membership(membership::placer_fenced{});
    };
    this->active_placer = std::make_shared<placer>(
        this->shared, ports, effect.epoch, this->epoch_revision);
    this->connect_peers();
    this->active_placer->start();
}

void cell_daemon::impl::execute(membership::stop_placing const& effect)
{
    this->shared.log_event(events::placement_stopped,
                           "why=\"" + effect.why + "\"");
    if (this->shared.stopping)
    {
        this->send_all(leaving_message{});
    }
    std::shared_ptr<placer> const ended = std::move(this->active_placer);
    this->active_placer.reset();
    if (ended)
    {
        ended->stop();
    }
}

void cell_daemon::impl::handle_view(watched_prefix::items const& items)
{
    membership::cell_view const view = decode_view(items);
    if (view.placer && view.placer->name == this->shared.settings.name &&
        view.placer->incarnation == this->incarnation &&
        view.epoch_revision > this->epoch_revision)
    {
        this->set_claim(view.placer->epoch, view.epoch_revision);
    }
    this->step_membership(membership::view_changed{view});
    this->connect_peers();
}

/** Connects the placer to every daemon and the others to the placer. A small
 * cell is a full mesh, so that a new placer is already connected. */
void cell_daemon::impl::connect_peers()
{
    std::set<std::string> wanted;
    bool const full_mesh =
        this->members.view.members.size() <= max_full_mesh_members;
    std::optional<membership::placer_claim> const& claim =
        this->members.view.placer;
    for (membership::member const& each : this->members.view.members)
    {
        bool const self = each.name == this->shared.settings.name;
        bool const is_placer = claim && claim->name == each.name;
        if (!self && (full_mesh || this->active_placer || is_placer))
        {
            wanted.insert(each.name);
            this->link.connect(each.name, each.link.host, each.link.port);
        }
    }
    for (std::string const& name : this->linked_peers)
    {
        // A daemon that can't reach the store needs peers to relay to, so an
        // open connection stays even if the peer is no longer listed.
        if (wanted.count(name) == 0 && this->connected_peers.count(name) != 0)
        {
            wanted.insert(name);
        }
        else if (wanted.count(name) == 0)
        {
            this->link.disconnect(name);
        }
    }
    this->linked_peers = std::move(wanted);
    this->update_askers();
}

/** Any connected daemon can call the advisor, even if the store doesn't list
 * it. */
void cell_daemon::impl::update_askers()
{
    if (this->active_placer)
    {
        std::vector<std::string> askers(this->connected_peers.begin(),
                                        this->connected_peers.end());
        askers.push_back(this->shared.settings.name);
        std::sort(askers.begin(), askers.end());
        this->active_placer->set_askers(askers);
    }
}

void cell_daemon::impl::report_placer_link(std::string const& peer,
                                           bool connected)
{
    if (peer == this->placer_name())
    {
        this->step_membership(membership::placer_link_changed{connected});
    }
}

/** From the store's key or the load messages; the higher epoch wins. */
std::string cell_daemon::impl::placer_name() const
{
    std::optional<membership::placer_claim> const& claim =
        this->members.view.placer;
    bool const by_load =
        this->load_epoch > 0 && (!claim || this->load_epoch >= claim->epoch);
    return by_load ? this->load_sender : claim ? claim->name : "";
}

std::string
cell_daemon::impl::next_peer(std::set<std::string> const& tried) const
{
    std::string placer = this->placer_name();
    if (this->connected_peers.count(placer) != 0 && tried.count(placer) == 0)
    {
        return placer;
    }
    for (std::string const& name : this->connected_peers)
    {
        if (tried.count(name) == 0)
        {
            return name;
        }
    }
    return "";
}

} // namespace cicada::cell
