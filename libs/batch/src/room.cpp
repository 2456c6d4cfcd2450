#include "placing.hpp"

#include <algorithm>

namespace cicada::batch
{

namespace
{

constexpr milliseconds ticket_margin{150}; //!< the way to the worker, twice
constexpr std::size_t most_workers_asked = 100; //!< the bound of one call
constexpr double spare_room = 1.5; //!< others may take some meanwhile
/** Nothing is kept for a gang while it asks, and all of it must fit at once:
 * with many workers allowed it needs little room on each. */
constexpr double spare_gang_room = 4.0;
constexpr double least_allowed = 3.0; //!< workers, so that chance evens out
constexpr double cheap_part = 0.25;   //!< of a call's time, for more workers
constexpr int held_a_task = 3;        //!< workers kept for a task that asks

bool has_label(worker_record const& w, std::string const& label)
{
    return std::find(w.offer.labels.begin(), w.offer.labels.end(), label) !=
           w.offer.labels.end();
}

/** Whether the worker may run the step at all, as far as we know. */
bool suits(worker_record const& w, waiting_step const& step)
{
    task_step const& shape = step.shape();
    return w.offer.service == step.j->accepted.queue.service &&
           (shape.required_label.empty() || has_label(w, shape.required_label));
}

/** On how many of the workers asked about a single task's room is kept. */
int held_workers(waiting_step const& step)
{
    return step.shape().gang ? 0 : step.record().waiting * held_a_task;
}

candidate make_candidate(slot& at, waiting_step const& step)
{
    std::string const& rack = step.shape().data_rack;
    return {&at, room_for(at, step), rack.empty() || has_label(*at.w, rack)};
}

} // namespace

free_room gather_room(scheduler& s)
{
    free_room room;
    room.slots.reserve(s.workers.size());
    for (auto& entry : s.workers)
    {
        worker_record& w = entry.second;
        if (!usable(s, w))
        {
            continue;
        }
        slot next{&w, w.offer.capacity - w.used, {}, s.now, false};
        for (auto const& run : w.runs)
        {
            next.free_at = std::max(next.free_at, run.second.expected_end);
            if (run.second.phase == run_phase::stopping)
            {
                next.leaving = next.leaving + run.second.size;
            }
        }
        room.most_cores = std::max(room.most_cores, next.free.milli_cores);
        room.slots.push_back(next);
    }
    room.by_number.resize(s.workers.size(), nullptr);
    for (slot& each : room.slots)
    {
        room.by_number[each.w->number] = &each;
    }
    return room;
}

int room_for(slot const& at, waiting_step const& step)
{
    task_step const& shape = step.shape();
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
        std::string const& job = step.j->accepted.id;
        std::int64_t here = 0;
        auto run = at.w->runs.lower_bound({job, step.step, 0});
        for (; run != at.w->runs.end() && run->first.job == job &&
               run->first.step == step.step;
             ++run)
        {
            ++here;
        }
        fits = std::min<std::int64_t>(fits, shape.per_worker - here);
    }
    return static_cast<int>(std::max<std::int64_t>(fits, 0));
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

choices
choices_for(scheduler const& s, waiting_step const& step, free_room& room)
{
    choices found;
    auto const add = [&step](std::vector<candidate>& into, slot& at)
    {
        candidate const c = make_candidate(at, step);
        if (c.room > 0 && !at.reserved)
        {
            into.push_back(c);
        }
    };
    if (!step.j->accepted.queue.advice)
    {
        for (slot& at : room.slots)
        {
            if (suits(*at.w, step))
            {
                add(found.ready, at);
            }
        }
        found.known = room.slots.size();
        return found;
    }
    auto& advice = step.record().advice;
    for (auto each = advice.begin(); each != advice.end();)
    {
        slot* const at = room.at(each->first);
        if (at != nullptr && at->w->life != each->second.life)
        {
            each = advice.erase(each);
            continue;
        }
        if (at != nullptr)
        {
            found.known += 1;
            bool const valid = each->second.valid_until > s.now + ticket_margin;
            if (each->second.allowed && suits(*at->w, step))
            {
                add(valid ? found.ready : found.expired, *at);
            }
        }
        ++each;
    }
    return found;
}

std::vector<candidate> unasked_for(waiting_step const& step, free_room& room)
{
    std::vector<candidate> found;
    auto const& advice = step.record().advice;
    bool const gang = step.shape().gang;
    for (slot& at : room.slots)
    {
        if (at.reserved || advice.count(at.w->number) != 0 ||
            !suits(*at.w, step))
        {
            continue;
        }
        candidate const c = make_candidate(at, step);
        if (c.room > 0 || gang)
        {
            found.push_back(c);
        }
    }
    return found;
}

std::vector<slot*> allowed_slots(waiting_step const& step, free_room& room)
{
    std::vector<slot*> found;
    if (!step.j->accepted.queue.advice)
    {
        for (slot& at : room.slots)
        {
            if (suits(*at.w, step))
            {
                found.push_back(&at);
            }
        }
        return found;
    }
    for (auto const& each : step.record().advice)
    {
        slot* const at = room.at(each.first);
        if (at != nullptr && each.second.allowed &&
            at->w->life == each.second.life && suits(*at->w, step))
        {
            found.push_back(at);
        }
    }
    return found;
}

void ask_about(scheduler& s,
               waiting_step const& step,
               std::vector<candidate> known,
               std::vector<candidate> unknown)
{
    std::vector<worker_record const*> named;
    double const share = allowed_share(s, *step.j);
    double room = 0.0;    // expected, in tasks
    double workers = 0.0; // expected to be allowed
    double const wanted = step.record().waiting *
                          (step.shape().gang ? spare_gang_room : spare_room);
    advice_terms const& terms = *step.j->accepted.queue.advice;
    double const cheap = terms.decision_ms * cheap_part;
    int to_hold = held_workers(step);
    auto const name = [&](candidate const& c, double likely)
    {
        bool const enough =
            room >= wanted && workers >= least_allowed &&
            terms.per_worker_ms * static_cast<double>(named.size()) >= cheap;
        if (enough || named.size() >= most_workers_asked)
        {
            return;
        }
        named.push_back(c.at->w);
        room += likely * c.room;
        workers += likely;
        if (to_hold-- > 0)
        {
            c.at->free = c.at->free - step.shape().size;
        }
    };
    std::sort(known.begin(), known.end(), roomier);
    std::sort(unknown.begin(), unknown.end(), roomier);
    for (candidate const& c : known)
    {
        name(c, 1.0);
    }
    for (candidate const& c : unknown)
    {
        name(c, share);
    }
    if (!named.empty())
    {
        seek_advice(s, *step.j, step.step, named, step.late);
    }
}

void hold_asked_room(waiting_step const& step, free_room& room)
{
    int to_hold = held_workers(step);
    for (std::uint32_t number : step.record().asked)
    {
        slot* const at = room.at(number);
        if (at != nullptr && to_hold-- > 0)
        {
            at->free = at->free - step.shape().size;
        }
    }
}

void start_one(scheduler& s,
               waiting_step const& step,
               int index,
               std::uint64_t run,
               slot& at)
{
    task_ref const task{step.j->accepted.id, step.step, index};
    if (at.w->runs.count(task) != 0)
    {
        return;
    }
    auto const& advice = step.record().advice;
    auto const found = advice.find(at.w->number);
    at.free = at.free - step.shape().size;
    start_run(s,
              *at.w,
              *step.j,
              task,
              run,
              found == advice.end() ? "" : found->second.ticket);
}

bool roomier(candidate const& left, candidate const& right)
{
    return left.room != right.room ? left.room > right.room
                                   : left.at < right.at;
}

std::string rack_of(worker_record const& w)
{
    return w.offer.labels.size() > 1 ? w.offer.labels[1] : "";
}

} // namespace cicada::batch
