#include "overload.hpp"
#include "placing.hpp"

#include <algorithm>
#include <queue>

namespace cicada::batch
{

namespace
{

/** Part of a delay's cost that doesn't depend on the job's work, as the
 * customers value their jobs. */
constexpr double fixed_cost = 0.3;
constexpr milliseconds choice_interval{100};
/** Of all cores: in a full fleet, 72 to 80% of them were in use, as gangs wait
 * for workers and tasks for tickets. */
constexpr double startable_share = 0.70;

/** A step that waits in time, and its work. */
struct step_in_time
{
    step_record* record = nullptr;
    waiting_work work;
};

double work_of(job_record const& j, std::size_t step)
{
    task_step const& shape = j.accepted.steps[step];
    return static_cast<double>(j.steps[step].waiting) *
           static_cast<double>(shape.estimate.count()) *
           static_cast<double>(shape.size.milli_cores) / 1000.0;
}

double remaining_work(job_record const& j)
{
    double sum = 0.0;
    for (std::size_t i = 0; i < j.steps.size(); ++i)
    {
        sum += work_of(j, i);
    }
    return sum;
}

/** Sets the cores that are usable, and what can start on them at once. */
capacity_forecast forecast(scheduler const& s, milliseconds mean_estimate)
{
    capacity_forecast out;
    double cores = 0.0;
    double used = 0.0;
    for (auto const& entry : s.workers)
    {
        if (usable(s, entry.second))
        {
            cores +=
                static_cast<double>(entry.second.offer.capacity.milli_cores) /
                1000.0;
            used += static_cast<double>(entry.second.used.milli_cores) / 1000.0;
        }
    }
    out.cores = cores * startable_share;
    out.free_work = std::max(0.0, out.cores - used) *
                    static_cast<double>(mean_estimate.count());
    return out;
}

/** The waiting steps by rank: those in time, and the work of the others. */
struct waiting_rank
{
    std::vector<step_in_time> in_time;
    double late_work = 0.0;
};

std::map<int, waiting_rank> group_by_rank(scheduler& s)
{
    std::map<int, waiting_rank> ranks;
    for (std::string const& id : s.active_jobs)
    {
        job_record& j = s.jobs.at(id);
        if (j.adopted && !s.settled)
        {
            continue;
        }
        auto const mean = s.mean_work.find(j.accepted.queue.name);
        double const ratio =
            cost_ratio(remaining_work(j),
                       j.work,
                       mean == s.mean_work.end() ? j.work : mean->second.mean);
        for (std::size_t i = 0; i < j.steps.size(); ++i)
        {
            step_record& record = j.steps[i];
            record.put_off = false;
            if (record.waiting == 0 || !step_ready(j, i))
            {
                continue;
            }
            waiting_rank& rank = ranks[placement_rank(j, i, s.now)];
            double const work = work_of(j, i);
            instant const latest = latest_start(j, i);
            if (latest < s.now)
            {
                rank.late_work += work;
                continue;
            }
            rank.in_time.push_back(
                {&record,
                 {work,
                  ratio,
                  std::chrono::duration_cast<milliseconds>(latest - s.now)}});
        }
    }
    return ranks;
}

void clear_put_off(scheduler& s)
{
    if (s.put_off_steps == 0)
    {
        return;
    }
    s.put_off_steps = 0;
    for (std::string const& id : s.active_jobs)
    {
        for (step_record& step : s.jobs.at(id).steps)
        {
            step.put_off = false;
        }
    }
}

milliseconds mean_estimate(scheduler const& s)
{
    std::int64_t sum = 0;
    std::int64_t count = 0;
    for (std::string const& id : s.active_jobs)
    {
        for (task_step const& step : s.jobs.at(id).accepted.steps)
        {
            sum += step.estimate.count();
            count += 1;
        }
    }
    return milliseconds(count == 0 ? 0 : sum / count);
}

} // namespace

double cost_ratio(double remaining_work, double whole_work, double mean_work)
{
    if (mean_work <= 0.0)
    {
        return 1.0;
    }
    double const remaining = std::min(1.0, remaining_work / mean_work);
    double const whole = std::min(1.0, whole_work / mean_work);
    return remaining / (fixed_cost + (1.0 - fixed_cost) * whole);
}

std::vector<bool> choose_put_off(std::vector<waiting_work> const& in_order,
                                 capacity_forecast const& capacity)
{
    std::vector<bool> put_off(in_order.size(), false);
    if (capacity.cores <= 0.0)
    {
        return put_off;
    }
    std::priority_queue<std::pair<double, std::size_t>> kept;
    double ahead = capacity.work_ahead - capacity.free_work;
    for (std::size_t i = 0; i < in_order.size(); ++i)
    {
        double const start_ms = std::max(0.0, ahead) / capacity.cores;
        ahead += in_order[i].work;
        kept.emplace(in_order[i].cost_ratio, i);
        if (start_ms > static_cast<double>(in_order[i].slack.count()))
        {
            std::size_t const last = kept.top().second;
            kept.pop();
            put_off[last] = true;
            ahead -= in_order[last].work;
        }
    }
    return put_off;
}

void note_work(scheduler& s, job_record& j)
{
    constexpr int max_jobs = 100; //!< the mean follows changes of the load
    j.work = remaining_work(j);
    queue_work& known = s.mean_work[j.accepted.queue.name];
    known.jobs = std::min(known.jobs + 1, max_jobs);
    known.mean += (j.work - known.mean) / static_cast<double>(known.jobs);
}

void put_off_steps(scheduler& s)
{
    if (s.now < s.next_put_off)
    {
        return;
    }
    // Elsewhere steps keep the order of their deadlines.
    if (s.customers.empty() && !s.speeds.differ)
    {
        clear_put_off(s);
        return;
    }
    s.next_put_off = s.now + choice_interval;
    std::map<int, waiting_rank> ranks = group_by_rank(s);
    capacity_forecast capacity = forecast(s, mean_estimate(s));
    s.put_off_steps = 0;
    for (auto& entry : ranks)
    {
        if (entry.first >= worthless_rank)
        {
            return;
        }
        std::vector<step_in_time>& steps = entry.second.in_time;
        std::sort(steps.begin(),
                  steps.end(),
                  [](step_in_time const& left, step_in_time const& right)
                  {
                      return left.work.slack < right.work.slack;
                  });
        std::vector<waiting_work> work;
        work.reserve(steps.size());
        for (step_in_time const& each : steps)
        {
            work.push_back(each.work);
        }
        capacity.work_ahead += entry.second.late_work;
        std::vector<bool> const put_off = choose_put_off(work, capacity);
        for (std::size_t i = 0; i < steps.size(); ++i)
        {
            steps[i].record->put_off = put_off[i];
            s.put_off_steps += put_off[i] ? 1 : 0;
            capacity.work_ahead += put_off[i] ? 0.0 : work[i].work;
        }
    }
}

} // namespace cicada::batch
