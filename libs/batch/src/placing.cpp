#include "state.hpp"

#include <algorithm>
#include <tuple>

namespace cicada::batch
{

namespace
{

constexpr milliseconds ticket_margin{150}; //!< the way to the worker, twice
constexpr int most_workers_asked = 100;    //!< the advisor's bound of one call
constexpr int least_workers_asked = 8;
constexpr std::size_t steps_per_pass = 150; //!< bounds one pass's time
constexpr milliseconds least_run{300};      //!< before a run may be preempted
constexpr milliseconds gang_patience{3000}; //!< slack kept by preempting
constexpr int asked_per_task = 3; //!< about the inverse of the share allowed

/** A step with tasks to place, in the order of placing. */
struct waiting_step
{
    job_record* j = nullptr;
    int step = 0;
    bool late = false; //!< its objective can't be met any more
    int priority = 0;
    instant latest_start;

    auto key() const
    {
        return std::tie(this->late,
                        this->priority,
                        this->latest_start,
                        this->j->accepted.id,
                        this->step);
    }
};

/** What a worker can do for a step now. */
enum class standing
{
    ready,   //!< may be used
    expired, //!< allowed, its ticket has run out
    unasked, //!< the advisor hasn't been asked
    excluded //!< not allowed, or not fit
};

std::vector<waiting_step> waiting_steps(scheduler& s)
{
    std::vector<waiting_step> all;
    for (std::string const& id : s.live)
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
            w.priority = j.accepted.queue.priority;
            w.latest_start = j.objective - j.steps[i].rest;
            w.late = w.latest_start < s.now;
            all.push_back(w);
        }
    }
    std::sort(all.begin(),
              all.end(),
              [](waiting_step const& left, waiting_step const& right)
              {
                  return left.key() < right.key();
              });
    return all;
}

standing standing_of(scheduler const& s,
                     worker_record const& w,
                     job_record const& j,
                     int step)
{
    std::size_t const at = static_cast<std::size_t>(step);
    task_step const& shape = j.accepted.steps[at];
    std::vector<std::string> const& labels = w.offer.labels;
    if (w.offer.service != j.accepted.queue.service ||
        (!shape.required_label.empty() &&
         std::find(labels.begin(), labels.end(), shape.required_label) ==
             labels.end()))
    {
        return standing::excluded;
    }
    if (!j.accepted.queue.advice)
    {
        return standing::ready;
    }
    auto const advice = j.steps[at].advice.find(w.offer.id);
    if (advice == j.steps[at].advice.end() || advice->second.life != w.life)
    {
        return standing::unasked;
    }
    if (!advice->second.allowed)
    {
        return standing::excluded;
    }
    return advice->second.valid_until > s.now + ticket_margin
               ? standing::ready
               : standing::expired;
}

/** A usable worker in one pass of placing. */
struct slot
{
    worker_record* w = nullptr;
    resources free;        //!< less what steps before have asked advice for
    resources leaving;     //!< of runs that are being stopped
    bool reserved = false; //!< a gang waits for it
};

/** What is free in one pass; later steps see what earlier ones leave. */
struct free_room
{
    std::vector<slot> slots;
    std::int64_t most_cores = 0; //!< of one slot, when the pass began
};

free_room gather_room(scheduler& s)
{
    free_room room;
    for (auto& entry : s.workers)
    {
        worker_record& w = entry.second;
        if (usable(s, w))
        {
            slot next{&w, w.offer.capacity - w.used, {}, false};
            for (auto const& run : w.runs)
            {
                if (run.second.phase == run_phase::stopping)
                {
                    next.leaving = next.leaving + run.second.size;
                }
            }
            room.most_cores = std::max(room.most_cores, next.free.milli_cores);
            room.slots.push_back(next);
        }
    }
    return room;
}

/** How many tasks of the step fit into the slot now. */
int room_for(slot const& at, job_record const& j, int step)
{
    task_step const& shape = j.accepted.steps[static_cast<std::size_t>(step)];
    std::int64_t fits = shape.count;
    auto const limit = [&fits](std::int64_t have, std::int64_t need)
    {
        if (need > 0)
        {
            fits = std::min(fits, std::max<std::int64_t>(have, 0) / need);
        }
    };
    limit(at.free.milli_cores, shape.size.milli_cores);
    limit(at.free.memory_mib, shape.size.memory_mib);
    limit(at.free.accelerators, shape.size.accelerators);
    if (shape.per_worker > 0)
    {
        std::int64_t here = 0;
        auto run = at.w->runs.lower_bound({j.accepted.id, step, 0});
        for (; run != at.w->runs.end() && run->first.job == j.accepted.id &&
               run->first.step == step;
             ++run)
        {
            ++here;
        }
        fits = std::min<std::int64_t>(fits, shape.per_worker - here);
    }
    return static_cast<int>(std::max<std::int64_t>(fits, 0));
}

struct candidate
{
    slot* at = nullptr;
    int room = 0;
    bool near = true;
};

/** Starts one task, unless the worker still has an earlier run of it. */
void start_one(scheduler& s,
               job_record& j,
               int step,
               int index,
               std::uint64_t run,
               slot& at)
{
    task_ref const task{j.accepted.id, step, index};
    if (at.w->runs.count(task) != 0)
    {
        return;
    }
    std::size_t const number = static_cast<std::size_t>(step);
    auto const& advice = j.steps[number].advice;
    auto const found = advice.find(at.w->offer.id);
    at.free = at.free - j.accepted.steps[number].size;
    start_run(s,
              *at.w,
              j,
              task,
              run,
              found == advice.end() ? "" : found->second.ticket);
}

bool is_rack(worker_record const& w, std::string const& rack)
{
    return std::find(w.offer.labels.begin(), w.offer.labels.end(), rack) !=
           w.offer.labels.end();
}

std::string rack_of(worker_record const& w)
{
    return w.offer.labels.size() > 1 ? w.offer.labels[1] : "";
}

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
 * Changes nothing and answers false if that would not do.
 */
bool preempt_on(scheduler& s, slot& at, job_record& j, int step, int count)
{
    task_step const& shape = j.accepted.steps[static_cast<std::size_t>(step)];
    resources const needed = shape.size * count;
    resources room = at.free + at.leaving;
    std::vector<task_ref> stopped;
    if (!fits(needed, room))
    {
        for (task_ref const& victim : victims_on(s, *at.w, j))
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
        return false;
    }
    for (task_ref const& victim : stopped)
    {
        log(s,
            603,
            "job=" + victim.job + " task=" + to_string(victim) +
                " worker=" + at.w->offer.id + " for=" + j.accepted.id);
        at.leaving = at.leaving + at.w->runs.at(victim).size;
        call_off(s, *at.w, victim);
    }
    at.free = at.free - needed; // kept for this step, also once it is free
    return true;
}

/** Splits the workers with room by what must be done before they are used. */
struct choices
{
    std::vector<candidate> ready;
    std::vector<candidate> expired;
    std::vector<candidate> unasked;
};

choices choices_for(scheduler& s, job_record& j, int step, free_room& room)
{
    choices found;
    task_step const& shape = j.accepted.steps[static_cast<std::size_t>(step)];
    for (slot& at : room.slots)
    {
        if (at.reserved)
        {
            continue;
        }
        int const fits = room_for(at, j, step);
        if (fits == 0 && !shape.gang)
        {
            continue;
        }
        standing const can = standing_of(s, *at.w, j, step);
        candidate const c{&at,
                          fits,
                          shape.data_rack.empty() ||
                              is_rack(*at.w, shape.data_rack)};
        if (can == standing::unasked)
        {
            found.unasked.push_back(c);
        }

        else if (can == standing::ready && fits > 0)
        {
            found.ready.push_back(c);
        }
        else if (can == standing::expired && fits > 0)
        {
            found.expired.push_back(c);
        }
    }
    return found;
}

/** Near the data first, then the fullest that fits. */
bool packs_better(candidate const& left, candidate const& right)
{
    if (left.near != right.near)
    {
        return left.near;
    }
    std::int64_t const a = left.at->free.milli_cores;
    std::int64_t const b = right.at->free.milli_cores;
    return a != b ? a < b : left.at < right.at;
}

/** The most room first, so that a gang spans few workers. */
bool roomier(candidate const& left, candidate const& right)
{
    return left.room != right.room ? left.room > right.room
                                   : left.at < right.at;
}

int total_room(std::vector<candidate> const& all)
{
    int sum = 0;
    for (candidate const& c : all)
    {
        sum += c.room;
    }
    return sum;
}

void ask(scheduler& s,
         job_record& j,
         int step,
         std::vector<candidate> expired,
         std::vector<candidate> unasked,
         int most)
{
    std::vector<std::string> names;
    task_step const& shape = j.accepted.steps[static_cast<std::size_t>(step)];
    std::sort(expired.begin(), expired.end(), roomier);
    std::sort(unasked.begin(), unasked.end(), roomier);
    for (std::vector<candidate> const* part : {&expired, &unasked})
    {
        for (candidate const& c : *part)
        {
            if (static_cast<int>(names.size()) < most)
            {
                names.push_back(c.at->w->offer.id);
                // Room that is asked about is not offered to later steps.
                if (!shape.gang)
                {
                    c.at->free = c.at->free - shape.size;
                }
            }
        }
    }
    if (!names.empty())
    {
        seek_advice(s, j, step, names);
    }
}

void place_single(scheduler& s, waiting_step const& at, free_room& room)
{
    job_record& j = *at.j;
    step_record& step = j.steps[static_cast<std::size_t>(at.step)];
    task_step const& shape =
        j.accepted.steps[static_cast<std::size_t>(at.step)];
    if (shape.size.milli_cores > room.most_cores)
    {
        return;
    }
    choices found = choices_for(s, j, at.step, room);
    std::sort(found.ready.begin(), found.ready.end(), packs_better);
    auto worker = found.ready.begin();
    for (std::size_t k = 0; k < step.tasks.size(); ++k)
    {
        if (step.tasks[k].phase != task_phase::waiting)
        {
            continue;
        }
        while (worker != found.ready.end() && worker->room == 0)
        {
            ++worker;
        }
        if (worker == found.ready.end())
        {
            break;
        }
        worker->room -= 1;
        start_one(
            s, j, at.step, static_cast<int>(k), j.next_run++, *worker->at);
    }
    if (step.waiting > 0)
    {
        ask(s,
            j,
            at.step,
            found.expired,
            found.unasked,
            std::min(
                most_workers_asked,
                std::max(least_workers_asked, step.waiting * asked_per_task)));
    }
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
void reserve(scheduler& s, waiting_step const& at, free_room& room)
{
    job_record& j = *at.j;
    task_step const& shape =
        j.accepted.steps[static_cast<std::size_t>(at.step)];
    if (shape.size.milli_cores <= 0)
    {
        return;
    }
    std::vector<std::pair<instant, slot*>> allowed;
    for (slot& each : room.slots)
    {
        standing const can = standing_of(s, *each.w, j, at.step);
        if (each.reserved ||
            (can != standing::ready && can != standing::expired))
        {
            continue;
        }
        instant free_at = s.now;
        for (auto const& run : each.w->runs)
        {
            free_at = std::max(free_at, run.second.expected_end);
        }
        allowed.emplace_back(free_at, &each);
    }
    std::sort(allowed.begin(), allowed.end());
    bool const pressing = at.latest_start < s.now + gang_patience;
    std::int64_t tasks = 0;
    for (auto const& each : allowed)
    {
        if (tasks >= shape.count)
        {
            return;
        }
        int const here = static_cast<int>(
            std::min(shape.count - tasks,
                     each.second->w->offer.capacity.milli_cores /
                         shape.size.milli_cores));
        tasks += here;
        each.second->reserved = true;
        if (pressing && here > 0)
        {
            preempt_on(s, *each.second, j, at.step, here);
        }
    }
}

void call_off_gang(scheduler& s, job_record& j, int step)
{
    step_record const& record = j.steps[static_cast<std::size_t>(step)];
    for (std::size_t k = 0; k < record.tasks.size(); ++k)
    {
        task_record const& task = record.tasks[k];
        auto const w = s.workers.find(task.worker);
        if (task.phase == task_phase::placed && w != s.workers.end())
        {
            call_off(s, w->second, {j.accepted.id, step, static_cast<int>(k)});
        }
    }
}

/** Starts every member, or none if a worker still has an earlier run. */
void start_gang(scheduler& s,
                job_record& j,
                int step,
                std::vector<candidate> places)
{
    int const count = j.accepted.steps[static_cast<std::size_t>(step)].count;
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
        if (place->at->w->runs.count({j.accepted.id, step, k}) != 0)
        {
            return;
        }
    }
    std::uint64_t const run = j.next_run++;
    for (int k = 0; k < count; ++k)
    {
        start_one(s, j, step, k, run, *plan[static_cast<std::size_t>(k)]);
    }
}

void place_gang(scheduler& s, waiting_step const& at, free_room& room)
{
    job_record& j = *at.j;
    step_record& step = j.steps[static_cast<std::size_t>(at.step)];
    task_step const& shape =
        j.accepted.steps[static_cast<std::size_t>(at.step)];
    if (step.placed > 0)
    {
        // Part of an earlier run is left over, from a take-over or a failure.
        call_off_gang(s, j, at.step);
        return;
    }
    choices found = choices_for(s, j, at.step, room);
    if (total_room(found.ready) >= shape.count)
    {
        start_gang(s, j, at.step, gang_places(shape, found.ready));
        return;
    }
    if (!found.unasked.empty())
    {
        ask(s, j, at.step, {}, found.unasked, most_workers_asked);
    }
    else if (total_room(found.ready) + total_room(found.expired) >= shape.count)
    {
        std::vector<candidate> again = found.expired;
        ask(s, j, at.step, again, found.ready, most_workers_asked);
    }
    if (!at.late)
    {
        reserve(s, at, room);
    }
}

} // namespace

void place_tasks(scheduler& s)
{
    if (s.over || !s.place_wanted || s.now < s.next_place)
    {
        return;
    }
    s.place_wanted = false;
    s.next_place = s.now + s.settings.place_pause;
    free_room room = gather_room(s);
    if (room.slots.empty())
    {
        return;
    }
    std::vector<waiting_step> const steps = waiting_steps(s);
    std::size_t const most = std::min(steps.size(), steps_per_pass);
    for (std::size_t i = 0; i < most; ++i)
    {
        waiting_step const& each = steps[i];
        bool const gang =
            each.j->accepted.steps[static_cast<std::size_t>(each.step)].gang;
        if (gang)
        {
            place_gang(s, each, room);
        }
        else
        {
            place_single(s, each, room);
        }
    }
}

} // namespace cicada::batch
