#include "placing.hpp"

#include <algorithm>
#include <tuple>

namespace cicada::batch
{

namespace
{

/** No pass runs above this lag of the worker list: a draining worker must get
 * no start later than 2 s after it announces that it drains. */
constexpr milliseconds max_list_lag{1500};
constexpr std::size_t max_steps_per_pass = 150; //!< limits a pass's time
/** Of the steps after those, a pass over all steps visits this many in turn:
 * steps that can't be placed must not hide the ones behind them. */
constexpr std::size_t max_later_steps_per_pass = 50;
/** Interval of passes over all steps; the other passes place only steps of the
 * first rank. In a burst tens of wide steps wait, and visiting them in every
 * pass would delay the urgent ones. */
constexpr milliseconds full_pass_interval{50};
/** With at most this many waiting steps, every pass visits all of them. */
constexpr std::size_t full_pass_step_limit = 30;

/** Steps without value whose calls for advice are due in a pass. */
constexpr std::size_t max_due_steps_per_pass = 20;

constexpr std::chrono::microseconds visit_interval_per_worker{50};

auto placement_order(waiting_step const& step)
{
    return std::tie(step.rank,
                    step.put_off,
                    step.no_tickets,
                    step.call_ms,
                    step.latest_start,
                    step.j->accepted.id,
                    step.step);
}

std::vector<waiting_step> waiting_steps(scheduler& s)
{
    std::vector<waiting_step> all;
    for (std::string const& id : s.active_jobs)
    {
        job_record& j = s.jobs.at(id);
        if (j.adopted && !s.settled)
        {
            continue;
        }
        for (std::size_t i = 0; i < j.steps.size(); ++i)
        {
            if (j.steps[i].waiting == 0 || !step_ready(j, i))
            {
                continue;
            }
            waiting_step w;
            w.j = &j;
            w.step = static_cast<int>(i);
            w.rank = placement_rank(j, i, s.now);
            w.latest_start = latest_start(j, i);
            w.late = w.latest_start < s.now;
            w.put_off = j.steps[i].put_off;
            if (w.rank == worthless_rank)
            {
                w.no_tickets = j.steps[i].tickets_until <= s.now;
                w.call_ms = first_call_ms(j);
            }
            all.push_back(w);
        }
    }
    std::sort(all.begin(),
              all.end(),
              [](waiting_step const& left, waiting_step const& right)
              {
                  return placement_order(left) < placement_order(right);
              });
    return all;
}

/** Orders candidates that aren't doubted first, then by speed if the step
 * prefers one, then those near the step's data, then by ascending free cores.
 */
bool packs_better(candidate const& left,
                  candidate const& right,
                  int speed_preference)
{
    if (left.worker->doubted != right.worker->doubted)
    {
        return right.worker->doubted;
    }
    int const left_speed = speed_preference * left.worker->speed_class;
    int const right_speed = speed_preference * right.worker->speed_class;
    if (left_speed != right_speed)
    {
        return left_speed < right_speed;
    }
    if (left.near != right.near)
    {
        return left.near;
    }
    std::int64_t const a = left.worker->free.milli_cores;
    std::int64_t const b = right.worker->free.milli_cores;
    return a != b ? a < b : left.worker < right.worker;
}

/** Starts as many of the step's startable tasks as fit. Returns false if some
 * fit but must wait until their workers have answered other orders. */
bool start_on(scheduler& s, waiting_step& step, std::vector<candidate>& ready)
{
    int const preference = speed_preference(s, step);
    std::sort(ready.begin(),
              ready.end(),
              [preference](candidate const& left, candidate const& right)
              {
                  return packs_better(left, right, preference);
              });
    bool held = false;
    auto next = ready.begin();
    for (int k = 0; k < step.shape().count && step.startable > 0; ++k)
    {
        for (; next != ready.end(); ++next)
        {
            bool const takes = takes_start(s, *next->worker->w, step.shape());
            if (next->capacity > 0 && takes)
            {
                break;
            }
            held = held || next->capacity > 0;
        }
        if (next == ready.end())
        {
            return !held;
        }
        if (phase_of(step.record(), k) != task_phase::waiting)
        {
            continue;
        }
        next->capacity -= 1;
        step.startable -= 1;
        place_task(s, step, k, step.j->next_run++, *next->worker);
    }
    return true;
}

void place_single(scheduler& s, waiting_step step, free_capacity& capacity)
{
    if (step.shape().size.milli_cores > capacity.max_free_milli_cores)
    {
        return;
    }
    step_candidates found = find_candidates(s, step, capacity);
    bool const all_ordered = start_on(s, step, found.ready);
    if (!all_ordered || step.startable == 0 || !step.j->terms.advice)
    {
        return;
    }
    if (!may_call_advisor(s, step.record()))
    {
        withhold_requested_capacity(step, capacity);
        return;
    }
    std::vector<candidate> unasked;
    if (found.with_advice < capacity.workers.size())
    {
        unasked = candidates_without_advice(step, capacity);
    }
    request_more_advice(
        s, step, capacity, std::move(found.expired), std::move(unasked));
}

/** Returns how many of the step's tasks the cap of its customer lets start: of
 * a gang all or none. */
int startable_tasks(scheduler const& s,
                    waiting_step const& step,
                    free_capacity& capacity)
{
    std::string const& customer = step.j->accepted.customer;
    int const waiting = step.record().waiting;
    if (customer.empty())
    {
        return waiting;
    }
    if (capacity.capped_customers.count(customer) != 0)
    {
        return 0;
    }
    int const within_cap = tasks_within_cap(s, customer, step.shape().size);
    bool const gang = step.shape().gang;
    if (within_cap >= waiting || (!gang && within_cap > 0))
    {
        return std::min(waiting, within_cap);
    }
    if (!step.late)
    {
        capacity.capped_customers.insert(customer);
    }
    return 0;
}

/** Places what the cap of the job's customer allows. A step that may start
 * nothing requests no advice and reserves no workers. */
void place_step(scheduler& s, waiting_step step, free_capacity& capacity)
{
    step.startable = startable_tasks(s, step, capacity);
    bool const gang = step.shape().gang;
    bool const stops_members = gang && step.record().placed > 0;
    if (step.startable == 0 && !stops_members)
    {
        return;
    }
    if (gang)
    {
        place_gang(s, step, capacity);
    }
    else
    {
        place_single(s, step, capacity);
    }
}

/** Places some of the steps from `first` on, and the following ones in the next
 * call. */
void place_later_steps(scheduler& s,
                       std::vector<waiting_step> const& steps,
                       std::size_t first,
                       free_capacity& capacity)
{
    if (first >= steps.size())
    {
        return;
    }
    std::size_t const later = steps.size() - first;
    std::size_t const count = std::min(later, max_later_steps_per_pass);
    for (std::size_t i = 0; i < count; ++i)
    {
        place_step(
            s, steps[first + (s.later_steps_visited + i) % later], capacity);
    }
    s.later_steps_visited = (s.later_steps_visited + count) % later;
}

/**
 * Lets steps without value that hold no tickets call the advisor before the
 * others, as far as requester time is due to them. Otherwise, steps that keep
 * renewing their tickets could delay them for good.
 */
void request_due_advice(scheduler& s,
                        std::vector<waiting_step> const& steps,
                        free_capacity& capacity)
{
    auto const first =
        std::partition_point(steps.begin(),
                             steps.end(),
                             [](waiting_step const& each)
                             {
                                 return each.rank < worthless_rank;
                             });
    if (first == steps.end())
    {
        s.worthless_call_credit_ms = 0.0;
    }
    if (first == steps.begin())
    {
        return;
    }
    std::size_t visited = 0;
    for (auto each = first;
         each != steps.end() && visited < max_due_steps_per_pass &&
         s.worthless_call_credit_ms >= each->call_ms && !s.short_call_denied;
         ++each)
    {
        if (each->call_ms > 0.0 && each->no_tickets &&
            may_call_advisor(s, each->record()))
        {
            place_step(s, *each, capacity);
            visited += 1;
        }
    }
}

} // namespace

milliseconds visit_interval(scheduler const& s)
{
    return std::chrono::duration_cast<milliseconds>(visit_interval_per_worker *
                                                    s.workers.size());
}

void place_tasks(scheduler& s)
{
    if (s.stopped || !s.placement_due || s.now < s.next_placement ||
        s.list_lag > max_list_lag || !leads(s))
    {
        return;
    }
    s.placement_due = false;
    s.next_placement =
        s.now + std::max(s.settings.placement_interval, visit_interval(s));
    estimate_unreported_runs(s);
    check_speeds(s);
    put_off_steps(s);
    free_capacity capacity = gather_free_capacity(s);
    if (capacity.workers.empty())
    {
        return;
    }
    std::vector<waiting_step> const steps = waiting_steps(s);
    bool const whole =
        s.now >= s.next_full_pass || steps.size() <= full_pass_step_limit;
    if (whole)
    {
        s.next_full_pass = s.now + full_pass_interval;
    }
    s.short_call_denied = false;
    request_due_advice(s, steps, capacity);
    std::size_t const most = std::min(steps.size(), max_steps_per_pass);
    for (std::size_t i = 0; i < most; ++i)
    {
        if (!whole && steps[i].rank > steps.front().rank)
        {
            return;
        }
        place_step(s, steps[i], capacity);
    }
    if (whole)
    {
        place_later_steps(s, steps, most, capacity);
    }
}

} // namespace cicada::batch
