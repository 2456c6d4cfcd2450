#pragma once

#include "model/model.hpp"

#include <memory>

/**
 * Task placement: a ledger of workers and the resources allocated on them, and
 * the scheduling decisions made from it. Deterministic: no I/O, clock or
 * randomness; the caller passes the time in. Placing a single task examines a
 * few candidate workers, not the whole fleet; functions that scan the fleet say
 * so. Not thread-safe. See docs/design/placement.md for the design.
 */
namespace cicada
{

// ---- the ledger ----------------------------------------------------------

/** A worker that tasks may be placed on. */
struct worker_offer
{
    worker_id worker;
    zone_id zone;
    shard_id rack;
    resources capacity;
    bool in_rotation = true; //!< false: gets no new tasks

    bool operator==(worker_offer const&) const = default;
};

/** The resources that a task holds on a worker. */
struct task_allocation
{
    task_id task;
    worker_id worker;
    workload_id workload;
    work_class urgency = work_class::normal;
    resources size;          //!< as allocated
    instant started;         //!< or placed, if not started yet
    instant last_checkpoint; //!< equals `started` if there is none
    instant expected_end;    //!< from the declared or estimated run time

    bool operator==(task_allocation const&) const = default;
};

/** The resources and constraints of tasks to be placed. */
struct demand
{
    workload_id workload;
    work_class urgency = work_class::normal;
    resources size; //!< per task
    placement_policy policy = placement_policy::pack;
    bool all_or_none = false; //!< gang: place every task or none
    zone_id preferred_zone;   //!< empty: no preference
    milliseconds run_time{0}; //!< expected, per task

    bool operator==(demand const&) const = default;
};

/** A worker and its current allocations. */
struct worker_usage
{
    worker_offer offer;
    resources allocated; //!< includes resources held for gangs
    int tasks = 0;

    bool operator==(worker_usage const&) const = default;
};

/** Totals over the workers in rotation. */
struct ledger_totals
{
    resources capacity;
    resources allocated;
    resources largest_free; //!< of the worker with the most free cores

    bool operator==(ledger_totals const&) const = default;
};

struct ledger;

/** Deletes a ledger, whose type is complete only inside the library. */
struct ledger_deleter
{
    void operator()(ledger* owned) const;
};

using ledger_ptr = std::unique_ptr<ledger, ledger_deleter>;

/** A ledger without workers. */
ledger_ptr make_ledger();

/** Sets the order in which zones are tried after the preferred zone. */
void set_zone_order(ledger& state, std::vector<zone_id> const& order);

/**
 * Adds or updates a worker and keeps its tasks. If the new capacity is below
 * what is allocated, the worker gets no new tasks until enough have ended.
 */
void set_worker(ledger& state, worker_offer const& offer);

/** Removes a worker; returns the tasks that were allocated on it. */
std::vector<task_allocation> remove_worker(ledger& state,
                                           worker_id const& worker);

/**
 * Records a task that already runs on a worker, even if it doesn't fit. False
 * if the worker is unknown or the task is already recorded.
 */
bool adopt_task(ledger& state, task_allocation const& allocation);

/** Frees a task's resources; returns its allocation, if there was one. */
std::optional<task_allocation> release_task(ledger& state, task_id const& task);

/** Records a checkpoint; false if the task is unknown. */
bool record_checkpoint(ledger& state, task_id const& task, instant at);

std::optional<task_allocation> find_task(ledger const& state,
                                         task_id const& task);
std::optional<worker_usage> find_worker(ledger const& state,
                                        worker_id const& worker);
std::vector<task_allocation> tasks_on(ledger const& state,
                                      worker_id const& worker);

/** Scans every worker: for heartbeats and reports, not for decisions. */
ledger_totals totals_of(ledger const& state);

/** Describes the inconsistencies between the indexes; empty if none. */
std::string check_invariants(ledger const& state);

// ---- placement -----------------------------------------------------------

/**
 * Places tasks in order and allocates their resources. A result shorter than
 * `tasks` means that the remaining tasks don't fit; with all_or_none or policy
 * `close` the result is complete or empty. The caller must pass tasks that are
 * distinct and not recorded yet; otherwise nothing is placed.
 *
 * pack: the fullest worker that fits. spread: the zone, rack and worker with
 * the fewest tasks of the workload; in each zone, the 256 emptiest workers that
 * fit are compared. close: one rack, else one zone. The preferred zone comes
 * first; with spread it only breaks ties between zones. Tasks that need no
 * accelerators go to workers that have some only if no other worker fits.
 */
std::vector<task_allocation> place(ledger& state,
                                   demand const& wanted,
                                   std::vector<task_id> const& tasks,
                                   instant now);

/**
 * Like place(), but the tasks are released once `expires` has passed unless
 * the hold is committed first. A job has at most one hold: empty if it has one.
 */
std::vector<task_allocation> hold(ledger& state,
                                  job_id const& job,
                                  demand const& wanted,
                                  std::vector<task_id> const& tasks,
                                  instant now,
                                  instant expires);

/** Makes a job's hold permanent as its tasks start; false if it has none. */
bool commit_hold(ledger& state, job_id const& job);

/** Releases a job's hold; returns its tasks, empty if there is no hold. */
std::vector<task_id> release_hold(ledger& state, job_id const& job);

/** Releases every hold that has expired; returns their jobs. */
std::vector<job_id> expire_holds(ledger& state, instant now);

// ---- reservation for a waiting gang --------------------------------------

/** How many tasks of a waiting gang a worker is reserved for. */
struct reserved_share
{
    worker_id worker;
    int tasks = 0;

    bool operator==(reserved_share const&) const = default;
};

/** When and where a waiting gang is expected to start. */
struct gang_reservation
{
    job_id job;
    instant start;
    resources size; //!< per task
    std::vector<reserved_share> shares;

    bool operator==(gang_reservation const&) const = default;
};

/**
 * Reserves the earliest start for a gang of `count` tasks, given the expected
 * ends of running tasks. Until the reservation is cancelled, other tasks are
 * placed on its workers only if they end by that start or fit beside the gang.
 * There is one reservation at a time; a new one replaces it. Scans every
 * worker and its tasks. Empty if the gang doesn't fit even once every task
 * with a known end has ended.
 */
std::optional<gang_reservation> reserve_gang(ledger& state,
                                             job_id const& job,
                                             demand const& wanted,
                                             int count,
                                             instant now);

/** Removes the reservation, for instance before placing the gang itself. */
void cancel_reservation(ledger& state);

std::optional<gang_reservation> reservation_of(ledger const& state);

// ---- preemption ----------------------------------------------------------

/** Tasks to checkpoint and stop on one worker so that another task fits. */
struct preemption_plan
{
    worker_id worker;
    std::vector<task_id> victims; //!< empty: the task fits without preemption
    milliseconds lost_time{0};    //!< sum of victims' run time since checkpoint

    bool operator==(preemption_plan const&) const = default;
};

/**
 * The set of tasks on one worker that frees enough for one task of `wanted`
 * with the least run time lost since checkpoints. Only less urgent tasks that
 * started at least `min_run` ago are victims, so that workloads don't preempt
 * each other in turn. Doesn't change the ledger. Scans every task; the search
 * on each worker is bounded, so with many tasks the plan may not be optimal.
 * Empty if no set frees enough.
 */
std::optional<preemption_plan> plan_preemption(ledger const& state,
                                               demand const& wanted,
                                               milliseconds min_run,
                                               instant now);

// ---- demands that can never be met ---------------------------------------

/** Why a demand can't be met even when no worker has any tasks. */
struct shortfall
{
    resources missing;  //!< per task, on the worker that is closest
    int task_count = 0; //!< most that fit at once, if `missing` is zero

    bool operator==(shortfall const&) const = default;
};

/**
 * Why a demand for `count` tasks can't run on these instances even if no tasks
 * were running. Empty if it can, or if there are no workers. Scans every
 * instance.
 */
std::optional<shortfall> find_shortfall(std::vector<instance> const& instances,
                                        demand const& wanted,
                                        int count);

/** "a task needs 2 more accelerators than the closest worker has" */
std::string describe(shortfall const& reason);

} // namespace cicada
