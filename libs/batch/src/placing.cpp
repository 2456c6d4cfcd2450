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

milliseconds rest_of_chain(job_record const& j, std::size_t from)
{
    milliseconds longest{0};
    for (std::size_t i = from + 1; i < j.steps.size(); ++i)
    {
        std::vector<int> const& after = j.accepted.steps[i].after;
        if (std::find(after.begin(), after.end(), static_cast<int>(from)) !=
            after.end())
        {
            longest = std::max(longest, rest_of_chain(j, i));
        }
    }
    return longest + j.accepted.steps[from].estimate;
}

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
            w.latest_start = j.objective - rest_of_chain(j, i);
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
    if (w.offer.service != j.accepted.queue.service || !usable(s, w) ||
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

/** How many tasks of the step fit on the worker now. */
int room_for(worker_record const& w, job_record const& j, int step)
{
    std::size_t const at = static_cast<std::size_t>(step);
    task_step const& shape = j.accepted.steps[at];
    resources const free = w.offer.capacity - w.used;
    std::int64_t fits = shape.count;
    auto const limit = [&fits](std::int64_t have, std::int64_t need)
    {
        if (need > 0)
        {
            fits = std::min(fits, std::max<std::int64_t>(have, 0) / need);
        }
    };
    limit(free.milli_cores, shape.size.milli_cores);
    limit(free.memory_mib, shape.size.memory_mib);
    limit(free.accelerators, shape.size.accelerators);
    int here = 0;
    auto run = w.runs.lower_bound({j.accepted.id, step, 0});
    for (; run != w.runs.end() && run->first.job == j.accepted.id &&
           run->first.step == step;
         ++run)
    {
        ++here;
    }
    if (shape.per_worker > 0)
    {
        fits = std::min<std::int64_t>(fits, shape.per_worker - here);
    }
    return static_cast<int>(std::max<std::int64_t>(fits, 0));
}

/** Workers that a gang waits for: others place nothing there. */
using reservations = std::set<std::string>;

struct candidate
{
    worker_record* w = nullptr;
    int room = 0;
    bool near = true;
};

/** Starts one task, unless the worker still has an earlier run of it. */
bool start_one(scheduler& s,
               job_record& j,
               int step,
               int index,
               std::uint64_t run,
               worker_record& w)
{
    task_ref const task{j.accepted.id, step, index};
    if (w.runs.count(task) != 0)
    {
        return false;
    }
    auto const& advice = j.steps[static_cast<std::size_t>(step)].advice;
    auto const found = advice.find(w.offer.id);
    start_run(
        s, w, j, task, run, found == advice.end() ? "" : found->second.ticket);
    return true;
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

/** Splits the workers with room by what must be done before they are used. */
struct choices
{
    std::vector<candidate> ready;
    std::vector<candidate> expired;
    std::vector<candidate> unasked;
    int allowed_elsewhere = 0; //!< allowed, without room now
};

choices
choices_for(scheduler& s, job_record& j, int step, reservations const& kept)
{
    choices found;
    task_step const& shape = j.accepted.steps[static_cast<std::size_t>(step)];
    for (auto& entry : s.workers)
    {
        worker_record& w = entry.second;
        standing const can = standing_of(s, w, j, step);
        if (can == standing::excluded || kept.count(entry.first) != 0)
        {
            continue;
        }
        candidate const c{&w,
                          room_for(w, j, step),
                          shape.data_rack.empty() ||
                              is_rack(w, shape.data_rack)};
        if (can == standing::unasked && (c.room > 0 || shape.gang))
        {
            found.unasked.push_back(c);
        }
        else if (c.room == 0)
        {
            found.allowed_elsewhere += can == standing::unasked ? 0 : 1;
        }
        else if (can == standing::ready)
        {
            found.ready.push_back(c);
        }
        else if (can == standing::expired)
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
    std::int64_t const a =
        left.w->offer.capacity.milli_cores - left.w->used.milli_cores;
    std::int64_t const b =
        right.w->offer.capacity.milli_cores - right.w->used.milli_cores;
    return a != b ? a < b : left.w->offer.id < right.w->offer.id;
}

/** The most room first, so that a gang spans few workers. */
bool roomier(candidate const& left, candidate const& right)
{
    return left.room != right.room ? left.room > right.room
                                   : left.w->offer.id < right.w->offer.id;
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
    std::sort(expired.begin(), expired.end(), roomier);
    std::sort(unasked.begin(), unasked.end(), roomier);
    for (std::vector<candidate> const* part : {&expired, &unasked})
    {
        for (candidate const& c : *part)
        {
            if (static_cast<int>(names.size()) < most)
            {
                names.push_back(c.w->offer.id);
            }
        }
    }
    if (!names.empty())
    {
        seek_advice(s, j, step, names);
    }
}

void place_single(scheduler& s,
                  waiting_step const& at,
                  reservations const& kept)
{
    job_record& j = *at.j;
    step_record& step = j.steps[static_cast<std::size_t>(at.step)];
    choices found = choices_for(s, j, at.step, kept);
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
        start_one(s, j, at.step, static_cast<int>(k), j.next_run++, *worker->w);
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
        racks[rack_of(*c.w)].push_back(c);
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
void reserve(scheduler& s, waiting_step const& at, reservations& kept)
{
    job_record& j = *at.j;
    task_step const& shape =
        j.accepted.steps[static_cast<std::size_t>(at.step)];
    std::vector<std::pair<instant, candidate>> allowed;
    for (auto& entry : s.workers)
    {
        worker_record& w = entry.second;
        standing const can = standing_of(s, w, j, at.step);
        if ((can != standing::ready && can != standing::expired) ||
            kept.count(entry.first) != 0 || shape.size.milli_cores <= 0)
        {
            continue;
        }
        instant free_at = s.now;
        for (auto const& run : w.runs)
        {
            free_at = std::max(free_at, run.second.expected_end);
        }
        int const whole = static_cast<int>(w.offer.capacity.milli_cores /
                                           shape.size.milli_cores);
        allowed.push_back({free_at, {&w, whole, true}});
    }
    std::sort(allowed.begin(),
              allowed.end(),
              [](auto const& left, auto const& right)
              {
                  return left.first < right.first;
              });
    int room = 0;
    for (auto const& each : allowed)
    {
        if (room >= shape.count)
        {
            return;
        }
        room += each.second.room;
        kept.insert(each.second.w->offer.id);
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

void place_gang(scheduler& s, waiting_step const& at, reservations& kept)
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
    choices found = choices_for(s, j, at.step, kept);
    if (total_room(found.ready) >= shape.count)
    {
        std::vector<candidate> places = gang_places(shape, found.ready);
        std::uint64_t const run = j.next_run++;
        auto worker = places.begin();
        for (int k = 0; k < shape.count; ++k)
        {
            while (worker->room == 0)
            {
                ++worker;
            }
            worker->room -= 1;
            start_one(s, j, at.step, k, run, *worker->w);
        }
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
        reserve(s, at, kept);
    }
}

} // namespace

void place_tasks(scheduler& s)
{
    if (s.over || !s.place_wanted)
    {
        return;
    }
    s.place_wanted = false;
    reservations kept;
    for (waiting_step const& each : waiting_steps(s))
    {
        bool const gang =
            each.j->accepted.steps[static_cast<std::size_t>(each.step)].gang;
        if (gang)
        {
            place_gang(s, each, kept);
        }
        else
        {
            place_single(s, each, kept);
        }
    }
}

} // namespace cicada::batch
