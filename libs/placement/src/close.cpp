#include "ledger_state.hpp"

#include <algorithm>

namespace cicada
{
namespace
{

/** False if the worker has accelerators that the task doesn't need. */
bool accelerators_match(worker_record const& worker, demand const& wanted)
{
    return wanted.size.accelerators > 0 ||
           worker.offer.capacity.accelerators == 0;
}

/**
 * How many tasks may be placed on a worker at once: one if it has reserved
 * tasks, as can_place() checks the reservation for a single task.
 */
int placeable_tasks(ledger const& state,
                    worker_record const& worker,
                    demand const& wanted,
                    instant expected_end)
{
    if (!can_place(state, worker, wanted.size, expected_end))
    {
        return 0;
    }
    return worker.reserved_tasks > 0
               ? 1
               : task_capacity(free_of(worker), wanted.size);
}

/**
 * Assigns `count` tasks to the candidates: those without unneeded accelerators
 * first, then the fullest first. Empty if the tasks don't all fit.
 */
std::vector<worker_record*>
assign_workers(ledger const& state,
               std::vector<worker_record*> candidates,
               demand const& wanted,
               int count,
               instant expected_end)
{
    std::stable_sort(
        candidates.begin(),
        candidates.end(),
        [&](worker_record const* left, worker_record const* right)
        {
            bool const left_matches = accelerators_match(*left, wanted);
            return left_matches != accelerators_match(*right, wanted)
                       ? left_matches
                       : free_of(*left).milli_cores <
                             free_of(*right).milli_cores;
        });
    std::vector<worker_record*> chosen;
    for (worker_record* worker : candidates)
    {
        int const tasks = placeable_tasks(state, *worker, wanted, expected_end);
        int const remaining = count - static_cast<int>(chosen.size());
        chosen.insert(chosen.end(),
                      static_cast<std::size_t>(std::min(tasks, remaining)),
                      worker);
    }
    if (static_cast<int>(chosen.size()) < count)
    {
        chosen.clear();
    }
    return chosen;
}

std::vector<worker_record*> choose_rack(ledger const& state,
                                        demand const& wanted,
                                        zone_id const& zone,
                                        int count,
                                        instant expected_end)
{
    resources const sum = wanted.size * count;
    for (auto const& [rack_name, rack] : state.racks)
    {
        if (!fits(sum, rack.unused))
        {
            continue;
        }
        std::vector<worker_record*> candidates;
        for (auto const& [worker, record] : rack.workers)
        {
            if (record->offer.zone == zone &&
                accelerators_match(*record, wanted))
            {
                candidates.push_back(record);
            }
        }
        std::vector<worker_record*> chosen =
            assign_workers(state, candidates, wanted, count, expected_end);
        if (!chosen.empty())
        {
            return chosen;
        }
    }
    return {};
}

std::vector<worker_record*> choose_zone(ledger const& state,
                                        demand const& wanted,
                                        zone_id const& zone,
                                        int count,
                                        instant expected_end)
{
    std::vector<worker_record*> candidates;
    for (auto const& [rack_name, rack] : state.racks)
    {
        for (auto const& [worker, record] : rack.workers)
        {
            if (record->offer.zone == zone)
            {
                candidates.push_back(record);
            }
        }
    }
    return assign_workers(state, candidates, wanted, count, expected_end);
}

int tasks_in(std::int64_t available, std::int64_t each)
{
    constexpr std::int64_t max_tasks = 1'000'000;
    std::int64_t const tasks = each > 0 ? available / each : max_tasks;
    return static_cast<int>(std::clamp<std::int64_t>(tasks, 0, max_tasks));
}

} // namespace

int task_capacity(resources const& unused, resources const& size)
{
    return std::min({tasks_in(unused.milli_cores, size.milli_cores),
                     tasks_in(unused.memory_mib, size.memory_mib),
                     tasks_in(unused.accelerators, size.accelerators)});
}

std::vector<worker_record*> choose_close(ledger const& state,
                                         demand const& wanted,
                                         int count,
                                         instant expected_end)
{
    std::vector<zone_id> const zones =
        zones_in_order(state, wanted.preferred_zone);
    for (auto const choose : {choose_rack, choose_zone})
    {
        for (zone_id const& zone : zones)
        {
            std::vector<worker_record*> chosen =
                choose(state, wanted, zone, count, expected_end);
            if (!chosen.empty())
            {
                return chosen;
            }
        }
    }
    return {};
}

} // namespace cicada
