#include "packing.hpp"
#include "pool.hpp"

#include <algorithm>
#include <cmath>
#include <cstdio>

/**
 * Replays lists of arrivals in virtual time, the fair queue beside first come
 * first served, and prints what each class got: nothing is measured by a
 * clock, and so the tables are the same on each machine.
 */
namespace cicada
{
namespace
{

/** What some of the requests got while the flood lasted. */
struct summary
{
    std::size_t offered = 0;
    std::size_t served = 0;
    std::vector<milliseconds> waits; //!< of those served, sorted

    long long wait_ms(double quantile) const
    {
        if (this->waits.empty())
        {
            return 0;
        }
        double const at =
            quantile * static_cast<double>(this->waits.size() - 1);
        return this->waits[static_cast<std::size_t>(at)].count();
    }
};

template <class Belongs>
summary summarise(std::vector<fate> const& fates, Belongs const& belongs)
{
    summary sum;
    for (fate const& one : fates)
    {
        if (one.entry.arrived < instant{flood_start} || !belongs(one.entry))
        {
            continue;
        }
        ++sum.offered;
        if (one.served)
        {
            ++sum.served;
            sum.waits.push_back(one.wait);
        }
    }
    std::sort(sum.waits.begin(), sum.waits.end());
    return sum;
}

void print_row(char const* who, char const* what, summary const& sum)
{
    double const share = sum.offered == 0
                             ? 0
                             : 100.0 * static_cast<double>(sum.served) /
                                   static_cast<double>(sum.offered);
    std::printf("  %-6s %-26s %8zu %6.1f%% %8lld %8lld %8lld\n",
                who,
                what,
                sum.offered,
                share,
                sum.wait_ms(0.5),
                sum.wait_ms(0.99),
                sum.wait_ms(0.999));
}

void print_fates(char const* who,
                 flood const& more,
                 std::vector<fate> const& fates)
{
    for (int i = 0; i < work_class_count; ++i)
    {
        work_class const urgency = static_cast<work_class>(i);
        for (bool const flooding : {false, true})
        {
            summary const sum =
                summarise(fates,
                          [&](queue_entry const& entry)
                          {
                              return entry.urgency == urgency &&
                                     floods(more, entry) == flooding;
                          });
            if (sum.offered > 0)
            {
                std::string const what = std::string(to_string(urgency)) +
                                         (flooding ? ", the flood" : "");
                print_row(who, what.c_str(), sum);
            }
        }
    }
}

/** The worst tenant's share served and wait, among those not flooding. */
void print_worst_tenant(char const* who,
                        flood const& more,
                        std::vector<fate> const& fates)
{
    summary worst;
    for (int i = 0; i < tenant_count; ++i)
    {
        tenant_id const tenant{"t" + std::to_string(i)};
        summary sum =
            summarise(fates,
                      [&](queue_entry const& entry)
                      {
                          return entry.tenant == tenant && !floods(more, entry);
                      });
        if (i == 0 || sum.wait_ms(0.99) > worst.wait_ms(0.99))
        {
            worst = std::move(sum);
        }
    }
    print_row(who, "worst tenant, not flooding", worst);
}

/** How far off the wait was that a request was told when it came. */
void print_promises(std::vector<fate> const& fates)
{
    constexpr milliseconds noticeable{100};
    std::vector<double> errors;
    for (fate const& one : fates)
    {
        if (one.served && one.wait >= noticeable)
        {
            double const wait = static_cast<double>(one.wait.count());
            double const told = static_cast<double>(one.promised.count());
            errors.push_back(100 * std::abs(told - wait) / wait);
        }
    }
    std::sort(errors.begin(), errors.end());
    if (!errors.empty())
    {
        std::printf("  expected wait, of those that waited 0.1 s: off by "
                    "%.0f%% at p50, %.0f%% at p90\n",
                    errors[errors.size() / 2],
                    errors[errors.size() * 9 / 10]);
    }
}

void compare(scenario const& from, flood const& more)
{
    std::vector<arrival> const list = make_arrivals(from, more);
    std::printf("%s, %s\n  %-6s %-26s %8s %7s %8s %8s %8s\n",
                from.name.c_str(),
                more.name.c_str(),
                "queue",
                "requests",
                "offered",
                "served",
                "p50 ms",
                "p99 ms",
                "p999 ms");
    std::vector<fate> const naive = run_naive(from.slots, list);
    std::vector<fate> const ours = run_ours(from.slots, list);
    print_fates("fifo", more, naive);
    print_fates("fair", more, ours);
    print_worst_tenant("fifo", more, naive);
    print_worst_tenant("fair", more, ours);
    print_promises(ours);
}

void print_packing(fleet_shape const& fleet)
{
    std::printf("%s: share allocated when a task is refused\n  %-22s %7s "
                "%7s %12s\n",
                fleet.name.c_str(),
                "way",
                "cores",
                "memory",
                "accelerators");
    for (bool const accelerated : {false, true})
    {
        for (packing_way const way : {packing_way::first_fit,
                                      packing_way::least_used,
                                      packing_way::pack})
        {
            packing_share const share =
                measure_packing(fleet, way, accelerated);
            std::printf("  %-10s %-11s %6.1f%% %6.1f%% %11.1f%%\n",
                        to_string(way),
                        accelerated ? "accelerated" : "",
                        100 * share.milli_cores,
                        100 * share.memory,
                        100 * share.accelerators);
        }
    }
}

} // namespace
} // namespace cicada

int main()
{
    using namespace cicada;
    std::vector<flood> const all = {
        {"no flood", std::nullopt, std::nullopt, 1},
        {"10x of the least urgent", work_class::background, std::nullopt, 10},
        {"10x of the most urgent", work_class::urgent, std::nullopt, 10},
        {"one tenant, 330x of the most urgent",
         work_class::urgent,
         tenant_id{"t0"},
         330}};
    print_packing({"association", 50, 6, 4, resources{32'000, 65'536, 4}});
    print_packing({"Papel Lirio", 50, 8, 3, resources{64'000, 262'144, 4}});
    for (scenario const& from : {notice_hub(), lirio_taller()})
    {
        for (flood const& more : all)
        {
            compare(from, more);
        }
    }
    return 0;
}
