#pragma once

#include "free_grid.hpp"

#include <unordered_map>

/** Internal state of a ledger and the functions its sources share. */
namespace cicada
{

/** A worker and its allocations. */
struct worker_record
{
    worker_offer offer;
    std::uint64_t number = 0; //!< assigned in order of registration; unique
    resources allocated;
    std::set<task_id> tasks;
    int reserved_tasks = 0; //!< of the gang with the reservation
};

/** The workers of a zone that are in rotation and not overcommitted. */
struct zone_index
{
    free_grid without_accelerators;
    std::map<std::int64_t, free_grid> by_free_accelerators;
};

/** All workers of a rack, and the total free on those in zone_index. */
struct rack_index
{
    std::map<worker_id, worker_record*> workers;
    resources unused;
};

/** How many tasks of one workload run in each zone, rack and worker. */
struct spread_counts
{
    std::map<zone_id, int> zones;
    std::map<shard_id, int> racks;
    std::map<worker_id, int> workers;
};

/** Tasks whose resources are allocated until the hold expires. */
struct gang_hold
{
    std::vector<task_id> tasks;
    instant expires;
};

struct ledger
{
    std::map<worker_id, worker_record> workers;
    std::map<zone_id, zone_index> zones;
    std::map<shard_id, rack_index> racks;
    std::unordered_map<task_id, task_allocation> tasks;
    std::unordered_map<workload_id, spread_counts> spread_by_workload;
    std::map<job_id, gang_hold> holds;
    std::vector<zone_id> zone_order;
    std::optional<gang_reservation> reservation;
    std::uint64_t last_worker_number = 0;
};

/** Free resources of a worker; negative if it is overcommitted. */
resources free_of(worker_record const& worker);

/** True if a task fits on the worker now without delaying the reservation. */
bool can_place(ledger const& state,
               worker_record const& worker,
               resources const& size,
               instant expected_end);

/** When a task placed now should end; instant::max() if unknown. */
instant expected_end_of(demand const& wanted, instant now);

/** Allocates a task on a worker without checking that it fits. */
void allocate(ledger& state,
              worker_record& worker,
              task_allocation const& allocation);

/** The preferred zone, the configured order, then the remaining zones. */
std::vector<zone_id> zones_in_order(ledger const& state,
                                    zone_id const& preferred);

/** The worker for a single task by `pack` or `spread`; null if none fits. */
worker_record*
choose_worker(ledger const& state, demand const& wanted, instant expected_end);

/** One worker per task in one rack, else one zone; empty if none fits. */
std::vector<worker_record*> choose_close(ledger const& state,
                                         demand const& wanted,
                                         int count,
                                         instant expected_end);

/** How many tasks of this size fit into `unused`, at most 1'000'000. */
int task_capacity(resources const& unused, resources const& size);

} // namespace cicada
