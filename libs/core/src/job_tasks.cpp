#include "job_tasks.hpp"

#include "event_numbers/event_numbers.hpp"
#include "task_orders.hpp"
#include "task_outcomes.hpp"
#include "task_placement.hpp"
#include "worker_capacity.hpp"

namespace cicada
{

void save_job(state& s, owned_job& job, effects& out)
{
    if (job.write_under_way)
    {
        job.write_again = true;
        return;
    }
    job.write_under_way = true;
    job.write_again = false;
    for (task_state& task : job.tasks)
    {
        if (task.phase == task_phase::assigned)
        {
            task.phase = task_phase::recording;
        }
    }
    out.push_back(write_job{job.record, false, s.table.version});
}

void after_recorded(state& s, job_id const& id, effects& out)
{
    owned_job& job = s.jobs.at(id);
    if (!job.write_again && is_final(job.record.state))
    {
        out.push_back(log_event{events::job_finished,
                                id.value + " " + to_string(job.record.state)});
        s.waiting_jobs.erase(waiting_entry(job));
        s.jobs.erase(id);
        place_waiting_jobs(s, out);
        return;
    }
    for (std::size_t i = 0; i < job.tasks.size(); ++i)
    {
        if (job.tasks[i].phase == task_phase::recording)
        {
            job.tasks[i].phase = task_phase::starting;
            send_start(s, task_at(job, i), out);
        }
    }
    if (job.write_again)
    {
        save_job(s, job, out);
    }
    place_waiting_jobs(s, out);
}

void adopt_tasks(state& s, job_id const& id, effects& out)
{
    owned_job& job = s.jobs.at(id);
    s.waiting_jobs.insert(waiting_entry(job));
    for (std::size_t i = 0; i < job.tasks.size(); ++i)
    {
        task_ref const ref = task_at(job, i);
        if (ref.progress->phase != task_phase::adopted)
        {
            continue;
        }
        agent_state* const worker = worker_of(s, *ref.record);
        task_id const task = name_of(job, *ref.record);
        if (worker != nullptr)
        {
            allocate_task(*worker, task, job.record.size);
            worker->full_report_due = true;
        }
        retry_later(s, task);
    }
    if (job.record.state == job_state::cancelling)
    {
        stop_all_tasks(s, id, out);
    }
}

void stop_all_tasks(state& s, job_id const& id, effects& out)
{
    owned_job& job = s.jobs.at(id);
    for (std::size_t i = 0; i < job.tasks.size(); ++i)
    {
        task_ref const ref = task_at(job, i);
        switch (ref.progress->phase)
        {
        case task_phase::unplaced:
        case task_phase::assigned:
        case task_phase::recording:
            end_task(s, ref, out);
            break;
        case task_phase::adopted:
        case task_phase::starting:
        case task_phase::running:
            ref.progress->phase = task_phase::stopping;
            send_stop(s, ref, out);
            break;
        case task_phase::stopping:
        case task_phase::done:
            break;
        }
    }
    save_job(s, job, out);
}

} // namespace cicada
