#include "ledger_state.hpp"

namespace cicada
{
namespace
{

/** Adds a worker to its zone's and rack's indexes, or removes it. */
void update_indexes(ledger& state, worker_record& worker, bool add)
{
    resources const unused = free_of(worker);
    if (!worker.offer.in_rotation || !non_negative(unused))
    {
        return;
    }
    zone_index& zone = state.zones[worker.offer.zone];
    free_grid& grid = worker.offer.capacity.accelerators > 0
                          ? zone.by_free_accelerators[unused.accelerators]
                          : zone.without_accelerators;
    rack_index& rack = state.racks.at(worker.offer.rack);
    if (add)
    {
        insert(grid, unused, worker.number, &worker);
        rack.unused = rack.unused + unused;
        return;
    }
    erase(grid, unused, worker.number);
    rack.unused = rack.unused - unused;
}

template <class Key>
void adjust_count(std::map<Key, int>& counts, Key const& key, int change)
{
    auto const found = counts.try_emplace(key, 0).first;
    found->second += change;
    if (found->second == 0)
    {
        counts.erase(found);
    }
}

/** Adjusts the counts of a workload's tasks by `change`. */
void adjust_spread_counts(ledger& state,
                          worker_record const& worker,
                          workload_id const& workload,
                          int change)
{
    spread_counts& counts = state.spread_by_workload[workload];
    adjust_count(counts.zones, worker.offer.zone, change);
    adjust_count(counts.racks, worker.offer.rack, change);
    adjust_count(counts.workers, worker.offer.worker, change);
    if (counts.workers.empty())
    {
        state.spread_by_workload.erase(workload);
    }
}

void adjust_all_spread_counts(ledger& state,
                              worker_record const& worker,
                              int change)
{
    for (task_id const& task : worker.tasks)
    {
        adjust_spread_counts(
            state, worker, state.tasks.at(task).workload, change);
    }
}

void remove_from_rack(ledger& state, worker_record const& worker)
{
    auto const rack = state.racks.find(worker.offer.rack);
    rack->second.workers.erase(worker.offer.worker);
    if (rack->second.workers.empty())
    {
        state.racks.erase(rack);
    }
}

} // namespace

resources free_of(worker_record const& worker)
{
    return worker.offer.capacity - worker.allocated;
}

void allocate(ledger& state,
              worker_record& worker,
              task_allocation const& allocation)
{
    update_indexes(state, worker, false);
    worker.allocated = worker.allocated + allocation.size;
    worker.tasks.insert(allocation.task);
    state.tasks.emplace(allocation.task, allocation);
    update_indexes(state, worker, true);
    adjust_spread_counts(state, worker, allocation.workload, 1);
}

void ledger_deleter::operator()(ledger* owned) const
{
    delete owned;
}

ledger_ptr make_ledger()
{
    return ledger_ptr(new ledger);
}

void set_zone_order(ledger& state, std::vector<zone_id> const& order)
{
    state.zone_order = order;
}

void set_worker(ledger& state, worker_offer const& offer)
{
    auto const [found, added] = state.workers.try_emplace(offer.worker);
    worker_record& worker = found->second;
    if (added)
    {
        worker.number = ++state.last_worker_number;
    }
    else
    {
        update_indexes(state, worker, false);
        adjust_all_spread_counts(state, worker, -1);
        remove_from_rack(state, worker);
    }
    worker.offer = offer;
    state.racks[offer.rack].workers.emplace(offer.worker, &worker);
    adjust_all_spread_counts(state, worker, 1);
    update_indexes(state, worker, true);
}

std::vector<task_allocation> remove_worker(ledger& state,
                                           worker_id const& worker)
{
    auto const found = state.workers.find(worker);
    if (found == state.workers.end())
    {
        return {};
    }
    std::vector<task_allocation> released = tasks_on(state, worker);
    for (task_allocation const& allocation : released)
    {
        release_task(state, allocation.task);
    }
    update_indexes(state, found->second, false);
    remove_from_rack(state, found->second);
    state.workers.erase(found);
    return released;
}

bool adopt_task(ledger& state, task_allocation const& allocation)
{
    auto const found = state.workers.find(allocation.worker);
    if (found == state.workers.end() || state.tasks.contains(allocation.task))
    {
        return false;
    }
    allocate(state, found->second, allocation);
    return true;
}

std::optional<task_allocation> release_task(ledger& state, task_id const& task)
{
    auto const found = state.tasks.find(task);
    if (found == state.tasks.end())
    {
        return std::nullopt;
    }
    task_allocation released = found->second;
    worker_record& worker = state.workers.at(released.worker);
    adjust_spread_counts(state, worker, released.workload, -1);
    update_indexes(state, worker, false);
    worker.allocated = worker.allocated - released.size;
    worker.tasks.erase(task);
    update_indexes(state, worker, true);
    state.tasks.erase(found);
    return released;
}

bool record_checkpoint(ledger& state, task_id const& task, instant at)
{
    auto const found = state.tasks.find(task);
    if (found == state.tasks.end())
    {
        return false;
    }
    found->second.last_checkpoint = at;
    return true;
}

std::optional<task_allocation> find_task(ledger const& state,
                                         task_id const& task)
{
    auto const found = state.tasks.find(task);
    if (found == state.tasks.end())
    {
        return std::nullopt;
    }
    return found->second;
}

std::optional<worker_usage> find_worker(ledger const& state,
                                        worker_id const& worker)
{
    auto const found = state.workers.find(worker);
    if (found == state.workers.end())
    {
        return std::nullopt;
    }
    worker_record const& record = found->second;
    return worker_usage{
        record.offer, record.allocated, static_cast<int>(record.tasks.size())};
}

std::vector<task_allocation> tasks_on(ledger const& state,
                                      worker_id const& worker)
{
    std::vector<task_allocation> allocations;
    auto const found = state.workers.find(worker);
    if (found == state.workers.end())
    {
        return allocations;
    }
    for (task_id const& task : found->second.tasks)
    {
        allocations.push_back(state.tasks.at(task));
    }
    return allocations;
}

ledger_totals totals_of(ledger const& state)
{
    ledger_totals totals;
    for (auto const& [name, worker] : state.workers)
    {
        if (!worker.offer.in_rotation)
        {
            continue;
        }
        totals.capacity = totals.capacity + worker.offer.capacity;
        totals.allocated = totals.allocated + worker.allocated;
        resources const unused = free_of(worker);
        if (unused.milli_cores > totals.largest_free.milli_cores)
        {
            totals.largest_free = unused;
        }
    }
    return totals;
}

} // namespace cicada
