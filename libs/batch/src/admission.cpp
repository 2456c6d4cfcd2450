#include "state.hpp"

#include <algorithm>

namespace cicada::batch
{

namespace
{

/** Priorities 0 to 2, and the ranks of late work and of work beyond a share. */
constexpr std::size_t reported_priorities = 8;
constexpr double packable_share = 0.85; //!< usable share of all cores
/** Allows for a second call of each step: tickets may expire unused. */
constexpr double calls_per_step = 2.0;
/** The job, its advice, start and end, its save and the caller's query. */
constexpr int events_per_job = 6;
constexpr milliseconds min_counted_lag{50};  //!< less is usual in bursts
constexpr milliseconds min_retry_after{500}; //!< sent as Retry-After
constexpr milliseconds max_retry_after{10'000};

/**
 * Adds the core-milliseconds of the job's waiting tasks, including those that
 * wait for earlier steps, to their rank and all ranks after it. Work without
 * value is placed last and delays no other work.
 */
void add_waiting_work(job_record const& j,
                      instant now,
                      std::vector<double>& by_rank)
{
    for (std::size_t i = 0; i < j.steps.size(); ++i)
    {
        task_step const& shape = j.accepted.steps[i];
        double const work = static_cast<double>(j.steps[i].waiting) *
                            static_cast<double>(shape.estimate.count()) *
                            static_cast<double>(shape.size.milli_cores) /
                            1000.0;
        std::size_t const rank =
            static_cast<std::size_t>(std::max(0, placement_rank(j, i, now)) +
                                     (j.steps[i].put_off ? 1 : 0));
        for (std::size_t k = rank; k < by_rank.size(); ++k)
        {
            by_rank[k] += work;
        }
    }
}

/**
 * Adds the milliseconds of the advice calls that the job's steps have yet to
 * make, to the queue's priority and all after it. Late steps count too: they
 * still use the requesters.
 */
void add_waiting_calls(job_record const& j,
                       instant now,
                       std::vector<double>& by_priority)
{
    double const each_ms = first_call_ms(j) * calls_per_step;
    double calls_ms = 0.0;
    for (step_record const& step : j.steps)
    {
        calls_ms +=
            step.waiting > 0 && step.tickets_until <= now ? each_ms : 0.0;
    }
    std::size_t const priority =
        static_cast<std::size_t>(std::max(0, j.accepted.queue.priority));
    for (std::size_t k = priority; k < by_priority.size(); ++k)
    {
        by_priority[k] += calls_ms;
    }
}

/** Returns the entry of the priority, or of the last one that has an entry. */
milliseconds wait_at(std::vector<milliseconds> const& wait, int priority)
{
    return wait.empty() ? milliseconds{0}
                        : wait[std::min(
                              wait.size() - 1,
                              static_cast<std::size_t>(std::max(0, priority)))];
}

/** Returns what the customers' jobs wait for besides the load of all. */
std::map<std::string, customer_load> customer_loads(scheduler const& s)
{
    std::map<std::string, customer_load> out;
    std::map<std::string, std::vector<double>> work;
    for (std::string const& id : s.active_jobs)
    {
        job_record const& j = s.jobs.at(id);
        auto const c = s.customers.find(j.accepted.customer);
        if (c != s.customers.end() && c->second.share.cap.milli_cores > 0)
        {
            std::vector<double>& of =
                work.try_emplace(c->first, reported_priorities, 0.0)
                    .first->second;
            add_waiting_work(j, s.now, of);
        }
    }
    for (auto const& entry : s.customers)
    {
        customer_load load;
        load.until_share = time_to_share(entry.second, s.now);
        auto const waiting = work.find(entry.first);
        double const cores =
            static_cast<double>(entry.second.share.cap.milli_cores) / 1000.0;
        if (waiting != work.end() && waiting->second.back() > 0.0)
        {
            for (double each : waiting->second)
            {
                load.wait.emplace_back(static_cast<std::int64_t>(each / cores));
            }
        }
        if (load.until_share.count() > 0 || !load.wait.empty())
        {
            out.emplace(entry.first, std::move(load));
        }
    }
    return out;
}

int held_orders(scheduler const& s)
{
    int held = 0;
    for (auto const& entry : s.workers)
    {
        held += entry.second.held_orders;
    }
    return held;
}

/** Returns how long after submission the job can start and still be in time. */
milliseconds start_slack(job const& given)
{
    milliseconds const chain = longest_chain(given);
    return given.queue.target + milliseconds(static_cast<std::int64_t>(
                                    static_cast<double>(chain.count()) *
                                    (given.queue.slack_factor - 1.0)));
}

} // namespace

load_report load_of(scheduler const& state)
{
    load_report report;
    report.settled = state.settled;
    double cores = 0.0;
    std::set<std::uint32_t> const excluded = excluded_workers(state);
    for (auto const& entry : state.workers)
    {
        if (usable(state, entry.second) &&
            excluded.count(entry.second.number) == 0)
        {
            cores +=
                static_cast<double>(entry.second.offer.capacity.milli_cores) /
                1000.0;
        }
    }
    std::vector<double> work(reported_priorities, 0.0);
    std::vector<double> calls_ms(reported_priorities, 0.0);
    for (std::string const& id : state.active_jobs)
    {
        job_record const& j = state.jobs.at(id);
        if (!j.has_started)
        {
            report.pending[j.accepted.queue.name] += 1;
        }
        add_waiting_work(j, state.now, work);
        add_waiting_calls(j, state.now, calls_ms);
    }
    double const requesters = static_cast<double>(state.requesters.size());
    for (std::size_t i = 0; i < work.size(); ++i)
    {
        double const for_cores =
            cores > 0.0 ? work[i] / (cores * packable_share) : 0.0;
        double const for_calls =
            requesters > 0.0 ? calls_ms[i] / requesters : 0.0;
        report.wait.emplace_back(
            static_cast<std::int64_t>(std::max(for_cores, for_calls)));
    }
    report.customers = customer_loads(state);
    return report;
}

scheduler_gauges gauges_of(scheduler const& state)
{
    scheduler_gauges out;
    out.steps_put_off = state.put_off_steps;
    out.speeds_differ = state.speeds.differ;
    out.workers_usable =
        static_cast<int>(std::count_if(state.workers.begin(),
                                       state.workers.end(),
                                       [&state](auto const& entry)
                                       {
                                           return usable(state, entry.second);
                                       }));
    out.workers_excluded = static_cast<int>(excluded_workers(state).size());
    out.jobs_open = static_cast<int>(state.active_jobs.size());
    out.orders_unanswered = state.unanswered_orders;
    out.orders_held = held_orders(state);
    for (std::string const& id : state.active_jobs)
    {
        for (step_record const& step : state.jobs.at(id).steps)
        {
            out.task_records += static_cast<int>(step.tasks.size());
        }
    }
    return out;
}

std::string describe_load(scheduler const& state)
{
    std::int64_t capacity = 0;
    std::int64_t used = 0;
    std::size_t workers = 0;
    std::set<std::uint32_t> const excluded = excluded_workers(state);
    for (auto const& entry : state.workers)
    {
        if (usable(state, entry.second) &&
            excluded.count(entry.second.number) == 0)
        {
            capacity += entry.second.offer.capacity.milli_cores;
            used += entry.second.used.milli_cores;
            workers += 1;
        }
    }
    struct backlog
    {
        int steps = 0;
        int tasks = 0;
        int asking = 0;
        int late = 0;
    };
    std::map<std::string, backlog> waiting;
    for (std::string const& id : state.active_jobs)
    {
        job_record const& j = state.jobs.at(id);
        backlog& of = waiting[j.accepted.queue.name];
        for (std::size_t i = 0; i < j.steps.size(); ++i)
        {
            step_record const& step = j.steps[i];
            if (step.waiting > 0 && step_ready(j, i))
            {
                of.steps += 1;
                of.tasks += step.waiting;
                of.asking += step.advice_call != 0 ? 1 : 0;
                of.late += latest_start(j, i) < state.now ? 1 : 0;
            }
        }
    }
    std::string text =
        "workers=" + std::to_string(workers) +
        " cores=" + std::to_string(capacity / 1000) +
        " used=" + std::to_string(used / 1000) +
        " excluded=" + std::to_string(excluded.size()) +
        " put_off=" + std::to_string(state.put_off_steps) +
        " unanswered=" + std::to_string(state.unanswered_orders) +
        " held=" + std::to_string(held_orders(state));
    for (auto const& entry : waiting)
    {
        text += " " + entry.first + "=" + std::to_string(entry.second.steps) +
                "/" + std::to_string(entry.second.tasks) + "/" +
                std::to_string(entry.second.asking) + "/" +
                std::to_string(entry.second.late);
    }
    return text;
}

char const* to_string(admission_cause cause)
{
    switch (cause)
    {
    case admission_cause::overload:
        return "overload";
    case admission_cause::customer_cap:
        return "customer_cap";
    case admission_cause::customer_share:
        return "customer_share";
    }
    return "";
}

admission admit(job const& given, load_report const& load)
{
    admission decision;
    milliseconds wait = wait_at(load.wait, given.queue.priority);
    auto const raise = [&decision, &wait](milliseconds to, admission_cause why)
    {
        if (to > wait)
        {
            wait = to;
            decision.cause = why;
        }
    };
    milliseconds until_share{0};
    auto const customer = load.customers.find(given.customer);
    if (customer != load.customers.end())
    {
        until_share = customer->second.until_share;
        int const demotion =
            until_share.count() > 0 ? beyond_share_demotion : 0;
        raise(wait_at(customer->second.wait, given.queue.priority + demotion),
              admission_cause::customer_cap);
    }
    if (until_share.count() > 0)
    {
        raise(wait_at(load.wait, given.queue.priority + beyond_share_demotion),
              admission_cause::customer_share);
    }
    if (!given.customer.empty() && load.lag >= min_counted_lag)
    {
        wait += load.lag * events_per_job;
    }
    milliseconds const over = wait - start_slack(given);
    if (over.count() <= 0)
    {
        return {};
    }
    decision.accepted = false;
    decision.retry_after = std::clamp(
        std::max(over, until_share), min_retry_after, max_retry_after);
    return decision;
}

} // namespace cicada::batch
