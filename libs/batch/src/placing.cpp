#include "placing.hpp"

#include <algorithm>
#include <tuple>

namespace cicada::batch
{

namespace
{

/** A worker that says it leaves gets no start 2 s later, at the least. */
constexpr milliseconds list_patience{1500};
constexpr std::size_t steps_per_pass = 150; //!< bounds one pass's time
/** Steps of the first rank are placed in every pass, the others this often:
 * in a burst tens of wide steps wait, and each pass over them takes time that
 * the urgent ones wait for. */
constexpr milliseconds whole_pass_pause{50};
constexpr std::size_t few_steps = 30; //!< each pass visits so many

auto order_of(waiting_step const& step)
{
    return std::tie(
        step.rank, step.latest_start, step.j->accepted.id, step.step);
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
            w.rank = rank_of(j, i, s.now);
            w.latest_start = latest_start(j, i);
            w.late = w.latest_start < s.now;
            all.push_back(w);
        }
    }
    std::sort(all.begin(),
              all.end(),
              [](waiting_step const& left, waiting_step const& right)
              {
                  return order_of(left) < order_of(right);
              });
    return all;
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

void start_on(scheduler& s,
              waiting_step const& step,
              std::vector<candidate>& ready)
{
    std::sort(ready.begin(), ready.end(), packs_better);
    std::vector<task_record> const& tasks = step.record().tasks;
    auto worker = ready.begin();
    for (std::size_t k = 0; k < tasks.size(); ++k)
    {
        if (tasks[k].phase != task_phase::waiting)
        {
            continue;
        }
        while (worker != ready.end() && worker->room == 0)
        {
            ++worker;
        }
        if (worker == ready.end())
        {
            return;
        }
        worker->room -= 1;
        start_one(
            s, step, static_cast<int>(k), step.j->next_run++, *worker->at);
    }
}

void place_single(scheduler& s, waiting_step const& step, free_room& room)
{
    if (step.shape().size.milli_cores > room.most_cores)
    {
        return;
    }
    choices found = choices_for(s, step, room);
    start_on(s, step, found.ready);
    if (step.record().waiting == 0 || !step.j->accepted.queue.advice)
    {
        return;
    }
    if (!may_ask(s, step.record()))
    {
        hold_asked_room(step, room);
        return;
    }
    std::vector<candidate> unasked;
    if (found.known < room.slots.size())
    {
        unasked = unasked_for(step, room);
    }
    ask_about(s, step, std::move(found.expired), std::move(unasked));
}

} // namespace

void place_tasks(scheduler& s)
{
    if (s.over || !s.place_wanted || s.now < s.next_place ||
        s.list_behind > list_patience)
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
    bool const whole = s.now >= s.next_whole_pass || steps.size() <= few_steps;
    if (whole)
    {
        s.next_whole_pass = s.now + whole_pass_pause;
    }
    std::size_t const most = std::min(steps.size(), steps_per_pass);
    for (std::size_t i = 0; i < most; ++i)
    {
        if (!whole && steps[i].rank > steps.front().rank)
        {
            break;
        }
        if (steps[i].shape().gang)
        {
            place_gang(s, steps[i], room);
        }
        else
        {
            place_single(s, steps[i], room);
        }
    }
}

} // namespace cicada::batch
