#include "task_orders.hpp"

#include "jobs.hpp"
#include "task_outcomes.hpp"
#include "task_placement.hpp"

namespace cicada
{
namespace
{

constexpr milliseconds order_time_limit{1'500};
constexpr milliseconds order_retry_delay{500};
constexpr milliseconds lease_margin{2'000};

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

void retry_later(state& s, task_id const& task)
{
    schedule(s, timer_kind::retry_task, order_retry_delay, task.value);
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
