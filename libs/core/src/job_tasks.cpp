#include "job_tasks.hpp"

#include "event_numbers/event_numbers.hpp"
#include "jobs.hpp"
#include "task_names.hpp"
#include "worker_capacity.hpp"

#include <algorithm>

namespace cicada
{
namespace
{

constexpr milliseconds order_time_limit{1'500};
constexpr milliseconds order_retry_delay{500};
constexpr milliseconds lease_margin{2'000};
constexpr int max_task_failures = 3;

/** Refers to a task of an owned job. */
struct task_ref
{
    owned_job* job = nullptr;
    task_record* record = nullptr;
    task_state* progress = nullptr;
};

task_id name_of(owned_job const& job, task_record const& task)
{
    return make_task_id({job.record.name, task.index, task.attempt});
}

task_ref task_at(owned_job& job, std::size_t index)
{
    return {&job, &job.record.tasks.at(index), &job.tasks.at(index)};
}

/** The task of that name, if owned here and that is its current attempt. */
std::optional<task_ref> find_task(state& s, std::string const& text)
{
    std::optional<task_name> const name = parse_task_id(text);
    if (!name)
    {
        return std::nullopt;
    }
    auto const job = s.jobs.find(name->job);
    bool const known = job != s.jobs.end() && name->index >= 0 &&
                       name->index < std::ssize(job->second.record.tasks);
    if (!known)
    {
        return std::nullopt;
    }
    task_ref const ref =
        task_at(job->second, static_cast<std::size_t>(name->index));
    if (ref.record->attempt != name->attempt)
    {
        return std::nullopt;
    }
    return ref;
}

agent_state* worker_of(state& s, task_record const& task)
{
    auto const found = s.agents.find(task.worker.value);
    return found == s.agents.end() ? nullptr : &found->second;
}

waiting_job waiting_entry(owned_job const& job)
{
    return {job.record.urgency, job.arrived, job.record.name};
}

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

void free_worker_capacity(state& s, task_ref const& ref)
{
    agent_state* const worker = worker_of(s, *ref.record);
    if (worker != nullptr)
    {
        free_task(*worker, name_of(*ref.job, *ref.record));
    }
}

/** Returns a task to the queue; its attempt must be known to be over. */
void unplace(state& s, task_ref const& ref)
{
    free_worker_capacity(s, ref);
    ref.progress->avoid = ref.record->worker;
    ref.record->worker = worker_id{};
    ref.progress->phase = task_phase::unplaced;
    s.waiting_jobs.insert(waiting_entry(*ref.job));
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

void send_start(state& s, task_ref const& ref, effects& out)
{
    agent_state* const worker = worker_of(s, *ref.record);
    if (worker == nullptr || ref.progress->order_under_way)
    {
        return;
    }
    ref.progress->order_under_way = true;
    start_order order;
    order.since = worker->since;
    order.task = name_of(*ref.job, *ref.record);
    order.workload = ref.job->record.workload;
    order.size = ref.job->record.size;
    order.run_time = ref.job->record.run_time;
    order.lease = s.settings.task_lease;
    out.push_back(send_agent{
        worker->info.name, worker->info.where, order, order_time_limit});
}

void send_stop(state& s, task_ref const& ref, effects& out)
{
    agent_state* const worker = worker_of(s, *ref.record);
    if (worker == nullptr || ref.progress->order_under_way)
    {
        return;
    }
    ref.progress->order_under_way = true;
    cancel_order const order{
        worker->since, name_of(*ref.job, *ref.record).value, false};
    out.push_back(send_agent{
        worker->info.name, worker->info.where, order, order_time_limit});
}

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

/** Requeues a task that is known not to run; ends it if cancelled. */
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

void retry_later(state& s, task_id const& task)
{
    schedule(s, timer_kind::retry_task, order_retry_delay, task.value);
}

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

bool lease_expired(state const& s, agent_state const& worker)
{
    return s.now - worker.last_renewal >= s.settings.task_lease + lease_margin;
}

/** Requeues a silent worker's task after lease expiry, plus a margin. */
void move_from_silent_worker(state& s,
                             task_ref const& ref,
                             agent_state& worker,
                             effects& out)
{
    task_id const task = name_of(*ref.job, *ref.record);
    if (!lease_expired(s, worker))
    {
        schedule(s,
                 timer_kind::retry_task,
                 worker.last_renewal + s.settings.task_lease + lease_margin -
                     s.now,
                 task.value);
        return;
    }
    ref.progress->order_under_way = false;
    requeue_unstarted(s, ref, "its worker's lease lapsed", out);
    place_waiting_jobs(s, out);
}

} // namespace

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

void retry_task(state& s, task_id const& task, effects& out)
{
    std::optional<task_ref> const ref = find_task(s, task.value);
    if (!ref)
    {
        return;
    }
    agent_state* const worker = worker_of(s, *ref->record);
    bool const placed = ref->progress->phase == task_phase::adopted ||
                        ref->progress->phase == task_phase::starting ||
                        ref->progress->phase == task_phase::running ||
                        ref->progress->phase == task_phase::stopping;
    if (!placed || worker == nullptr)
    {
        return;
    }
    if (worker->phase == agent_phase::silent)
    {
        move_from_silent_worker(s, *ref, *worker, out);
        return;
    }
    if (ref->progress->phase == task_phase::starting)
    {
        send_start(s, *ref, out);
    }
    if (ref->progress->phase == task_phase::stopping)
    {
        send_stop(s, *ref, out);
    }
}

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

void on_worker_silent(state& s, agent_state const& worker, effects&)
{
    for (auto const& [task, size] : worker.tasks)
    {
        retry_later(s, task);
    }
}

void on_task_answer(state& s, agent_order_ended const& e, effects& out)
{
    bool const start = std::holds_alternative<start_order>(e.order);
    std::string const name = start ? std::get<start_order>(e.order).task.value
                                   : std::get<cancel_order>(e.order).run;
    std::optional<task_ref> const ref = find_task(s, name);
    if (!ref)
    {
        return;
    }
    ref->progress->order_under_way = false;
    if (!e.answer.has_value())
    {
        retry_later(s, task_id{name});
        return;
    }
    agent_answer const& answer = e.answer.assume_value();
    if (std::holds_alternative<agent_refusal>(answer))
    {
        std::string const& why = std::get<agent_refusal>(answer).reason;
        bool const stale = why == "stale_epoch" || !start;
        stale ? retry_later(s, task_id{name})
              : requeue_unstarted(s, *ref, why, out);
        return;
    }
    if (!std::holds_alternative<run_answer>(answer))
    {
        return;
    }
    run_state const at = std::get<run_answer>(answer).state;
    if (start)
    {
        handle_run_state(s, *ref, at, out);
        return;
    }
    if (at == run_state::running)
    {
        retry_later(s, task_id{name});
        return;
    }
    end_task(s, *ref, out);
}

} // namespace cicada
