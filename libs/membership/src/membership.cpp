#include "membership/membership.hpp"

#include <algorithm>

namespace cicada::membership
{

namespace
{

/** A placer that was heard this lately is taken to be alive. */
constexpr milliseconds heard_lately{700};

bool is_self(membership_state const& m, placer_claim const& claim)
{
    return claim.name == m.settings.self.name &&
           claim.incarnation == m.settings.self.incarnation;
}

/** The order in which daemons claim a vacant key: one placer carries the calls
 * of all workers, so the larger instances come first. */
int rank_of(membership_state const& m)
{
    member const& self = m.settings.self;
    int rank = 0;
    for (member const& each : m.view.members)
    {
        bool const larger = each.milli_cores > self.milli_cores;
        bool const first =
            each.milli_cores == self.milli_cores && each.name < self.name;
        rank += larger || first ? 1 : 0;
    }
    return rank;
}

/** The placer's process is gone, though its lease has not run out. */
bool placer_is_gone(membership_state const& m, instant now)
{
    return m.placer_lost && m.view.placer && !is_self(m, *m.view.placer) &&
           now >= *m.placer_lost + m.settings.link_patience +
                      m.settings.rank_pause * rank_of(m);
}

bool may_claim(membership_state const& m, instant now)
{
    if (!m.stopping && !m.placing && placer_is_gone(m, now))
    {
        return true;
    }
    if (!m.vacant_since || m.stopping || m.view.placer)
    {
        return false;
    }
    if (m.placing)
    {
        return true;
    }
    milliseconds wait = m.settings.rank_pause * rank_of(m);
    if (!m.placer_left && m.placer_heard_at + heard_lately > *m.vacant_since)
    {
        wait += m.settings.incumbent_lead;
    }
    return now >= *m.vacant_since + wait;
}

void lose_lease(membership_state& m)
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
            this->m.placer_lost.reset();
            this->m.placer_left = false;
        }
        this->m.view = given.view;
        this->m.viewed = true;
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
        if (this->m.placing && placer && !is_self(this->m, *placer) &&
            placer->epoch > *this->m.placing)
        {
            this->stop("another daemon has a higher epoch");
        }
        // A claim whose answer was lost may be done after it was looked for.
        if (placer && is_self(this->m, *placer) && !this->m.stopping &&
            this->m.placing.value_or(0) < placer->epoch)
        {
            (*this)(claim_won{placer->epoch});
        }
    }

    void operator()(lease_granted const& given) const
    {
        this->m.calling = false;
        this->m.lease = given.lease;
        this->m.next_renewal = this->now + this->m.settings.renewal;
    }

    void operator()(call_failed const&) const
    {
        this->m.calling = false;
        this->m.renewing = false;
        this->m.next_call = this->now + this->m.settings.retry;
        this->m.next_renewal = this->now + this->m.settings.retry;
    }

    void operator()(lease_renewed const&) const
    {
        this->m.renewing = false;
    }

    void operator()(lease_ended const&) const
    {
        this->m.renewing = false;
        this->m.calling = false;
        lose_lease(this->m);
    }

    void operator()(registered const&) const
    {
        this->m.calling = false;
        this->m.registered = true;
    }

    void operator()(claim_won const& given) const
    {
        this->m.calling = false;
        if (this->m.placing.value_or(0) >= given.epoch)
        {
            return; // told before, by the view
        }
        this->m.vacant_since.reset();
        this->m.view.placer = placer_claim{this->m.settings.self.name,
                                           this->m.settings.self.incarnation,
                                           given.epoch};
        // Nobody placed in between, so a placer that reclaims its key keeps
        // its state and its lower epoch.
        bool const reclaimed =
            this->m.placing && *this->m.placing + 1 == given.epoch;
        if (!reclaimed)
        {
            this->m.placing = given.epoch;
            this->out.emplace_back(start_placing{given.epoch});
        }
        else
        {
            this->m.placing = given.epoch;
        }
    }

    void operator()(claim_lost const&) const
    {
        this->m.calling = false;
        this->m.next_call = this->now + this->m.settings.retry;
    }

    void operator()(placer_message_received const&) const
    {
        this->m.placer_heard_at = this->now;
        this->m.placer_lost.reset();
    }

    void operator()(placer_link_changed const& given) const
    {
        if (given.up)
        {
            this->m.placer_lost.reset();
        }
        else if (!this->m.placer_lost)
        {
            this->m.placer_lost = this->now;
        }
    }

    void operator()(placer_leaving const&) const
    {
        this->m.placer_left = true;
    }

    void operator()(placer_fenced const&) const
    {
        if (this->m.placing)
        {
            this->stop("a worker has seen a higher token");
        }
    }

    void operator()(stop_requested const&) const
    {
        this->m.stopping = true;
        if (this->m.placing)
        {
            this->stop("the daemon stops");
        }
        if (this->m.lease != 0)
        {
            this->out.emplace_back(end_lease{this->m.lease});
        }
        lose_lease(this->m);
    }

    void stop(std::string const& why) const
    {
        this->m.placing.reset();
        this->out.emplace_back(stop_placing{why});
    }
};

/** At most one call at a time, but for renewals. */
void call_if_due(membership_state& m, instant now, std::vector<effect>& out)
{
    if (m.stopping)
    {
        return;
    }
    if (m.lease != 0 && !m.renewing && now >= m.next_renewal)
    {
        m.renewing = true;
        m.next_renewal = now + m.settings.renewal;
        out.emplace_back(renew_lease{m.lease});
    }
    if (m.calling || now < m.next_call)
    {
        return;
    }
    if (m.lease == 0)
    {
        m.calling = true;
        out.emplace_back(grant_lease{});
    }
    else if (m.viewed && may_claim(m, now))
    {
        m.calling = true;
        out.emplace_back(claim_placer{m.lease,
                                      m.view.epoch + 1,
                                      m.view.epoch_revision,
                                      m.view.placer_revision});
    }
    else if (!m.registered)
    {
        m.calling = true;
        out.emplace_back(register_self{m.lease});
    }
}

} // namespace

membership_state make_membership(membership_settings const& settings,
                                 instant now)
{
    membership_state made;
    made.settings = settings;
    made.next_call = now;
    made.next_renewal = now;
    made.placer_heard_at = now - heard_lately * 2;
    return made;
}

std::vector<effect> step(membership_state& state, event const& happened)
{
    std::vector<effect> out;
    std::visit(handler{state, happened.at, out}, happened.body);
    call_if_due(state, happened.at, out);
    return out;
}

} // namespace cicada::membership
