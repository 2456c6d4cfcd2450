#include "job_tasks.hpp"

#include "event_numbers.hpp"
#include "jobs.hpp"
#include "task_names.hpp"
#include "worker_room.hpp"

#include <algorithm>

namespace cicada
{
namespace
{

constexpr milliseconds order_limit{1'500};
constexpr milliseconds order_retry{500};
constexpr milliseconds lease_margin{2'000};
constexpr int most_task_failures = 3;

/** A task of an owned job, with the job. */
struct task_place
{
    job_state_here* job = nullptr;
    task_record* record = nullptr;
    task_state* here = nullptr;
};

task_id name_of(job_state_here const& job, task_record const& task)
{
    return make_task_id({job.record.name, task.index, task.attempt});
}

task_place place_at(job_state_here& job, std::size_t index)
{
    return {&job, &job.record.tasks.at(index), &job.tasks.at(index)};
}

/** The present attempt of that name, if its job is owned here. */
std::optional<task_place> find_task(state& s, std::string const& text)
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
    task_place const place =
        place_at(job->second, static_cast<std::size_t>(name->index));
    if (place.record->attempt != name->attempt)
    {
        return std::nullopt;
    }
    return place;
}

agent_state* worker_of(state& s, task_record const& task)
{
    auto const found = s.agents.find(task.worker.value);
    return found == s.agents.end() ? nullptr : &found->second;
}

waiting_job waiting_entry(job_state_here const& job)
{
    return {job.record.urgency, job.arrived, job.record.name};
}

bool wants_placing(job_state_here const& job)
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

void give_room_back(state& s, task_place const& place)
{
    agent_state* const worker = worker_of(s, *place.record);
    if (worker != nullptr)
    {
        free_room(*worker, name_of(*place.job, *place.record));
    }
}

/** The task's attempt is known to be over: it waits for another worker. */
void unplace(state& s, task_place const& place)
{
    give_room_back(s, place);
    place.here->avoid = place.record->worker;
    place.record->worker = worker_id{};
    place.here->phase = task_phase::unplaced;
    s.waiting_jobs.insert(waiting_entry(*place.job));
}

void assign(task_place const& place, agent_state& worker)
{
    place.record->worker = worker_id{worker.info.name};
    place.record->attempt += 1;
    place.here->phase = task_phase::assigned;
    take_room(
        worker, name_of(*place.job, *place.record), place.job->record.size);
}

/** Places what it can; a gang that doesn't fit whole is put back. */
void place_job(state& s, job_state_here& job, effects& out)
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
        assign(place_at(job, i), *worker);
        placed.push_back(i);
    }
    if (job.record.gang && !all)
    {
        for (std::size_t const i : placed)
        {
            unplace(s, place_at(job, i));
        }
        placed.clear();
    }
    job.waits_for = all ? "" : "no worker of its home rack has room";
    if (!placed.empty())
    {
        job.record.state = job_state::running;
        save_job(s, job, out);
    }
}

void send_start(state& s, task_place const& place, effects& out)
{
    agent_state* const worker = worker_of(s, *place.record);
    if (worker == nullptr || place.here->order_under_way)
    {
        return;
    }
    place.here->order_under_way = true;
    start_order order;
    order.since = worker->since;
    order.task = name_of(*place.job, *place.record);
    order.workload = place.job->record.workload;
    order.size = place.job->record.size;
    order.run_time = place.job->record.run_time;
    order.lease = s.settings.task_lease;
    out.push_back(
        send_agent{worker->info.name, worker->info.where, order, order_limit});
}

void send_stop(state& s, task_place const& place, effects& out)
{
    agent_state* const worker = worker_of(s, *place.record);
    if (worker == nullptr || place.here->order_under_way)
    {
        return;
    }
    place.here->order_under_way = true;
    cancel_order const order{
        worker->since, name_of(*place.job, *place.record).value, false};
    out.push_back(
        send_agent{worker->info.name, worker->info.where, order, order_limit});
}

bool all_done(job_state_here const& job)
{
    return std::all_of(job.tasks.begin(),
                       job.tasks.end(),
                       [](task_state const& task)
                       {
                           return task.phase == task_phase::done;
                       });
}

job_state end_state(job_state_here const& job)
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
                        return task.failures >= most_task_failures;
                    });
    return failed ? job_state::failed : job_state::succeeded;
}

void end_task(state& s, task_place const& place, effects& out)
{
    if (place.here->phase == task_phase::done)
    {
        return;
    }
    give_room_back(s, place);
    place.here->phase = task_phase::done;
    place.record->done = true;
    if (all_done(*place.job))
    {
        place.job->record.state = end_state(*place.job);
    }
    save_job(s, *place.job, out);
}

void fail_task(state& s, task_place const& place, effects& out)
{
    place.here->failures += 1;
    if (place.here->failures >= most_task_failures)
    {
        end_task(s, place, out);
        return;
    }
    unplace(s, place);
    out.push_back(
        log_event{event_number::job_requeued,
                  name_of(*place.job, *place.record).value + " failed"});
}

/** A start that is known to be impossible: another worker is looked for. */
void start_refused(state& s,
                   task_place const& place,
                   std::string const& why,
                   effects& out)
{
    if (place.job->record.state == job_state::cancelling)
    {
        end_task(s, place, out);
        return;
    }
    unplace(s, place);
    out.push_back(
        log_event{event_number::job_requeued,
                  name_of(*place.job, *place.record).value + " " + why});
}

void take_run_state(state& s,
                    task_place const& place,
                    run_state at,
                    effects& out)
{
    switch (at)
    {
    case run_state::running:
        if (place.here->phase == task_phase::starting ||
            place.here->phase == task_phase::adopted)
        {
            place.here->phase = task_phase::running;
        }
        return;
    case run_state::finished:
        end_task(s, place, out);
        return;
    case run_state::failed:
        fail_task(s, place, out);
        return;
    case run_state::never_started:
        start_refused(s, place, "never started", out);
        return;
    }
}

void retry_later(state& s, task_id const& task)
{
    schedule(s, timer_kind::retry_task, order_retry, task.value);
}

/** Tasks recorded on this worker that its whole report doesn't name. */
void settle_missing(state& s,
                    agent_state& worker,
                    std::set<std::string> const& reported,
                    effects& out)
{
    for (auto& [id, job] : s.jobs)
    {
        for (std::size_t i = 0; i < job.tasks.size(); ++i)
        {
            task_place const place = place_at(job, i);
            bool const here =
                place.here->phase == task_phase::adopted &&
                place.record->worker.value == worker.info.name &&
                reported.count(name_of(job, *place.record).value) == 0;
            if (here)
            {
                start_refused(s, place, "was never started", out);
            }
        }
    }
}

bool lease_lapsed(state const& s, agent_state const& worker)
{
    return s.now - worker.last_order >= s.settings.task_lease + lease_margin;
}

/** A task on a silent worker moves once its lease has surely lapsed. */
void move_from_silent(state& s,
                      task_place const& place,
                      agent_state& worker,
                      effects& out)
{
    task_id const task = name_of(*place.job, *place.record);
    if (!lease_lapsed(s, worker))
    {
        schedule(s,
                 timer_kind::retry_task,
                 worker.last_order + s.settings.task_lease + lease_margin -
                     s.now,
                 task.value);
        return;
    }
    place.here->order_under_way = false;
    start_refused(s, place, "its worker's lease lapsed", out);
    place_waiting(s, out);
}

} // namespace

void save_job(state& s, job_state_here& job, effects& out)
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
    job_state_here& job = s.jobs.at(id);
    if (!job.write_again && is_final(job.record.state))
    {
        out.push_back(log_event{event_number::job_finished,
                                id.value + " " + to_string(job.record.state)});
        s.waiting_jobs.erase(waiting_entry(job));
        s.jobs.erase(id);
        place_waiting(s, out);
        return;
    }
    for (std::size_t i = 0; i < job.tasks.size(); ++i)
    {
        if (job.tasks[i].phase == task_phase::recording)
        {
            job.tasks[i].phase = task_phase::starting;
            send_start(s, place_at(job, i), out);
        }
    }
    if (job.write_again)
    {
        save_job(s, job, out);
    }
    place_waiting(s, out);
}

void place_waiting(state& s, effects& out)
{
    std::set<waiting_job> const waiting = s.waiting_jobs;
    for (waiting_job const& each : waiting)
    {
        auto const found = s.jobs.find(each.name);
        if (found == s.jobs.end() || !wants_placing(found->second))
        {
            s.waiting_jobs.erase(each);
            continue;
        }
        place_job(s, found->second, out);
        if (!wants_placing(found->second))
        {
            s.waiting_jobs.erase(each);
        }
    }
}

void adopt_tasks(state& s, job_id const& id, effects& out)
{
    job_state_here& job = s.jobs.at(id);
    s.waiting_jobs.insert(waiting_entry(job));
    for (std::size_t i = 0; i < job.tasks.size(); ++i)
    {
        task_place const place = place_at(job, i);
        if (place.here->phase != task_phase::adopted)
        {
            continue;
        }
        agent_state* const worker = worker_of(s, *place.record);
        task_id const task = name_of(job, *place.record);
        if (worker != nullptr)
        {
            take_room(*worker, task, job.record.size);
            worker->relist = true;
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
    job_state_here& job = s.jobs.at(id);
    for (std::size_t i = 0; i < job.tasks.size(); ++i)
    {
        task_place const place = place_at(job, i);
        switch (place.here->phase)
        {
        case task_phase::unplaced:
        case task_phase::assigned:
        case task_phase::recording:
            end_task(s, place, out);
            break;
        case task_phase::adopted:
        case task_phase::starting:
        case task_phase::running:
            place.here->phase = task_phase::stopping;
            send_stop(s, place, out);
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
    std::optional<task_place> const place = find_task(s, task.value);
    if (!place)
    {
        return;
    }
    agent_state* const worker = worker_of(s, *place->record);
    bool const placed = place->here->phase == task_phase::adopted ||
                        place->here->phase == task_phase::starting ||
                        place->here->phase == task_phase::running ||
                        place->here->phase == task_phase::stopping;
    if (!placed || worker == nullptr)
    {
        return;
    }
    if (worker->phase == agent_phase::silent)
    {
        move_from_silent(s, *place, *worker, out);
        return;
    }
    if (place->here->phase == task_phase::starting)
    {
        send_start(s, *place, out);
    }
    if (place->here->phase == task_phase::stopping)
    {
        send_stop(s, *place, out);
    }
}

void take_worker_report(state& s,
                        agent_state& worker,
                        agent_report const& report,
                        bool whole,
                        effects& out)
{
    std::set<std::string> reported;
    for (run_report const& run : report.runs)
    {
        reported.insert(run.run);
        std::optional<task_place> const place = find_task(s, run.run);
        bool const ended = run.state != run_state::running;
        if (place && place->record->worker.value == worker.info.name)
        {
            take_run_state(s, *place, run.state, out);
        }
        else if (ended)
        {
            free_room(worker, task_id{run.run});
        }
        else
        {
            take_room(worker, task_id{run.run}, run.size);
        }
    }
    if (whole)
    {
        settle_missing(s, worker, reported, out);
    }
    place_waiting(s, out);
}

void doubt_running_tasks(state& s, agent_state& worker)
{
    worker.relist = true;
    for (auto& [id, job] : s.jobs)
    {
        for (std::size_t i = 0; i < job.tasks.size(); ++i)
        {
            task_place const place = place_at(job, i);
            bool const here = place.record->worker.value == worker.info.name;
            if (here && place.here->phase == task_phase::running)
            {
                place.here->phase = task_phase::adopted;
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
    std::optional<task_place> const place = find_task(s, name);
    if (!place)
    {
        return;
    }
    place->here->order_under_way = false;
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
              : start_refused(s, *place, why, out);
        return;
    }
    if (!std::holds_alternative<run_answer>(answer))
    {
        return;
    }
    run_state const at = std::get<run_answer>(answer).state;
    if (start)
    {
        take_run_state(s, *place, at, out);
        return;
    }
    if (at == run_state::running)
    {
        retry_later(s, task_id{name});
        return;
    }
    end_task(s, *place, out);
}

} // namespace cicada
