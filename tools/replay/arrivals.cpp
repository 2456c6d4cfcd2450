#include "arrivals.hpp"

#include <algorithm>
#include <cmath>
#include <random>

namespace cicada
{
namespace
{

constexpr std::uint64_t seed = 20'261'204;

milliseconds to_ms(double value)
{
    return milliseconds{static_cast<std::int64_t>(std::llround(value))};
}

/** One tenant's requests of one stream, over a stretch of time. */
void add_arrivals(scenario const& from,
                  stream const& kind,
                  tenant_id const& tenant,
                  double factor,
                  milliseconds begin,
                  milliseconds end,
                  std::mt19937_64& random,
                  std::vector<arrival>& list)
{
    double const service_ms = static_cast<double>(kind.service.count());
    double const per_ms =
        kind.load * from.slots / service_ms / tenant_count * factor;
    std::exponential_distribution<double> gap(per_ms);
    std::exponential_distribution<double> held(1 / service_ms);
    double at = static_cast<double>(begin.count()) + gap(random);
    while (at < static_cast<double>(end.count()))
    {
        instant const now{to_ms(at)};
        std::string const name = std::to_string(list.size());
        list.push_back(arrival{queue_entry{request_id{name},
                                           tenant,
                                           kind.urgency,
                                           kind.workload,
                                           now,
                                           now + kind.deadline},
                               to_ms(std::max(1.0, held(random)))});
        at += gap(random);
    }
}

} // namespace

scenario notice_hub()
{
    using enum work_class;
    return scenario{
        "notice-hub",
        400,
        {{workload_id{"alert"}, urgent, milliseconds{80}, 0.15},
         {workload_id{"ping"}, normal, milliseconds{120}, 0.25},
         {workload_id{"rollup"}, background, milliseconds{900}, 0.10},
         {workload_id{"recheck"}, background, milliseconds{300}, 0.10}}};
}

scenario lirio_taller()
{
    using enum work_class;
    return scenario{
        "lirio-taller",
        400,
        {{workload_id{"press"}, urgent, milliseconds{4'000}, 0.15},
         {workload_id{"proof"}, normal, milliseconds{400}, 0.25},
         {workload_id{"thumbnail"}, background, milliseconds{60}, 0.20}}};
}

bool floods(flood const& more, queue_entry const& entry)
{
    return more.urgency == entry.urgency &&
           (!more.tenant || *more.tenant == entry.tenant);
}

std::vector<arrival> make_arrivals(scenario const& from, flood const& more)
{
    std::mt19937_64 random{seed};
    std::vector<arrival> list;
    for (stream const& kind : from.streams)
    {
        for (int i = 0; i < tenant_count; ++i)
        {
            tenant_id const tenant{"t" + std::to_string(i)};
            add_arrivals(from,
                         kind,
                         tenant,
                         1,
                         milliseconds{0},
                         flood_end,
                         random,
                         list);
            queue_entry probe;
            probe.tenant = tenant;
            probe.urgency = kind.urgency;
            if (floods(more, probe))
            {
                add_arrivals(from,
                             kind,
                             tenant,
                             more.factor - 1,
                             flood_start,
                             flood_end,
                             random,
                             list);
            }
        }
    }
    std::stable_sort(list.begin(),
                     list.end(),
                     [](arrival const& left, arrival const& right)
                     {
                         return left.entry.arrived < right.entry.arrived;
                     });
    return list;
}

} // namespace cicada
