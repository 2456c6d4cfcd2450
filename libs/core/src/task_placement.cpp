#include "task_placement.hpp"

#include "job_tasks.hpp"
#include "worker_capacity.hpp"

#include <algorithm>

namespace cicada
{
namespace
{

bool needs_placement(owned_job const& job)
{
    bool const open = job.record.state == job_state::queued ||
                      job.record.state == job_state::running;
    return open && std::any_of(job.tasks.begin(),
                               job.tasks.end(),
                               [](task_state const& task)
                               {
                                   return task.phase == task_phase::unplaced;
                               });
}

void assign(task_ref const& ref, agent_state& worker)
{
    ref.record->worker = worker_id{worker.info.name};
    ref.record->attempt += 1;
    ref.progress->phase = task_phase::assigned;
    allocate_task(worker, name_of(*ref.job, *ref.record), ref.job->record.size);
}

/** Places what fits; of a gang, all unplaced tasks or none. */
void place_job(state& s, owned_job& job, effects& out)
{
    std::vector<std::size_t> placed;
    bool all = true;
    for (std::size_t i = 0; i < job.tasks.size(); ++i)
    {
        if (job.tasks[i].phase != task_phase::unplaced)
        {
            continue;
        }
        agent_state* const worker =
            choose_worker(s, job.record, job.tasks[i].avoid);
        if (worker == nullptr)
        {
            all = false;
            break;
        }
        assign(task_at(job, i), *worker);
        placed.push_back(i);
    }
    if (job.record.gang && !all)
    {
        for (std::size_t const i : placed)
        {
            unplace(s, task_at(job, i));
        }
        placed.clear();
    }
    job.wait_reason = all ? "" : "no worker of its home rack has room";
    if (!placed.empty())
    {
        job.record.state = job_state::running;
        save_job(s, job, out);
    }
}

} // namespace

waiting_job waiting_entry(owned_job const& job)
{
    return {job.record.urgency, job.arrived, job.record.name};
}

void free_worker_capacity(state& s, task_ref const& ref)
{
    agent_state* const worker = worker_of(s, *ref.record);
    if (worker != nullptr)
    {
        free_task(*worker, name_of(*ref.job, *ref.record));
    }
}

void unplace(state& s, task_ref const& ref)
{
    free_worker_capacity(s, ref);
    ref.progress->avoid = ref.record->worker;
    ref.record->worker = worker_id{};
    ref.progress->phase = task_phase::unplaced;
    s.waiting_jobs.insert(waiting_entry(*ref.job));
}

void place_waiting_jobs(state& s, effects& out)
{
    std::set<waiting_job> const waiting = s.waiting_jobs;
    for (waiting_job const& each : waiting)
    {
        auto const found = s.jobs.find(each.name);
        if (found == s.jobs.end() || !needs_placement(found->second))
        {
            s.waiting_jobs.erase(each);
            continue;
        }
        place_job(s, found->second, out);
        if (!needs_placement(found->second))
        {
            s.waiting_jobs.erase(each);
        }
    }
}

} // namespace cicada
