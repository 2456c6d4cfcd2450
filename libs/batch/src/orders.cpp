#include "state.hpp"

#include "event_numbers/event_numbers.hpp"

namespace cicada::batch
{

namespace
{

/** Four for each connection, so that none is idle between two orders. A queued
 * order must be sent well before its timeout (500 ms). */
constexpr int max_unanswered_orders_per_worker = 16;
/** With the longest spec, these take 8 MB, of 120 MB on the smallest instance.
 */
constexpr int max_unanswered_orders = 2048;
constexpr int min_tasks_of_wide_step = 100;
/** Starts of wide steps leave so many orders of each worker to narrow ones. */
constexpr int orders_for_narrow_steps = 4;
/** Starts of wide steps wait above this number, so that their answers don't
 * delay those to other orders beyond the timeout: a placer with a quarter of a
 * core handles some 1,800 runs a second. */
constexpr int max_unanswered_orders_beside_wide_steps = 256;

bool may_send_order(scheduler const& s, worker_record const& w)
{
    return w.unanswered_orders < max_unanswered_orders_per_worker &&
           s.unanswered_orders < max_unanswered_orders;
}

bool may_send_start(scheduler const& s,
                    worker_record const& w,
                    task_step const& shape)
{
    if (shape.count < min_tasks_of_wide_step)
    {
        return may_send_order(s, w);
    }
    return w.unanswered_orders + orders_for_narrow_steps <
               max_unanswered_orders_per_worker &&
           s.unanswered_orders < max_unanswered_orders_beside_wide_steps;
}

task_step const& shape_of(scheduler const& s, task_ref const& task)
{
    return s.jobs.at(task.job)
        .accepted.steps[static_cast<std::size_t>(task.step)];
}

void count_order(scheduler& s, worker_record& w)
{
    w.unanswered_orders += 1;
    s.unanswered_orders += 1;
}

void count_answer(scheduler& s, std::string const& worker)
{
    auto const found = s.workers.find(worker);
    if (found == s.workers.end() || found->second.unanswered_orders == 0)
    {
        return;
    }
    bool const held_some =
        found->second.unanswered_orders + orders_for_narrow_steps >=
            max_unanswered_orders_per_worker ||
        s.unanswered_orders >= max_unanswered_orders_beside_wide_steps;
    found->second.unanswered_orders -= 1;
    s.unanswered_orders -= 1;
    s.placement_due = s.placement_due || held_some;
}

void send_start(scheduler& s,
                worker_record& w,
                task_ref const& task,
                run_record& r)
{
    job_record const& j = s.jobs.at(task.job);
    start_task order;
    order.worker = w.offer.id;
    order.where = w.offer.where;
    order.task = task;
    order.run = r.run;
    order.token = w.token;
    order.spec = j.accepted.spec;
    order.checkpoint = r.checkpoint;
    order.ticket = r.ticket;
    order.lease_until = lease_deadline(s, w);
    r.order_pending = true;
    r.start_attempts += 1;
    count_order(s, w);
    s.effects.emplace_back(std::move(order));
}

void send_stop(scheduler& s,
               worker_record& w,
               task_ref const& task,
               run_record& r)
{
    stop_task order;
    order.worker = w.offer.id;
    order.where = w.offer.where;
    order.task = task;
    order.run = r.run;
    order.token = w.token;
    r.order_pending = true;
    count_order(s, w);
    s.effects.emplace_back(std::move(order));
}

run_record* find_run(scheduler& s,
                     std::string const& worker,
                     task_ref const& task,
                     std::uint64_t run)
{
    auto const w = s.workers.find(worker);
    if (w == s.workers.end())
    {
        return nullptr;
    }
    auto const found = w->second.runs.find(task);
    return found != w->second.runs.end() && found->second.run == run
               ? &found->second
               : nullptr;
}

/** Stops this placer because another one has taken over, unless the worker's
 * token has been replaced since the order. */
void handle_fenced_order(scheduler& s,
                         std::string const& worker,
                         std::uint64_t token)
{
    auto const w = s.workers.find(worker);
    if (w != s.workers.end() && w->second.token == token)
    {
        s.stopped = true;
        s.effects.emplace_back(stop_placing{});
    }
}

/** Handles a failed start: requeues the task, or stops the run if it may still
 * start. */
void cancel_start(scheduler& s,
                  worker_record& w,
                  task_ref const& task,
                  run_record& r)
{
    if (r.start_uncertain)
    {
        stop_run(s, w, task);
        return;
    }
    std::uint64_t const run = r.run;
    std::string const checkpoint = r.checkpoint;
    release_run(s, w, task);
    requeue_task(s, task, run, checkpoint);
}

} // namespace

bool takes_start(scheduler const& s,
                 worker_record const& w,
                 task_step const& shape)
{
    return w.held_orders == 0 && may_send_start(s, w, shape);
}

void start_run(scheduler& s,
               worker_record& w,
               job_record& j,
               task_ref const& task,
               std::uint64_t run,
               std::string const& ticket)
{
    std::size_t const at = static_cast<std::size_t>(task.step);
    task_step const& shape = j.accepted.steps[at];
    step_record& step = j.steps[at];
    task_record const& record = mark_placed(step, task.index, w.offer.id, run);
    if (j.state == job_state::queued)
    {
        j.state = job_state::running;
        j.stored_state = job_state::running;
    }
    run_record r;
    r.run = run;
    r.size = shape.size;
    r.started = s.now;
    r.expected_end =
        s.now +
        milliseconds(static_cast<std::int64_t>(
            static_cast<double>(shape.estimate.count()) / speed_of(s, w)));
    r.ticket = ticket;
    r.checkpoint = record.checkpoint;
    r.checkpoint_at_start = record.checkpoint;
    r.customer = j.accepted.customer;
    w.used = w.used + r.size;
    count_run(s, r);
    run_record& added = w.runs[task] = r;
    log(s,
        events::task_started,
        "job=" + task.job + " task=" + to_string(task) +
            " run=" + std::to_string(run) + " worker=" + w.offer.id +
            " config=" + std::to_string(s.config_version) + " report_age_ms=" +
            std::to_string((s.now - w.clock_read_at).count()));
    if (may_send_start(s, w, shape))
    {
        send_start(s, w, task, added);
    }
    else
    {
        w.held_orders += 1;
    }
}

void stop_run(scheduler& s, worker_record& w, task_ref const& task)
{
    auto const found = w.runs.find(task);
    if (found == w.runs.end())
    {
        return;
    }
    run_record& r = found->second;
    if (r.phase == run_phase::stopping)
    {
        return;
    }
    r.phase = run_phase::stopping;
    if (may_send_order(s, w))
    {
        send_stop(s, w, task, r);
        return;
    }
    // The answer to the start, if one is awaited, doesn't delay the stop.
    r.order_pending = false;
    r.next_attempt = s.now;
    w.held_orders += 1;
}

void handle_start_answer(scheduler& s, start_answered const& answer)
{
    count_answer(s, answer.worker);
    run_record* const r = find_run(s, answer.worker, answer.task, answer.run);
    if (answer.outcome == order_outcome::fenced)
    {
        handle_fenced_order(s, answer.worker, answer.token);
    }
    if (r == nullptr)
    {
        return;
    }
    worker_record& w = s.workers.at(answer.worker);
    if (answer.outcome == order_outcome::unknown)
    {
        r->start_uncertain = true;
    }
    if (r->phase == run_phase::stopping)
    {
        return;
    }
    r->order_pending = false;
    if (r->phase == run_phase::running)
    {
        return;
    }
    switch (answer.outcome)
    {
    case order_outcome::done:
        r->phase = run_phase::running;
        r->started = s.now;
        r->start_confirmed = true;
        mark_started(s, answer.task);
        return;
    case order_outcome::unknown:
        if (r->start_attempts >= s.settings.max_start_attempts)
        {
            stop_run(s, w, answer.task);
            return;
        }
        r->next_attempt = s.now + s.settings.resend_interval;
        return;
    case order_outcome::busy:
        w.busy_until = s.now + s.settings.poll_wait;
        break;
    case order_outcome::fenced:
    case order_outcome::refused:
    case order_outcome::other_incarnation:
        break;
    }
    log(s,
        events::start_rejected,
        "job=" + answer.task.job + " task=" + to_string(answer.task) +
            " run=" + std::to_string(answer.run) + " worker=" + answer.worker +
            " outcome=" + std::to_string(static_cast<int>(answer.outcome)));
    cancel_start(s, w, answer.task, *r);
}

void handle_stop_answer(scheduler& s, stop_answered const& answer)
{
    count_answer(s, answer.worker);
    if (answer.outcome == order_outcome::fenced)
    {
        handle_fenced_order(s, answer.worker, answer.token);
    }
    run_record* const r = find_run(s, answer.worker, answer.task, answer.run);
    if (r == nullptr)
    {
        return;
    }
    r->order_pending = false;
    if (answer.outcome == order_outcome::done)
    {
        r->stop_confirmed_at = s.now;
        // Polls at once to read the run's end.
        s.workers.at(answer.worker).next_poll = s.now;
        return;
    }
    r->next_attempt = s.now + s.settings.resend_interval;
}

void send_due_orders(scheduler& s, worker_record& w)
{
    if (!w.synced)
    {
        return;
    }
    w.held_orders = 0;
    for (auto& run : w.runs)
    {
        run_record& r = run.second;
        if (r.order_pending || r.next_attempt > s.now || r.stop_confirmed_at)
        {
            continue;
        }
        bool const starts = r.phase == run_phase::starting && leads(s) &&
                            !w.unresponsive && !w.may_be_idle;
        if (!starts && r.phase != run_phase::stopping)
        {
            continue;
        }
        bool const may_send = starts
                                  ? may_send_start(s, w, shape_of(s, run.first))
                                  : may_send_order(s, w);
        if (!may_send)
        {
            w.held_orders += 1;
        }
        else if (starts)
        {
            send_start(s, w, run.first, r);
        }
        else
        {
            send_stop(s, w, run.first, r);
        }
    }
}

} // namespace cicada::batch
