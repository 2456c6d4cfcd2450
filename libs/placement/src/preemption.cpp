#include "ledger_state.hpp"

#include <algorithm>

namespace cicada
{
namespace
{

/** Bounds the branch-and-bound search on one worker. */
constexpr int max_search_steps = 4'096;

/** A task that may be stopped, and the run time lost if it is. */
struct candidate
{
    task_allocation const* task = nullptr;
    milliseconds lost_time{0};
};

/** State of the search for victims on one worker. */
struct victim_search
{
    std::vector<candidate> candidates; //!< least lost time first
    resources wanted;
    std::vector<std::size_t> chosen; //!< current set: indexes of candidates
    std::vector<std::size_t> best;
    milliseconds best_lost_time = milliseconds::max();
    int steps = 0;
};

milliseconds lost_time_of(task_allocation const& task, instant now)
{
    return now - std::max(task.last_checkpoint, task.started);
}

std::vector<candidate> candidates_on(ledger const& state,
                                     worker_record const& worker,
                                     demand const& wanted,
                                     milliseconds min_run,
                                     instant now)
{
    std::vector<candidate> found;
    for (task_id const& id : worker.tasks)
    {
        task_allocation const& task = state.tasks.at(id);
        if (task.urgency > wanted.urgency && now - task.started >= min_run)
        {
            found.push_back(candidate{&task, lost_time_of(task, now)});
        }
    }
    std::stable_sort(found.begin(),
                     found.end(),
                     [](candidate const& left, candidate const& right)
                     {
                         return left.lost_time < right.lost_time;
                     });
    return found;
}

/**
 * Tries the current set and every set that adds candidates from `next` on to
 * it. Stops at sets that lose no less than the best found so far.
 */
void extend_set(victim_search& search,
                std::size_t next,
                resources const& unused,
                milliseconds lost_time)
{
    if (lost_time >= search.best_lost_time || ++search.steps > max_search_steps)
    {
        return;
    }
    if (fits(search.wanted, unused))
    {
        search.best = search.chosen;
        search.best_lost_time = lost_time;
        return;
    }
    for (std::size_t i = next; i < search.candidates.size(); ++i)
    {
        candidate const& victim = search.candidates[i];
        search.chosen.push_back(i);
        extend_set(search,
                   i + 1,
                   unused + victim.task->size,
                   lost_time + victim.lost_time);
        search.chosen.pop_back();
    }
}

/** True if stopping every candidate frees enough. */
bool can_free_enough(victim_search const& search, resources unused)
{
    for (candidate const& victim : search.candidates)
    {
        unused = unused + victim.task->size;
    }
    return fits(search.wanted, unused);
}

} // namespace

std::optional<preemption_plan> plan_preemption(ledger const& state,
                                               demand const& wanted,
                                               milliseconds min_run,
                                               instant now)
{
    std::optional<preemption_plan> plan;
    for (auto const& [id, worker] : state.workers)
    {
        if (!worker.offer.in_rotation || worker.reserved_tasks > 0 ||
            !fits(wanted.size, worker.offer.capacity))
        {
            continue;
        }
        victim_search search;
        search.wanted = wanted.size;
        search.candidates = candidates_on(state, worker, wanted, min_run, now);
        search.best_lost_time = plan ? plan->lost_time : milliseconds::max();
        resources const unused = free_of(worker);
        if (!can_free_enough(search, unused))
        {
            continue;
        }
        milliseconds const previous_best = search.best_lost_time;
        extend_set(search, 0, unused, milliseconds{0});
        if (search.best_lost_time == previous_best)
        {
            continue;
        }
        plan = preemption_plan{id, {}, search.best_lost_time};
        for (std::size_t const index : search.best)
        {
            plan->victims.push_back(search.candidates[index].task->task);
        }
    }
    return plan;
}

} // namespace cicada
