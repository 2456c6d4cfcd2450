#include "task_outcomes.hpp"

#include "event_numbers/event_numbers.hpp"
#include "job_tasks.hpp"
#include "task_placement.hpp"

#include <algorithm>

namespace cicada
{
namespace
{

constexpr int max_task_failures = 3;

bool all_done(owned_job const& job)
{
    return std::all_of(job.tasks.begin(),
                       job.tasks.end(),
                       [](task_state const& task)
                       {
                           return task.phase == task_phase::done;
                       });
}

job_state end_state(owned_job const& job)
{
    if (job.record.state == job_state::cancelling)
    {
        return job_state::cancelled;
    }
    bool const failed =
        std::any_of(job.tasks.begin(),
                    job.tasks.end(),
                    [](task_state const& task)
                    {
                        return task.failures >= max_task_failures;
                    });
    return failed ? job_state::failed : job_state::succeeded;
}

void fail_task(state& s, task_ref const& ref, effects& out)
{
    ref.progress->failures += 1;
    if (ref.progress->failures >= max_task_failures)
    {
        end_task(s, ref, out);
        return;
    }
    unplace(s, ref);
    out.push_back(log_event{events::job_lost,
                            name_of(*ref.job, *ref.record).value + " failed"});
}

} // namespace

void end_task(state& s, task_ref const& ref, effects& out)
{
    if (ref.progress->phase == task_phase::done)
    {
        return;
    }
    free_worker_capacity(s, ref);
    ref.progress->phase = task_phase::done;
    ref.record->done = true;
    if (all_done(*ref.job))
    {
        ref.job->record.state = end_state(*ref.job);
    }
    save_job(s, *ref.job, out);
}

void requeue_unstarted(state& s,
                       task_ref const& ref,
                       std::string const& why,
                       effects& out)
{
    if (ref.job->record.state == job_state::cancelling)
    {
        end_task(s, ref, out);
        return;
    }
    unplace(s, ref);
    out.push_back(log_event{events::job_lost,
                            name_of(*ref.job, *ref.record).value + " " + why});
}

void handle_run_state(state& s, task_ref const& ref, run_state at, effects& out)
{
    switch (at)
    {
    case run_state::running:
        if (ref.progress->phase == task_phase::starting ||
            ref.progress->phase == task_phase::adopted)
        {
            ref.progress->phase = task_phase::running;
        }
        return;
    case run_state::finished:
        end_task(s, ref, out);
        return;
    case run_state::failed:
        fail_task(s, ref, out);
        return;
    case run_state::never_started:
        requeue_unstarted(s, ref, "never started", out);
        return;
    }
}

} // namespace cicada
