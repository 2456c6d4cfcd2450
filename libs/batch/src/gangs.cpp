#include "placing.hpp"

#include "event_numbers/event_numbers.hpp"

#include <algorithm>
#include <iterator>

namespace cicada::batch
{

namespace
{

/** Shorter runs aren't preempted. */
constexpr milliseconds min_run_before_preemption{300};
constexpr milliseconds gang_preemption_slack{3000}; //!< preempts below this
constexpr int min_allowed_factor = 2;               //!< x gang; some are busy

/** Returns the runs that may be stopped for the step: less urgent ones that
 * lose little work because they write checkpoints. */
std::vector<task_ref> preemptible_runs(scheduler const& s,
                                       worker_record const& w,
                                       job_record const& j)
{
    std::vector<task_ref> found;
    for (auto const& entry : w.runs)
    {
        auto const of = s.jobs.find(entry.first.job);
        if (of == s.jobs.end() || entry.second.phase != run_phase::running)
        {
            continue;
        }
        task_step const& shape =
            of->second.accepted
                .steps[static_cast<std::size_t>(entry.first.step)];
        bool const less_urgent =
            of->second.accepted.queue.priority > j.accepted.queue.priority;
        if (less_urgent && shape.checkpointing && !shape.gang &&
            s.now >= entry.second.started + min_run_before_preemption)
        {
            found.push_back(entry.first);
        }
    }
    return found;
}

/**
 * Stops less urgent runs on one worker until `count` tasks of the step fit.
 * Changes nothing if that isn't enough.
 */
void preempt_on(scheduler& s,
                worker_view& worker,
                waiting_step const& step,
                int count)
{
    resources const needed = step.shape().size * count;
    resources capacity = worker.free + worker.leaving;
    std::vector<task_ref> stopped;
    if (!fits(needed, capacity))
    {
        for (task_ref const& victim : preemptible_runs(s, *worker.w, *step.j))
        {
            capacity = capacity + worker.w->runs.at(victim).size;
            stopped.push_back(victim);
            if (fits(needed, capacity))
            {
                break;
            }
        }
    }
    if (!fits(needed, capacity))
    {
        return;
    }
    for (task_ref const& victim : stopped)
    {
        log(s,
            events::task_preempted,
            "job=" + victim.job + " task=" + to_string(victim) + " worker=" +
                worker.w->offer.id + " for=" + step.j->accepted.id);
        worker.leaving = worker.leaving + worker.w->runs.at(victim).size;
        stop_run(s, *worker.w, victim);
    }
    worker.free = worker.free - needed; // withheld from later steps
}

/** Returns the candidates of one speed if the whole gang fits on them, the
 * slowest such speed, otherwise all: the gang runs at the pace of its slowest
 * member. */
std::vector<candidate> workers_of_like_speed(task_step const& shape,
                                             std::vector<candidate> ready)
{
    std::map<int, std::vector<candidate>> groups;
    for (candidate const& c : ready)
    {
        groups[c.worker->speed_class].push_back(c);
    }
    for (auto const& group : groups)
    {
        if (total_capacity(group.second) >= shape.count)
        {
            return group.second;
        }
    }
    return ready;
}

/** Returns the candidates of one rack if the whole gang fits on them, otherwise
 * all candidates. */
std::vector<candidate> choose_gang_workers(task_step const& shape,
                                           std::vector<candidate> ready)
{
    std::sort(ready.begin(), ready.end(), has_more_capacity);
    if (!shape.same_rack)
    {
        return workers_of_like_speed(shape, std::move(ready));
    }
    std::map<std::string, std::vector<candidate>> racks;
    for (candidate const& c : ready)
    {
        racks[rack_of(*c.worker->w)].push_back(c);
    }
    for (auto const& rack : racks)
    {
        if (total_capacity(rack.second) >= shape.count)
        {
            return rack.second;
        }
    }
    return ready;
}

/** Returns how many members fit on the worker if it is otherwise idle. */
int idle_capacity(waiting_step const& step, worker_view const& worker)
{
    worker_view empty = worker;
    empty.free = worker.w->offer.capacity;
    return tasks_that_fit(empty, step);
}

/** Returns whether the gang fits if all workers that may run it are idle. The
 * advisor may yet allow those that it hasn't answered for. */
bool fits_on_idle_workers(waiting_step const& step, free_capacity& capacity)
{
    int missing = step.shape().count;
    for (worker_view const* each : allowed_workers(step, capacity))
    {
        missing -= idle_capacity(step, *each);
    }
    // In a large fleet a gang needs only a few of the workers.
    for (auto each = capacity.workers.begin();
         missing > 0 && each != capacity.workers.end();
         ++each)
    {
        if (awaits_advice(step, *each))
        {
            missing -= idle_capacity(step, *each);
        }
    }
    return missing <= 0;
}

/** Reserves for a waiting gang the workers that become free first, unless it
 * doesn't fit even on idle ones. */
void reserve_workers(scheduler& s,
                     waiting_step const& step,
                     free_capacity& capacity)
{
    if (!fits_on_idle_workers(step, capacity))
    {
        return;
    }
    std::vector<worker_view*> allowed = allowed_workers(step, capacity);
    std::sort(allowed.begin(),
              allowed.end(),
              [](worker_view const* left, worker_view const* right)
              {
                  return left->free_at != right->free_at
                             ? left->free_at < right->free_at
                             : left < right;
              });
    bool const urgent = step.latest_start < s.now + gang_preemption_slack;
    int missing = step.shape().count;
    for (worker_view* each : allowed)
    {
        if (missing == 0)
        {
            return;
        }
        int const here = std::min(missing, idle_capacity(step, *each));
        if (each->reserved || here == 0)
        {
            continue;
        }
        missing -= here;
        each->reserved = true;
        if (urgent)
        {
            preempt_on(s, *each, step, here);
        }
    }
}

void stop_gang(scheduler& s, waiting_step const& step)
{
    step_record const& record = step.record();
    for (auto const& task : record.tasks)
    {
        auto const w = s.workers.find(task.second.worker);
        if (task.second.placed && w != s.workers.end())
        {
            stop_run(
                s, w->second, {step.j->accepted.id, step.step, task.first});
        }
    }
}

/** Starts all members, or none if a worker still has an earlier run. */
void start_gang(scheduler& s,
                waiting_step const& step,
                std::vector<candidate> places)
{
    int const count = step.shape().count;
    std::vector<worker_view*> plan;
    auto place = places.begin();
    for (int k = 0; k < count; ++k)
    {
        while (place->capacity == 0)
        {
            ++place;
        }
        place->capacity -= 1;
        plan.push_back(place->worker);
        if (place->worker->w->runs.count({step.j->accepted.id, step.step, k}) !=
            0)
        {
            return;
        }
    }
    std::uint64_t const run = step.j->next_run++;
    for (int k = 0; k < count; ++k)
    {
        place_task(s, step, k, run, *plan[static_cast<std::size_t>(k)]);
    }
}

/** Returns whether the gang fits on the allowed workers if they are idle. */
bool allowed_suffice(waiting_step const& step, free_capacity& capacity)
{
    int allowed = 0;
    for (worker_view const* each : allowed_workers(step, capacity))
    {
        allowed += idle_capacity(step, *each);
    }
    return allowed >= step.shape().count * min_allowed_factor;
}

/**
 * Renews expired tickets if the gang fits on those workers. Otherwise requests
 * advice on further workers with free capacity, or, if there are none, on any
 * workers as long as the gang would not fit on the allowed ones.
 */
void request_gang_advice(scheduler& s,
                         waiting_step const& step,
                         free_capacity& capacity,
                         step_candidates const& found)
{
    if (!may_call_advisor(s, step.record()))
    {
        return;
    }
    std::vector<candidate> allowed = found.expired;
    allowed.insert(allowed.end(), found.ready.begin(), found.ready.end());
    if (total_capacity(allowed) >= step.shape().count)
    {
        request_more_advice(s, step, capacity, std::move(allowed), {});
        return;
    }
    if (found.with_advice >= capacity.workers.size())
    {
        return;
    }
    std::vector<candidate> unasked = candidates_without_advice(step, capacity);
    std::vector<candidate> with_capacity;
    std::copy_if(unasked.begin(),
                 unasked.end(),
                 std::back_inserter(with_capacity),
                 [](candidate const& each)
                 {
                     return each.capacity > 0;
                 });
    if (!with_capacity.empty())
    {
        request_more_advice(
            s, step, capacity, std::move(allowed), std::move(with_capacity));
    }
    else if (!allowed_suffice(step, capacity))
    {
        for (candidate& each : unasked)
        {
            each.capacity = idle_capacity(step, *each.worker);
        }
        request_more_advice(s, step, capacity, {}, std::move(unasked));
    }
}

} // namespace

void place_gang(scheduler& s, waiting_step const& step, free_capacity& capacity)
{
    if (step.record().placed > 0)
    {
        // Members of an earlier run remain after a takeover or a failure.
        stop_gang(s, step);
        return;
    }
    step_candidates const found = find_candidates(s, step, capacity);
    if (total_capacity(found.ready) >= step.shape().count)
    {
        start_gang(s, step, choose_gang_workers(step.shape(), found.ready));
        return;
    }
    if (step.j->terms.advice)
    {
        request_gang_advice(s, step, capacity, found);
    }
    if (!step.late)
    {
        reserve_workers(s, step, capacity);
    }
}

} // namespace cicada::batch
