#include "state.hpp"

#include <algorithm>

namespace cicada::batch
{

namespace
{

constexpr milliseconds idle_place_pause{40}; //!< between passes without events

struct dispatcher
{
    scheduler& s;

    void operator()(time_passed const& given) const
    {
        this->s.list_behind = given.list_behind;
        lapse_workers(this->s);
        // Askers, tickets and avoided workers are free again with time alone.
        if (this->s.now >= this->s.next_place + idle_place_pause)
        {
            this->s.place_wanted = true;
        }
    }

    void operator()(worker_listed const& given) const
    {
        list_worker(this->s, given.offer);
    }

    void operator()(worker_unlisted const& given) const
    {
        unlist_worker(this->s, given.worker);
    }

    void operator()(worker_list_complete const&) const
    {
        this->s.listed_all = true;
    }

    void operator()(job_stored const& given) const
    {
        take_job(this->s, given);
    }

    void operator()(cancel_stored const& given) const
    {
        cancel_job(this->s, given.job);
    }

    void operator()(poll_answered const& given) const
    {
        take_report(this->s, given);
    }

    void operator()(poll_failed const& given) const
    {
        take_look_failure(this->s, given);
    }

    void operator()(start_answered const& given) const
    {
        take_start(this->s, given);
    }

    void operator()(stop_answered const& given) const
    {
        take_stop(this->s, given);
    }

    void operator()(advice_answered const& given) const
    {
        take_advice(this->s, given);
    }

    void operator()(progress_saved const& given) const
    {
        take_saved(this->s, given);
    }

    void operator()(advice_requesters_changed const& given) const
    {
        std::map<std::string, asker_record> next;
        for (std::string const& name : given.requesters)
        {
            auto const known = this->s.askers.find(name);
            next[name] =
                known == this->s.askers.end() ? asker_record{} : known->second;
        }
        this->s.askers = std::move(next);
        this->s.place_wanted = true;
    }
};

/** The worker that an event is about; empty: none, or all of them. */
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

/** Calls that are due: with time anywhere, else only where an event was, so
 * that an event costs the same in a fleet of any size. */
void make_due_calls(scheduler& s, event_body const& happened)
{
    if (std::holds_alternative<time_passed>(happened))
    {
        for (auto& entry : s.workers)
        {
            repeat_orders(s, entry.second);
            look_if_due(s, entry.second);
        }
        return;
    }
    auto const named = s.workers.find(std::visit(worker_named{}, happened));
    if (named != s.workers.end())
    {
        repeat_orders(s, named->second);
        look_if_due(s, named->second);
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
    made->began = now;
    return made;
}

std::vector<effect> step(scheduler& state, event const& happened)
{
    state.now = std::max(state.now, happened.at);
    if (!state.over)
    {
        std::visit(dispatcher{state}, happened.body);
    }
    if (!state.over)
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

std::optional<worker_use> use_of(scheduler const& state,
                                 std::string const& worker)
{
    auto const found = state.workers.find(worker);
    if (found == state.workers.end())
    {
        return std::nullopt;
    }
    worker_record const& w = found->second;
    return worker_use{
        w.used, static_cast<int>(w.runs.size()), usable(state, w)};
}

queue_rule const* find_queue(cell_config const& config,
                             std::string const& host,
                             std::string const& path)
{
    queue_rule const* best = nullptr;
    for (queue_rule const& each : config.queues)
    {
        if (each.host == host && path.rfind(each.prefix, 0) == 0 &&
            (best == nullptr || best->prefix.size() < each.prefix.size()))
        {
            best = &each;
        }
    }
    return best;
}

} // namespace cicada::batch
