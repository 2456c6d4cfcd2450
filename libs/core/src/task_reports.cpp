#include "jobs.hpp"

#include "task_outcomes.hpp"
#include "task_placement.hpp"
#include "worker_capacity.hpp"

namespace cicada
{
namespace
{

/** Requeues adopted tasks that are missing in their worker's full report. */
void requeue_missing_tasks(state& s,
                           agent_state& worker,
                           std::set<std::string> const& reported,
                           effects& out)
{
    for (auto& [id, job] : s.jobs)
    {
        for (std::size_t i = 0; i < job.tasks.size(); ++i)
        {
            task_ref const ref = task_at(job, i);
            bool const missing =
                ref.progress->phase == task_phase::adopted &&
                ref.record->worker.value == worker.info.name &&
                reported.count(name_of(job, *ref.record).value) == 0;
            if (missing)
            {
                requeue_unstarted(s, ref, "was never started", out);
            }
        }
    }
}

} // namespace

void handle_worker_report(state& s,
                          agent_state& worker,
                          agent_report const& report,
                          bool is_full,
                          effects& out)
{
    std::set<std::string> reported;
    for (run_report const& run : report.runs)
    {
        reported.insert(run.run);
        std::optional<task_ref> const ref = find_task(s, run.run);
        bool const ended = run.state != run_state::running;
        if (ref && ref->record->worker.value == worker.info.name)
        {
            handle_run_state(s, *ref, run.state, out);
        }
        else if (ended)
        {
            free_task(worker, task_id{run.run});
        }
        else
        {
            allocate_task(worker, task_id{run.run}, run.size);
        }
    }
    if (is_full)
    {
        requeue_missing_tasks(s, worker, reported, out);
    }
    place_waiting_jobs(s, out);
}

void recheck_running_tasks(state& s, agent_state& worker)
{
    worker.full_report_due = true;
    for (auto& [id, job] : s.jobs)
    {
        for (std::size_t i = 0; i < job.tasks.size(); ++i)
        {
            task_ref const ref = task_at(job, i);
            bool const on_worker = ref.record->worker.value == worker.info.name;
            if (on_worker && ref.progress->phase == task_phase::running)
            {
                ref.progress->phase = task_phase::adopted;
            }
        }
    }
}

} // namespace cicada
