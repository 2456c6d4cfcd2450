#include "state.hpp"

#include <algorithm>

namespace cicada::batch
{

namespace
{

constexpr milliseconds idle_place_pause{40}; //!< between passes without events
/** Interval of the visits to the runs of all workers for expired leases,
 * unknown jobs and orders to resend, each of which may be this much late. The
 * timer fires more often, for polls. */
constexpr milliseconds maintenance_interval{50};

/** In a large fleet, not every time_passed event visits the workers, unless
 * tasks wait for the scheduler to be settled. */
bool visit_due(scheduler const& s)
{
    return !s.settled || s.now >= s.next_visit;
}

bool maintenance_due(scheduler const& s)
{
    return visit_due(s) && (!s.settled || s.now >= s.next_maintenance);
}

struct dispatcher
{
    scheduler& s;

    void operator()(time_passed const& given) const
    {
        this->s.list_lag = given.list_lag;
        renew_leadership(this->s);
        if (visit_due(this->s))
        {
            check_claim(this->s);
        }
        if (maintenance_due(this->s))
        {
            expire_leases(this->s);
            read_unknown_jobs(this->s);
        }
        if (visit_due(this->s))
        {
            save_roster_changes(this->s);
        }
        // No event reports that a requester or an avoided worker is available
        // again, so passes also run periodically.
        if (this->s.now >= this->s.next_placement + idle_place_pause)
        {
            this->s.placement_due = true;
        }
    }

    void operator()(claim_checked const& given) const
    {
        handle_claim_check(this->s, given);
    }

    void operator()(worker_listed const& given) const
    {
        list_worker(this->s, given.offer);
    }

    void operator()(worker_unlisted const& given) const
    {
        unlist_worker(this->s, given.worker);
    }

    void operator()(worker_recorded const& given) const
    {
        record_worker(this->s, given);
    }

    void operator()(roster_saved const& given) const
    {
        handle_roster_outcome(this->s, given);
    }

    void operator()(worker_list_complete const&) const
    {
        this->s.list_complete = true;
    }

    void operator()(job_stored const& given) const
    {
        handle_job(this->s, given);
    }

    void operator()(jobs_read const& given) const
    {
        handle_jobs_read(this->s, given);
    }

    void operator()(cancel_stored const& given) const
    {
        cancel_job(this->s, given.job);
    }

    void operator()(poll_answered const& given) const
    {
        handle_poll_answer(this->s, given);
    }

    void operator()(poll_failed const& given) const
    {
        handle_poll_failure(this->s, given);
    }

    void operator()(start_answered const& given) const
    {
        handle_start_answer(this->s, given);
    }

    void operator()(stop_answered const& given) const
    {
        handle_stop_answer(this->s, given);
    }

    void operator()(advice_answered const& given) const
    {
        handle_advice(this->s, given);
    }

    void operator()(progress_saved const& given) const
    {
        handle_save_outcome(this->s, given);
    }

    void operator()(customers_changed const& given) const
    {
        handle_customers(this->s, given);
    }

    void operator()(queues_changed const& given) const
    {
        handle_queues(this->s, given);
    }

    void operator()(advice_requesters_changed const& given) const
    {
        std::map<std::string, requester_record> next;
        for (std::string const& name : given.requesters)
        {
            auto const known = this->s.requesters.find(name);
            next[name] = known == this->s.requesters.end() ? requester_record{}
                                                           : known->second;
        }
        this->s.requesters = std::move(next);
        this->s.placement_due = true;
    }
};

/** Visitor that returns the worker that an event concerns; empty: none, or all
 * workers. */
struct worker_named
{
    std::string operator()(worker_listed const& given) const
    {
        return given.offer.id;
    }

    template <class T>
    std::string operator()(T const& given) const
    {
        if constexpr (requires { given.worker; })
        {
            return given.worker;
        }
        else
        {
            return "";
        }
    }
};

/** Makes the calls that are due: to all workers on time_passed, and only to the
 * event's worker otherwise, so that an event's cost doesn't grow with the
 * fleet. */
void make_due_calls(scheduler& s, event_body const& happened)
{
    if (std::holds_alternative<time_passed>(happened))
    {
        if (!visit_due(s))
        {
            return;
        }
        s.next_visit = s.now + visit_interval(s);
        bool const resend_due = maintenance_due(s);
        if (resend_due)
        {
            s.next_maintenance = s.now + maintenance_interval;
        }
        for (auto& entry : s.workers)
        {
            if (resend_due)
            {
                send_due_orders(s, entry.second);
            }
            poll_if_due(s, entry.second);
        }
        return;
    }
    auto const named = s.workers.find(std::visit(worker_named{}, happened));
    if (named != s.workers.end())
    {
        send_due_orders(s, named->second);
        poll_if_due(s, named->second);
    }
}

} // namespace

void log(scheduler& s, int number, std::string detail)
{
    s.effects.emplace_back(log_decision{number, std::move(detail)});
}

std::string to_string(task_ref const& task)
{
    return std::to_string(task.step) + "." + std::to_string(task.index);
}

void scheduler_deleter::operator()(scheduler* owned) const
{
    delete owned;
}

scheduler_ptr make_scheduler(scheduler_settings const& settings, instant now)
{
    scheduler_ptr made(new scheduler);
    made->settings = settings;
    made->now = now;
    made->started_at = now;
    return made;
}

std::vector<effect> step(scheduler& state, event const& happened)
{
    state.now = std::max(state.now, happened.at);
    if (!state.stopped)
    {
        std::visit(dispatcher{state}, happened.body);
    }
    if (!state.stopped)
    {
        place_tasks(state);
        save_changes(state);
        make_due_calls(state, happened.body);
    }
    std::vector<effect> out;
    out.swap(state.effects);
    return out;
}

std::optional<job_state> state_of(scheduler const& state,
                                  std::string const& job)
{
    auto const found = state.jobs.find(job);
    return found == state.jobs.end()
               ? std::nullopt
               : std::optional<job_state>(found->second.stored_state);
}

std::optional<worker_usage> usage_of(scheduler const& state,
                                     std::string const& worker)
{
    auto const found = state.workers.find(worker);
    if (found == state.workers.end())
    {
        return std::nullopt;
    }
    worker_record const& w = found->second;
    return worker_usage{
        w.used, static_cast<int>(w.runs.size()), usable(state, w)};
}

} // namespace cicada::batch
