#include "state.hpp"

#include <algorithm>

namespace cicada::batch
{

namespace
{

/**
 * Stops the run that replaced a dropped one: the run was dropped when its
 * worker's lease expired, but a later report shows that it succeeded.
 */
void stop_duplicate_run(scheduler& s, task_ref const& task, std::uint64_t run)
{
    task_record const* const record =
        find_placed(*find_step(s, task), task.index);
    if (record == nullptr || record->run == run)
    {
        return;
    }
    auto const w = s.workers.find(record->worker);
    if (w != s.workers.end())
    {
        stop_run(s, w->second, task);
    }
}

} // namespace

milliseconds longest_lease(scheduler const& s)
{
    return milliseconds(static_cast<std::int64_t>(
               static_cast<double>(s.settings.lease_limit.count()) *
               clock_drift_factor)) +
           lease_margin;
}

void adopt_run(scheduler& s, worker_record& w, active_run const& seen)
{
    step_record* const of = find_step(s, seen.task);
    run_record record;
    record.run = seen.run;
    record.phase = run_phase::running;
    record.reported = true;
    record.started = s.now;
    record.checkpoint = seen.checkpoint;
    record.unknown_size = of == nullptr;
    record.read = next_job_read(s);
    w.unknown_sizes += record.unknown_size ? 1 : 0;
    bool wanted = false;
    if (of != nullptr)
    {
        job_record& j = s.jobs.at(seen.task.job);
        task_step const& step =
            j.accepted.steps[static_cast<std::size_t>(seen.task.step)];
        record.size = step.size;
        record.customer = j.accepted.customer;
        record.expected_end = s.now + step.estimate;
        bool const same_gang = !step.gang || of->gang_run == 0 ||
                               of->gang_run == seen.run || of->placed == 0;
        wanted = !has_ended(j.state) && same_gang &&
                 phase_of(*of, seen.task.index) == task_phase::waiting;
        if (wanted)
        {
            mark_placed(*of, seen.task.index, w.offer.id, seen.run);
            j.has_started = true;
        }
    }
    w.used = w.used + record.size;
    count_run(s, record);
    w.runs[seen.task] = record;
    // Whoever started it may have extended the lease until now.
    w.lease_end = std::max(w.lease_end, latest_former_lease(s));
    if (!wanted && !record.unknown_size)
    {
        stop_run(s, w, seen.task);
    }
}

void apply_run_end(scheduler& s, worker_record& w, finished_run const& end)
{
    step_record* const step = find_step(s, end.task);
    if (step == nullptr)
    {
        return;
    }
    job_record& j = s.jobs.at(end.task.job);
    j.has_started = true;
    bool const gang =
        j.accepted.steps[static_cast<std::size_t>(end.task.step)].gang;
    if (end.how == run_end::done)
    {
        note_success(w);
        int const first = gang ? 0 : end.task.index;
        int const last = gang ? step->count : end.task.index + 1;
        for (int k = first; k < last; ++k)
        {
            stop_duplicate_run(s, {end.task.job, end.task.step, k}, end.run);
            finish_task(s, {end.task.job, end.task.step, k});
        }
        return;
    }
    if (end.how == run_end::failed &&
        phase_of(*step, end.task.index) != task_phase::done)
    {
        note_failure(s, w, j);
        // A gang fails as a whole, so its failures count on its first member.
        fail_task(s,
                  {end.task.job, end.task.step, gang ? 0 : end.task.index},
                  end.run);
    }
    requeue_task(s, end.task, end.run, end.checkpoint);
}

void release_run(scheduler& s, worker_record& w, task_ref const& task)
{
    auto const found = w.runs.find(task);
    if (found != w.runs.end())
    {
        w.used = w.used - found->second.size;
        uncount_run(s, found->second);
        w.unknown_sizes -= found->second.unknown_size ? 1 : 0;
        w.runs.erase(found);
        s.placement_due = true;
    }
}

} // namespace cicada::batch
