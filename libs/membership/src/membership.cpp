#include "membership/membership.hpp"

#include <algorithm>

namespace cicada::membership
{

namespace
{

/** A placer with a message this recent is presumed alive. */
constexpr milliseconds liveness_window{700};
/** An instance is larger if it has half as many cores again: a hand-over stops
 * placement for some tenths of a second. */
constexpr int larger_numerator = 3;
constexpr int larger_denominator = 2;
constexpr milliseconds release_limit{1000}; //!< for the key's deletion

bool is_self(membership_state const& m, placer_claim const& claim)
{
    return claim.name == m.settings.self.name &&
           claim.incarnation == m.settings.self.incarnation;
}

/**
 * This daemon's position, from 0, in the order in which daemons claim a vacant
 * key. Larger instances come first, because the placer makes the calls to all
 * workers.
 */
int rank_of(membership_state const& m)
{
    member const& self = m.settings.self;
    int rank = 0;
    for (member const& other : m.view.members)
    {
        bool const larger = other.milli_cores > self.milli_cores;
        bool const first =
            other.milli_cores == self.milli_cores && other.name < self.name;
        rank += larger || first ? 1 : 0;
    }
    return rank;
}

/** True if the placer's link closed and it hasn't reconnected in time. Its
 * process is then presumed dead, though its lease hasn't expired. */
bool placer_presumed_dead(membership_state const& m, instant now)
{
    return m.placer_link_down_since && m.view.placer &&
           !is_self(m, *m.view.placer) &&
           now >= *m.placer_link_down_since + m.settings.reconnect_grace +
                      m.settings.rank_delay * rank_of(m);
}

/** True while this daemon has just started and others may still be starting. */
bool in_startup_grace(membership_state const& m, instant now)
{
    return m.settings.startup_grace.count() > 0 &&
           (!m.registered_at ||
            now < *m.registered_at + m.settings.startup_grace);
}

bool has_larger_member(membership_state const& m)
{
    return std::any_of(
        m.view.members.begin(),
        m.view.members.end(),
        [&m](member const& each)
        {
            return each.milli_cores * larger_denominator >=
                       m.settings.self.milli_cores * larger_numerator &&
                   each.milli_cores > m.settings.self.milli_cores;
        });
}

bool may_claim(membership_state const& m, instant now)
{
    bool const idle = !m.stopping && !m.placing_epoch;
    // The key keeps the others from placing. A daemon that holds it and was
    // fenced must place again, with a new epoch.
    bool const holds_key = m.view.placer && is_self(m, *m.view.placer);
    if (idle && ((holds_key && now >= m.released_until) ||
                 placer_presumed_dead(m, now)))
    {
        return true;
    }
    if (!m.vacant_since || m.stopping || m.view.placer)
    {
        return false;
    }
    if (m.placing_epoch)
    {
        return true;
    }
    bool const has_released = now < m.released_until && has_larger_member(m);
    if (in_startup_grace(m, now) || has_released)
    {
        return false;
    }
    milliseconds wait = m.settings.rank_delay * rank_of(m);
    if (!m.placer_is_leaving &&
        m.placer_message_at + liveness_window > *m.vacant_since)
    {
        wait += m.settings.incumbent_grace;
    }
    return now >= *m.vacant_since + wait;
}

void clear_lease(membership_state& m)
{
    m.lease = 0;
    m.registered = false;
}

struct handler
{
    membership_state& m;
    instant now;
    std::vector<effect>& out;

    void operator()(timer_fired const&) const {}

    void operator()(view_changed const& given) const
    {
        if (given.view.epoch != this->m.view.epoch)
        {
            this->m.placer_link_down_since.reset();
            this->m.placer_is_leaving = false;
        }
        this->m.view = given.view;
        this->m.has_view = true;
        std::optional<placer_claim> const& placer = this->m.view.placer;
        if (!placer)
        {
            if (!this->m.vacant_since)
            {
                this->m.vacant_since = this->now;
            }
        }
        else
        {
            this->m.vacant_since.reset();
        }
        // The epoch outlives the key of the daemon that claimed it.
        bool const own_claim = placer && is_self(this->m, *placer);
        if (this->m.placing_epoch && !own_claim &&
            this->m.view.epoch > *this->m.placing_epoch)
        {
            this->stop("another daemon has a higher epoch");
        }
        // A claim without an answer may take effect after a read of the store
        // that didn't find it. Then the view reports it.
        if (placer && is_self(this->m, *placer) && !this->m.stopping &&
            this->m.used_epoch < placer->epoch)
        {
            (*this)(claim_won{placer->epoch});
        }
    }

    void operator()(lease_granted const& given) const
    {
        this->m.call_in_flight = false;
        this->m.lease = given.lease;
        this->m.renewed_at = this->now;
        this->m.next_renewal = this->now + this->m.settings.renewal;
    }

    void operator()(call_failed const&) const
    {
        this->m.call_in_flight = false;
        this->m.renewal_in_flight = false;
        this->m.next_call = this->now + this->m.settings.retry_delay;
        this->m.next_renewal = this->now + this->m.settings.retry_delay;
    }

    void operator()(lease_renewed const&) const
    {
        this->m.renewed_at = this->now;
        this->m.renewal_in_flight = false;
    }

    void operator()(lease_ended const&) const
    {
        this->m.renewal_in_flight = false;
        this->m.call_in_flight = false;
        clear_lease(this->m);
    }

    void operator()(registered const&) const
    {
        this->m.call_in_flight = false;
        this->m.registered = true;
        this->m.registered_at = this->m.registered_at.value_or(this->now);
    }

    void operator()(claim_won const& given) const
    {
        this->m.call_in_flight = false;
        if (this->m.stopping || this->m.used_epoch >= given.epoch)
        {
            return; // reported already, perhaps before this daemon was fenced
        }
        this->m.vacant_since.reset();
        this->m.view.placer = placer_claim{this->m.settings.self.name,
                                           this->m.settings.self.incarnation,
                                           given.epoch};
        // If no other daemon had the next epoch, the placer has reclaimed its
        // key: it keeps its state, and its orders keep their lower epoch.
        bool const reclaimed =
            this->m.placing_epoch && *this->m.placing_epoch + 1 == given.epoch;
        this->m.placing_epoch = given.epoch;
        this->m.used_epoch = given.epoch;
        if (!reclaimed)
        {
            this->out.emplace_back(start_placing{given.epoch});
        }
    }

    void operator()(claim_lost const&) const
    {
        this->m.call_in_flight = false;
        this->m.next_call = this->now + this->m.settings.retry_delay;
    }

    void operator()(placer_message_received const& given) const
    {
        if (this->m.placing_epoch && given.epoch > *this->m.placing_epoch)
        {
            this->stop("another daemon places with a higher epoch");
        }
        this->m.placer_message_at = this->now;
        this->m.placer_link_down_since.reset();
    }

    void operator()(placer_link_changed const& given) const
    {
        if (given.up)
        {
            this->m.placer_link_down_since.reset();
        }
        else if (!this->m.placer_link_down_since)
        {
            this->m.placer_link_down_since = this->now;
        }
    }

    void operator()(placer_leaving const&) const
    {
        this->m.placer_is_leaving = true;
    }

    void operator()(placer_fenced const&) const
    {
        if (this->m.placing_epoch)
        {
            this->stop("a worker knows a higher fencing token");
        }
    }

    void operator()(stop_requested const&) const
    {
        this->m.stopping = true;
        if (this->m.placing_epoch)
        {
            this->stop("the daemon is stopping");
        }
        if (this->m.lease != 0)
        {
            this->out.emplace_back(end_lease{this->m.lease});
        }
        clear_lease(this->m);
    }

    void stop(std::string const& why) const
    {
        this->m.placing_epoch.reset();
        this->out.emplace_back(stop_placing{why});
    }
};

/** Ends the placer's role if a larger instance has been ready for long enough.
 */
void hand_over_if_due(membership_state& m,
                      instant now,
                      std::vector<effect>& out)
{
    bool const holds_key = m.placing_epoch && m.view.placer &&
                           is_self(m, *m.view.placer) && !m.stopping;
    if (m.settings.handover_delay.count() == 0 || !holds_key ||
        !has_larger_member(m) || now > m.renewed_at + m.settings.renewal * 2)
    {
        // Without the store no other daemon could claim the key.
        m.larger_since.reset();
        return;
    }
    m.larger_since = m.larger_since.value_or(now);
    if (now < *m.larger_since + m.settings.handover_delay ||
        now < m.next_handover)
    {
        return;
    }
    m.next_handover = now + m.settings.handover_pause;
    m.released_until = now + release_limit;
    m.larger_since.reset();
    m.placing_epoch.reset();
    out.emplace_back(stop_placing{"a larger instance is ready"});
    out.emplace_back(release_placer{m.view.placer_revision});
}

/** Adds the calls that are due: at most one in flight, besides renewals. */
void add_due_calls(membership_state& m, instant now, std::vector<effect>& out)
{
    if (m.stopping)
    {
        return;
    }
    if (m.lease != 0 && !m.renewal_in_flight && now >= m.next_renewal)
    {
        m.renewal_in_flight = true;
        m.next_renewal = now + m.settings.renewal;
        out.emplace_back(renew_lease{m.lease});
    }
    if (m.call_in_flight || now < m.next_call)
    {
        return;
    }
    if (m.lease == 0)
    {
        m.call_in_flight = true;
        out.emplace_back(grant_lease{});
    }
    else if (m.has_view && may_claim(m, now))
    {
        m.call_in_flight = true;
        out.emplace_back(claim_placer{m.lease,
                                      m.view.epoch + 1,
                                      m.view.epoch_revision,
                                      m.view.placer_revision});
    }
    else if (!m.registered)
    {
        m.call_in_flight = true;
        out.emplace_back(register_self{m.lease});
    }
}

} // namespace

membership_state make_membership(membership_settings const& settings,
                                 instant now)
{
    membership_state state;
    state.settings = settings;
    state.next_call = now;
    state.next_renewal = now;
    state.placer_message_at = now - liveness_window * 2;
    return state;
}

std::vector<effect> step(membership_state& state, event const& input)
{
    std::vector<effect> out;
    std::visit(handler{state, input.at, out}, input.body);
    hand_over_if_due(state, input.at, out);
    add_due_calls(state, input.at, out);
    return out;
}

} // namespace cicada::membership
