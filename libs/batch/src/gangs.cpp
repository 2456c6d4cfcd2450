#include "placing.hpp"

#include <algorithm>
#include <iterator>

namespace cicada::batch
{

namespace
{

constexpr milliseconds least_run{300};      //!< before a run may be preempted
constexpr milliseconds gang_patience{3000}; //!< slack kept by preempting
constexpr int enough_allowed = 2; //!< times the gang, some of it is busy

/** Runs that may be stopped for the step: less urgent, and they lose little. */
std::vector<task_ref>
victims_on(scheduler const& s, worker_record const& w, job_record const& j)
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
            s.now >= entry.second.started + least_run)
        {
            found.push_back(entry.first);
        }
    }
    return found;
}

/**
 * Stops less urgent runs on one worker until `count` tasks of the step fit.
 * Changes nothing if that would not do.
 */
void preempt_on(scheduler& s, slot& at, waiting_step const& step, int count)
{
    resources const needed = step.shape().size * count;
    resources room = at.free + at.leaving;
    std::vector<task_ref> stopped;
    if (!fits(needed, room))
    {
        for (task_ref const& victim : victims_on(s, *at.w, *step.j))
        {
            room = room + at.w->runs.at(victim).size;
            stopped.push_back(victim);
            if (fits(needed, room))
            {
                break;
            }
        }
    }
    if (!fits(needed, room))
    {
        return;
    }
    for (task_ref const& victim : stopped)
    {
        log(s,
            603,
            "job=" + victim.job + " task=" + to_string(victim) +
                " worker=" + at.w->offer.id + " for=" + step.j->accepted.id);
        at.leaving = at.leaving + at.w->runs.at(victim).size;
        call_off(s, *at.w, victim);
    }
    at.free = at.free - needed; // kept for this step, also once it is free
}

/** One rack's candidates that hold the whole gang; else all of them. */
std::vector<candidate> gang_places(task_step const& shape,
                                   std::vector<candidate> ready)
{
    std::sort(ready.begin(), ready.end(), roomier);
    if (!shape.same_rack)
    {
        return ready;
    }
    std::map<std::string, std::vector<candidate>> racks;
    for (candidate const& c : ready)
    {
        racks[rack_of(*c.at->w)].push_back(c);
    }
    for (auto const& rack : racks)
    {
        if (total_room(rack.second) >= shape.count)
        {
            return rack.second;
        }
    }
    return ready;
}

/** Keeps the workers that will be free soonest for a gang that waits. */
void reserve(scheduler& s, waiting_step const& step, free_room& room)
{
    task_step const& shape = step.shape();
    if (shape.size.milli_cores <= 0)
    {
        return;
    }
    std::vector<slot*> allowed = allowed_slots(step, room);
    std::sort(allowed.begin(),
              allowed.end(),
              [](slot const* left, slot const* right)
              {
                  return left->free_at != right->free_at
                             ? left->free_at < right->free_at
                             : left < right;
              });
    bool const pressing = step.latest_start < s.now + gang_patience;
    std::int64_t tasks = 0;
    for (slot* each : allowed)
    {
        if (each->reserved)
        {
            continue;
        }
        if (tasks >= shape.count)
        {
            return;
        }
        int const here = static_cast<int>(std::min(
            shape.count - tasks,
            each->w->offer.capacity.milli_cores / shape.size.milli_cores));
        tasks += here;
        each->reserved = true;
        if (pressing && here > 0)
        {
            preempt_on(s, *each, step, here);
        }
    }
}

void call_off_gang(scheduler& s, waiting_step const& step)
{
    step_record const& record = step.record();
    for (std::size_t k = 0; k < record.tasks.size(); ++k)
    {
        task_record const& task = record.tasks[k];
        auto const w = s.workers.find(task.worker);
        if (task.phase == task_phase::placed && w != s.workers.end())
        {
            call_off(s,
                     w->second,
                     {step.j->accepted.id, step.step, static_cast<int>(k)});
        }
    }
}

/** Starts every member, or none if a worker still has an earlier run. */
void start_gang(scheduler& s,
                waiting_step const& step,
                std::vector<candidate> places)
{
    int const count = step.shape().count;
    std::vector<slot*> plan;
    auto place = places.begin();
    for (int k = 0; k < count; ++k)
    {
        while (place->room == 0)
        {
            ++place;
        }
        place->room -= 1;
        plan.push_back(place->at);
        if (place->at->w->runs.count({step.j->accepted.id, step.step, k}) != 0)
        {
            return;
        }
    }
    std::uint64_t const run = step.j->next_run++;
    for (int k = 0; k < count; ++k)
    {
        start_one(s, step, k, run, *plan[static_cast<std::size_t>(k)]);
    }
}

/** How many members the slot would hold if nothing else ran there. */
int empty_room(waiting_step const& step, slot const& at)
{
    slot empty = at;
    empty.free = at.w->offer.capacity;
    return room_for(empty, step);
}

/** Whether the workers allowed so far could hold the gang, were they empty. */
bool allowed_suffice(waiting_step const& step, free_room& room)
{
    int allowed = 0;
    for (slot const* each : allowed_slots(step, room))
    {
        allowed += empty_room(step, *each);
    }
    return allowed >= step.shape().count * enough_allowed;
}

/**
 * Asks again about those whose tickets ran out if they have room for the gang;
 * else about more that have room now; if none has, about any, as long as the
 * gang would not fit on the ones allowed.
 */
void ask_for_gang(scheduler& s,
                  waiting_step const& step,
                  free_room& room,
                  choices const& found)
{
    if (!may_ask(s, step.record()))
    {
        return;
    }
    std::vector<candidate> known = found.expired;
    known.insert(known.end(), found.ready.begin(), found.ready.end());
    if (total_room(known) >= step.shape().count)
    {
        ask_about(s, step, std::move(known), {});
        return;
    }
    if (found.known >= room.slots.size())
    {
        return;
    }
    std::vector<candidate> unasked = unasked_for(step, room);
    std::vector<candidate> roomy;
    std::copy_if(unasked.begin(),
                 unasked.end(),
                 std::back_inserter(roomy),
                 [](candidate const& each)
                 {
                     return each.room > 0;
                 });
    if (!roomy.empty())
    {
        ask_about(s, step, std::move(known), std::move(roomy));
    }
    else if (!allowed_suffice(step, room))
    {
        for (candidate& each : unasked)
        {
            each.room = empty_room(step, *each.at);
        }
        ask_about(s, step, {}, std::move(unasked));
    }
}

} // namespace

void place_gang(scheduler& s, waiting_step const& step, free_room& room)
{
    if (step.record().placed > 0)
    {
        // Part of an earlier run is left over, from a take-over or a failure.
        call_off_gang(s, step);
        return;
    }
    choices const found = choices_for(s, step, room);
    if (total_room(found.ready) >= step.shape().count)
    {
        start_gang(s, step, gang_places(step.shape(), found.ready));
        return;
    }
    if (step.j->accepted.queue.advice)
    {
        ask_for_gang(s, step, room, found);
    }
    if (!step.late)
    {
        reserve(s, step, room);
    }
}

} // namespace cicada::batch
