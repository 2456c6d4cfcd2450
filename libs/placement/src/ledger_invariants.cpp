#include "ledger_state.hpp"

namespace cicada
{
namespace
{

/** Checks a worker's tasks and the sum of their resources. */
std::string check_worker(ledger const& state, worker_record const& worker)
{
    resources sum;
    for (task_id const& task_name : worker.tasks)
    {
        auto const task = state.tasks.find(task_name);
        if (task == state.tasks.end() ||
            task->second.worker != worker.offer.worker)
        {
            return "worker " + worker.offer.worker.value +
                   " lists a task that isn't allocated to it; ";
        }
        sum = sum + task->second.size;
    }
    return sum == worker.allocated ? std::string()
                                   : "worker " + worker.offer.worker.value +
                                         "'s allocated resources differ from "
                                         "the sum of its tasks; ";
}

std::size_t count_indexed(free_grid const& grid)
{
    std::size_t count = 0;
    for (grid_cell const& cell : grid.cells)
    {
        for (auto const& [rank, worker] : cell)
        {
            resources const unused = free_of(*worker);
            count += rank.milli_cores == unused.milli_cores &&
                             rank.memory_mib == unused.memory_mib
                         ? 1
                         : 0;
        }
    }
    return count;
}

std::string check_racks(ledger const& state)
{
    for (auto const& [rack_name, rack] : state.racks)
    {
        resources sum;
        for (auto const& [worker_name, worker] : rack.workers)
        {
            resources const unused = free_of(*worker);
            if (worker->offer.in_rotation && non_negative(unused))
            {
                sum = sum + unused;
            }
        }
        if (sum != rack.unused)
        {
            return "rack " + rack_name.value +
                   "'s free resources differ from the sum of its workers; ";
        }
    }
    return {};
}

} // namespace

std::string check_invariants(ledger const& state)
{
    std::string violations;
    std::size_t task_count = 0;
    std::size_t placeable = 0;
    for (auto const& [worker_name, worker] : state.workers)
    {
        violations += check_worker(state, worker);
        task_count += worker.tasks.size();
        placeable += worker.offer.in_rotation && non_negative(free_of(worker));
    }
    if (task_count != state.tasks.size())
    {
        violations += "the number of tasks differs from the workers' lists; ";
    }
    std::size_t indexed_workers = 0;
    for (auto const& [zone_name, zone] : state.zones)
    {
        indexed_workers += count_indexed(zone.without_accelerators);
        for (auto const& [count, grid] : zone.by_free_accelerators)
        {
            indexed_workers += count_indexed(grid);
        }
    }
    if (indexed_workers != placeable)
    {
        violations += "the free grids don't hold each placeable worker once; ";
    }
    return violations + check_racks(state);
}

} // namespace cicada
