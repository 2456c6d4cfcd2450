#include "ledger_state.hpp"

#include <algorithm>

namespace cicada
{
namespace
{

task_allocation make_allocation(demand const& wanted,
                                task_id const& task,
                                worker_id const& worker,
                                instant now)
{
    return task_allocation{task,
                           worker,
                           wanted.workload,
                           wanted.urgency,
                           wanted.size,
                           now,
                           now,
                           expected_end_of(wanted, now)};
}

/** True if the tasks are distinct and none is recorded. */
bool are_new(ledger const& state, std::vector<task_id> const& tasks)
{
    std::set<task_id> const distinct(tasks.begin(), tasks.end());
    return distinct.size() == tasks.size() &&
           std::none_of(tasks.begin(),
                        tasks.end(),
                        [&](task_id const& task)
                        {
                            return state.tasks.contains(task);
                        });
}

std::vector<task_allocation> place_close(ledger& state,
                                         demand const& wanted,
                                         std::vector<task_id> const& tasks,
                                         instant now)
{
    std::vector<worker_record*> const chosen =
        choose_close(state,
                     wanted,
                     static_cast<int>(tasks.size()),
                     expected_end_of(wanted, now));
    std::vector<task_allocation> placed;
    for (std::size_t i = 0; i < chosen.size(); ++i)
    {
        worker_id const& worker = chosen[i]->offer.worker;
        placed.push_back(make_allocation(wanted, tasks[i], worker, now));
        allocate(state, *chosen[i], placed.back());
    }
    return placed;
}

std::vector<task_allocation> place_each(ledger& state,
                                        demand const& wanted,
                                        std::vector<task_id> const& tasks,
                                        instant now)
{
    std::vector<task_allocation> placed;
    for (task_id const& task : tasks)
    {
        worker_record* const worker =
            choose_worker(state, wanted, expected_end_of(wanted, now));
        if (worker == nullptr)
        {
            break;
        }
        worker_id const& chosen = worker->offer.worker;
        placed.push_back(make_allocation(wanted, task, chosen, now));
        allocate(state, *worker, placed.back());
    }
    return placed;
}

} // namespace

instant expected_end_of(demand const& wanted, instant now)
{
    return wanted.run_time.count() > 0 ? now + wanted.run_time : instant::max();
}

std::vector<task_allocation> place(ledger& state,
                                   demand const& wanted,
                                   std::vector<task_id> const& tasks,
                                   instant now)
{
    if (!non_negative(wanted.size) || !are_new(state, tasks))
    {
        return {};
    }
    if (wanted.policy == placement_policy::close)
    {
        return place_close(state, wanted, tasks, now);
    }
    std::vector<task_allocation> placed = place_each(state, wanted, tasks, now);
    if (wanted.all_or_none && placed.size() < tasks.size())
    {
        for (task_allocation const& allocation : placed)
        {
            release_task(state, allocation.task);
        }
        placed.clear();
    }
    return placed;
}

std::vector<task_allocation> hold(ledger& state,
                                  job_id const& job,
                                  demand const& wanted,
                                  std::vector<task_id> const& tasks,
                                  instant now,
                                  instant expires)
{
    if (state.holds.contains(job))
    {
        return {};
    }
    std::vector<task_allocation> placed = place(state, wanted, tasks, now);
    if (placed.empty())
    {
        return placed;
    }
    gang_hold& entry = state.holds[job];
    entry.expires = expires;
    for (task_allocation const& allocation : placed)
    {
        entry.tasks.push_back(allocation.task);
    }
    return placed;
}

bool commit_hold(ledger& state, job_id const& job)
{
    return state.holds.erase(job) > 0;
}

std::vector<task_id> release_hold(ledger& state, job_id const& job)
{
    auto const found = state.holds.find(job);
    if (found == state.holds.end())
    {
        return {};
    }
    std::vector<task_id> released = found->second.tasks;
    for (task_id const& task : released)
    {
        release_task(state, task);
    }
    state.holds.erase(found);
    return released;
}

std::vector<job_id> expire_holds(ledger& state, instant now)
{
    std::vector<job_id> expired;
    for (auto const& [job, entry] : state.holds)
    {
        if (entry.expires <= now)
        {
            expired.push_back(job);
        }
    }
    for (job_id const& job : expired)
    {
        release_hold(state, job);
    }
    return expired;
}

} // namespace cicada
