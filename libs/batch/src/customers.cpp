#include "state.hpp"

#include <algorithm>
#include <limits>

namespace cicada::batch
{

namespace
{

constexpr double bucket_seconds = 1.0; //!< jobs of this time fit in the bucket
constexpr double ms_per_second = 1000.0;

double bucket_size(customer_record const& c)
{
    return std::max(1.0, c.share.weight * bucket_seconds);
}

void refill(customer_record& c, instant now)
{
    double const elapsed_ms = static_cast<double>(
        std::chrono::duration_cast<milliseconds>(now - c.tokens_at).count());
    c.tokens = std::min(bucket_size(c),
                        c.tokens + c.share.weight * elapsed_ms / ms_per_second);
    c.tokens_at = now;
}

resources at_most(resources const& left, resources const& right)
{
    return {std::min(left.milli_cores, right.milli_cores),
            std::min(left.memory_mib, right.memory_mib),
            std::min(left.accelerators, right.accelerators)};
}

resources not_negative(resources const& amount)
{
    return {std::max<std::int64_t>(0, amount.milli_cores),
            std::max<std::int64_t>(0, amount.memory_mib),
            std::max<std::int64_t>(0, amount.accelerators)};
}

/** Returns whether the worker may run tasks that no report to this placer has
 * listed with their size. */
bool may_run_unreported(scheduler const& s, worker_record const& w)
{
    if (w.unknown_sizes > 0)
    {
        return true;
    }
    return !s.settled && w.of_former_roster &&
           !(w.synced && is_confirmed(s, w)) && !former_leases_have_ended(s, w);
}

/** Returns the sizes of the tasks that an earlier placer may have started. Its
 * view of the steps' order was newer than what it has stored. */
resources startable_by_others(job_record const& j)
{
    resources sum;
    for (std::size_t i = 0; i < j.steps.size(); ++i)
    {
        sum = sum + j.accepted.steps[i].size * j.steps[i].waiting;
    }
    return sum;
}

/** Returns the sizes of the customer's runs on all workers. */
resources used_by(scheduler const& s, std::string const& customer)
{
    resources sum;
    for (auto const& entry : s.workers)
    {
        for (auto const& run : entry.second.runs)
        {
            if (run.second.customer == customer)
            {
                sum = sum + run.second.size;
            }
        }
    }
    return sum;
}

} // namespace

void handle_customers(scheduler& s, customers_changed const& given)
{
    std::map<std::string, customer_record> next;
    for (customer_share const& share : given.customers)
    {
        auto const known = s.customers.find(share.name);
        customer_record& c = next[share.name];
        bool const is_new = known == s.customers.end();
        c = is_new ? customer_record{} : known->second;
        c.share = share;
        if (is_new)
        {
            c.used = used_by(s, share.name);
            c.tokens = bucket_size(c);
            c.tokens_at = s.now;
        }
    }
    // A removed customer's jobs stay under its last cap, and what it runs
    // counts if it returns.
    next.insert(s.customers.begin(), s.customers.end());
    s.customers = std::move(next);
    s.customers_known = true;
    s.placement_due = true;
}

void count_run(scheduler& s, run_record const& run)
{
    auto const found = s.customers.find(run.customer);
    if (found != s.customers.end())
    {
        found->second.used = found->second.used + run.size;
    }
}

void uncount_run(scheduler& s, run_record const& run)
{
    auto const found = s.customers.find(run.customer);
    if (found != s.customers.end())
    {
        found->second.used = found->second.used - run.size;
    }
}

void estimate_unreported_runs(scheduler& s)
{
    if (s.customers.empty())
    {
        return;
    }
    for (auto& entry : s.customers)
    {
        entry.second.unreported = {};
    }
    resources room;
    bool any = false;
    bool room_known = true;
    for (auto const& entry : s.workers)
    {
        worker_record const& w = entry.second;
        if (may_run_unreported(s, w))
        {
            any = true;
            room_known = room_known && !(w.offer.capacity == resources{});
            room = room + not_negative(w.offer.capacity - w.used);
        }
    }
    if (!any)
    {
        return;
    }
    // A cancelled job's runs may not have been stopped yet.
    for (auto const& entry : s.jobs)
    {
        job_record const& j = entry.second;
        auto const c = s.customers.find(j.accepted.customer);
        if (j.adopted && c != s.customers.end())
        {
            c->second.unreported =
                c->second.unreported + startable_by_others(j);
        }
    }
    for (auto& entry : s.customers)
    {
        if (room_known)
        {
            entry.second.unreported = at_most(entry.second.unreported, room);
        }
    }
}

int tasks_within_cap(scheduler const& s,
                     std::string const& customer,
                     resources const& size)
{
    std::int64_t most = std::numeric_limits<int>::max();
    auto const found = s.customers.find(customer);
    if (found == s.customers.end())
    {
        return s.customers_known || customer.empty() ? static_cast<int>(most)
                                                     : 0;
    }
    customer_record const& c = found->second;
    resources const used = c.used + c.unreported;
    auto const limit =
        [&most](std::int64_t cap, std::int64_t in_use, std::int64_t each)
    {
        if (cap > 0 && each > 0)
        {
            most =
                std::min(most, std::max<std::int64_t>(cap - in_use, 0) / each);
        }
    };
    limit(c.share.cap.milli_cores, used.milli_cores, size.milli_cores);
    limit(c.share.cap.memory_mib, used.memory_mib, size.memory_mib);
    limit(c.share.cap.accelerators, used.accelerators, size.accelerators);
    // A task that was accepted under a higher cap runs alone.
    return most == 0 && used == resources{} ? 1 : static_cast<int>(most);
}

bool take_share(scheduler& s, std::string const& customer)
{
    auto const found = s.customers.find(customer);
    if (found == s.customers.end() || found->second.share.weight <= 0.0)
    {
        return true;
    }
    customer_record& c = found->second;
    refill(c, s.now);
    bool const within = c.tokens >= 1.0;
    // Jobs beyond the share count too: entries refuse the customer's jobs until
    // the debt is repaid, so that it gets its share on average.
    c.tokens = std::max(-bucket_size(c), c.tokens - 1.0);
    return within;
}

milliseconds time_to_share(customer_record const& c, instant now)
{
    customer_record later = c;
    refill(later, now);
    if (c.share.weight <= 0.0 || later.tokens >= 1.0)
    {
        return milliseconds{0};
    }
    return milliseconds(static_cast<std::int64_t>(
        (1.0 - later.tokens) / c.share.weight * ms_per_second));
}

} // namespace cicada::batch
