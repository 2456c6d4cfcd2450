#include "ledger_state.hpp"

#include <algorithm>

namespace cicada
{
namespace
{

resources missing_resources(resources const& needed, resources const& available)
{
    auto const missing = [](std::int64_t want, std::int64_t have)
    {
        return std::max<std::int64_t>(0, want - have);
    };
    return resources{missing(needed.milli_cores, available.milli_cores),
                     missing(needed.memory_mib, available.memory_mib),
                     missing(needed.accelerators, available.accelerators)};
}

/** Sum over the resources of missing / needed, to compare workers. */
double missing_share(resources const& missing, resources const& needed)
{
    auto const share = [](std::int64_t missing_amount, std::int64_t all)
    {
        return all > 0 ? static_cast<double>(missing_amount) /
                             static_cast<double>(all)
                       : 0.0;
    };
    return share(missing.milli_cores, needed.milli_cores) +
           share(missing.memory_mib, needed.memory_mib) +
           share(missing.accelerators, needed.accelerators);
}

/** How many tasks fit into empty workers; for `close`, into one zone's. */
int max_tasks_at_once(std::vector<instance> const& instances,
                      demand const& wanted)
{
    std::map<zone_id, int> zones;
    int all = 0;
    for (instance const& candidate : instances)
    {
        if (candidate.kind != instance_kind::worker)
        {
            continue;
        }
        int const tasks = task_capacity(candidate.capacity, wanted.size);
        zones[candidate.zone] += tasks;
        all += tasks;
    }
    if (wanted.policy != placement_policy::close)
    {
        return all;
    }
    int max_tasks = 0;
    for (auto const& [zone, tasks] : zones)
    {
        max_tasks = std::max(max_tasks, tasks);
    }
    return max_tasks;
}

void append(std::string& text, std::string const& part)
{
    text += text.empty() ? part : ", " + part;
}

} // namespace

std::optional<shortfall> find_shortfall(std::vector<instance> const& instances,
                                        demand const& wanted,
                                        int count)
{
    std::optional<resources> closest;
    for (instance const& candidate : instances)
    {
        if (candidate.kind != instance_kind::worker)
        {
            continue;
        }
        resources const missing =
            missing_resources(wanted.size, candidate.capacity);
        if (!closest || missing_share(missing, wanted.size) <
                            missing_share(*closest, wanted.size))
        {
            closest = missing;
        }
    }
    if (!closest)
    {
        return std::nullopt;
    }
    if (*closest != resources{})
    {
        return shortfall{*closest, 0};
    }
    bool const all_at_once =
        wanted.all_or_none || wanted.policy == placement_policy::close;
    int const max_tasks = max_tasks_at_once(instances, wanted);
    if (all_at_once && max_tasks < count)
    {
        return shortfall{resources{}, max_tasks};
    }
    return std::nullopt;
}

std::string describe(shortfall const& reason)
{
    std::string text;
    if (reason.missing.milli_cores > 0)
    {
        append(text,
               std::to_string(reason.missing.milli_cores) + " more millicores");
    }
    if (reason.missing.memory_mib > 0)
    {
        append(text, std::to_string(reason.missing.memory_mib) + " MiB more");
    }
    if (reason.missing.accelerators > 0)
    {
        append(text,
               std::to_string(reason.missing.accelerators) +
                   " more accelerators");
    }
    if (!text.empty())
    {
        return "a task needs " + text + " than the closest worker has";
    }
    return "at most " + std::to_string(reason.task_count) +
           " tasks of this size fit at once";
}

} // namespace cicada
