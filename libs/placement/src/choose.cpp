#include "ledger_state.hpp"

#include <algorithm>
#include <limits>

namespace cicada
{
namespace
{

/** Most workers compared per zone; bounds the cost of a decision. */
constexpr int max_spread_candidates = 256;

/** The grids to search, in order: workers without accelerators first. */
std::vector<free_grid const*> grids_for(ledger const& state,
                                        std::vector<zone_id> const& zones,
                                        resources const& size)
{
    std::vector<free_grid const*> grids;
    if (size.accelerators == 0)
    {
        for (zone_id const& zone : zones)
        {
            grids.push_back(&state.zones.at(zone).without_accelerators);
        }
    }
    for (zone_id const& zone : zones)
    {
        zone_index const& index = state.zones.at(zone);
        auto entry = index.by_free_accelerators.lower_bound(size.accelerators);
        for (; entry != index.by_free_accelerators.end(); ++entry)
        {
            grids.push_back(&entry->second);
        }
    }
    return grids;
}

worker_record*
choose_packed(ledger const& state, demand const& wanted, instant expected_end)
{
    auto const placeable = [&](worker_record const& worker)
    {
        return can_place(state, worker, wanted.size, expected_end);
    };
    std::vector<zone_id> const zones =
        zones_in_order(state, wanted.preferred_zone);
    for (free_grid const* grid : grids_for(state, zones, wanted.size))
    {
        worker_record* const found =
            first_fullest(*grid, wanted.size, placeable);
        if (found != nullptr)
        {
            return found;
        }
    }
    return nullptr;
}

template <class Key>
int count_at(std::map<Key, int> const& counts, Key const& key)
{
    auto const found = counts.find(key);
    return found == counts.end() ? 0 : found->second;
}

/** A worker's score for policy `spread`; lower is better. */
struct spread_score
{
    int in_rack = std::numeric_limits<int>::max();
    int on_worker = 0;
    std::int64_t negated_free_cores = 0; //!< milli-cores

    bool operator==(spread_score const&) const = default;
    std::strong_ordering operator<=>(spread_score const&) const = default;
};

/**
 * The best worker of one zone for policy `spread`: the emptiest one in a rack
 * without tasks of the workload, else the best of the emptiest
 * max_spread_candidates that fit.
 */
worker_record* choose_in_zone(ledger const& state,
                              demand const& wanted,
                              spread_counts const& counts,
                              zone_id const& zone,
                              bool accelerated,
                              instant expected_end)
{
    zone_index const& index = state.zones.at(zone);
    spread_score best;
    worker_record* chosen = nullptr;
    int compared = 0;
    auto const compare = [&](worker_record& worker)
    {
        if (!can_place(state, worker, wanted.size, expected_end))
        {
            return false;
        }
        spread_score const score{count_at(counts.racks, worker.offer.rack),
                                 count_at(counts.workers, worker.offer.worker),
                                 -free_of(worker).milli_cores};
        if (score < best)
        {
            best = score;
            chosen = &worker;
        }
        ++compared;
        return best.in_rack == 0 || compared == max_spread_candidates;
    };
    if (!accelerated)
    {
        first_emptiest(index.without_accelerators, wanted.size, compare);
        return chosen;
    }
    auto entry =
        index.by_free_accelerators.lower_bound(wanted.size.accelerators);
    for (; entry != index.by_free_accelerators.end(); ++entry)
    {
        if (first_emptiest(entry->second, wanted.size, compare) != nullptr)
        {
            break;
        }
    }
    return chosen;
}

worker_record*
choose_spread(ledger const& state, demand const& wanted, instant expected_end)
{
    static spread_counts const no_tasks;
    auto const found = state.spread_by_workload.find(wanted.workload);
    spread_counts const& counts =
        found == state.spread_by_workload.end() ? no_tasks : found->second;
    std::vector<zone_id> zones = zones_in_order(state, wanted.preferred_zone);
    std::stable_sort(zones.begin(),
                     zones.end(),
                     [&](zone_id const& left, zone_id const& right)
                     {
                         return count_at(counts.zones, left) <
                                count_at(counts.zones, right);
                     });
    bool const needs_accelerators = wanted.size.accelerators > 0;
    for (bool const accelerated : {false, true})
    {
        for (zone_id const& zone : zones)
        {
            if (needs_accelerators && !accelerated)
            {
                continue;
            }
            worker_record* const chosen = choose_in_zone(
                state, wanted, counts, zone, accelerated, expected_end);
            if (chosen != nullptr)
            {
                return chosen;
            }
        }
    }
    return nullptr;
}

} // namespace

std::vector<zone_id> zones_in_order(ledger const& state,
                                    zone_id const& preferred)
{
    std::vector<zone_id> zones;
    auto const add = [&](zone_id const& zone)
    {
        bool const listed =
            std::find(zones.begin(), zones.end(), zone) != zones.end();
        if (!listed && state.zones.contains(zone))
        {
            zones.push_back(zone);
        }
    };
    add(preferred);
    for (zone_id const& zone : state.zone_order)
    {
        add(zone);
    }
    for (auto const& [zone, index] : state.zones)
    {
        add(zone);
    }
    return zones;
}

worker_record*
choose_worker(ledger const& state, demand const& wanted, instant expected_end)
{
    if (wanted.policy == placement_policy::spread)
    {
        return choose_spread(state, wanted, expected_end);
    }
    return choose_packed(state, wanted, expected_end);
}

} // namespace cicada
