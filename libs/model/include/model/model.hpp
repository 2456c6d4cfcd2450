#pragma once

#include "base/base.hpp"

#include <map>
#include <optional>
#include <set>
#include <vector>

/**
 * Data types shared by all processes: the configuration published in release
 * notes, the records stored in the platform's service, and the entries of the
 * platform's instance lists. Readers treat values as immutable: an update
 * replaces a value as a whole.
 */
namespace cicada
{

/** Priority classes, most urgent first. */
enum class work_class
{
    urgent,
    normal,
    background
};

constexpr int work_class_count = 3;

/** "urgent", "normal" or "background". */
char const* to_string(work_class which);

/** The class with that name; empty if there is none. */
std::optional<work_class> parse_work_class(std::string const& name);

/** The type of work that a workload consists of. */
enum class workload_kind
{
    request, //!< requests answered by endpoints
    service, //!< tasks that run until withdrawn
    batch,   //!< independent tasks that run to completion
    gang     //!< tasks that run to completion, all at the same time
};

/** "request", "service", "batch" or "gang". */
char const* to_string(workload_kind kind);

/** The kind with that name; empty if there is none. */
std::optional<workload_kind> parse_workload_kind(std::string const& name);

/** How tasks are placed on workers. */
enum class placement_policy
{
    pack,   //!< fullest worker that fits, to keep space for large tasks
    spread, //!< evenly over zones, then racks, then workers
    close   //!< in one rack if they fit, else in one zone
};

/** "pack", "spread" or "close". */
char const* to_string(placement_policy policy);

/** The policy with that name; empty if there is none. */
std::optional<placement_policy> parse_placement_policy(std::string const& name);

/** The configuration of one workload. */
struct workload
{
    workload_id name;
    workload_kind kind = workload_kind::request;
    work_class urgency = work_class::normal; //!< default class
    bool idempotent = true;        //!< requests: safe to run more than once
    milliseconds deadline{30'000}; //!< requests: default, from acceptance
    resources size;                //!< per task, as declared
    int tasks = 1;                 //!< service, gang: number of tasks
    placement_policy placement = placement_policy::pack;
    pool_id pool; //!< requests: pool of endpoints; empty: named as the workload

    bool operator==(workload const&) const = default;
};

/** The pool of endpoints that serves a request workload. */
pool_id pool_of(workload const& which);

/** The configured limits of one tenant. */
struct tenant_limits
{
    tenant_id name;
    int weight = 1;        //!< relative share under contention, >= 1
    int floor_percent = 1; //!< guaranteed part of each class's slots, 0..100
    int max_queued = 1000; //!< bound on queued requests, cell-wide
    std::optional<resources> job_quota; //!< bound on the sum of running tasks

    bool operator==(tenant_limits const&) const = default;
};

/** The configured policies of the cell. */
struct cell_policies
{
    int retry_attempts = 3;               //!< per request, including the first
    int retry_budget_percent = 10;        //!< retries, of a tenant's requests
    bool preemption = true;               //!< urgent tasks may preempt others
    milliseconds checkpoint_grace{5'000}; //!< between checkpoint and stop

    bool operator==(cell_policies const&) const = default;
};

/** The configuration in effect after all notes up to `note_number`. */
struct cell_config
{
    std::uint64_t note_number = 0; //!< 0 before the first note
    std::map<workload_id, workload> workloads;
    std::map<tenant_id, tenant_limits> tenants;
    cell_policies policies;

    bool operator==(cell_config const&) const = default;
};

/** A live daemon, stored in the platform's service under its lease. */
struct member
{
    daemon_id name;
    zone_id zone;
    address link;              //!< where other daemons connect
    address operators;         //!< where cicadactl connects
    bool leaving = false;      //!< gets no new shards
    std::uint64_t version = 1; //!< version of the peer protocol

    bool operator==(member const&) const = default;
};

/** The owner of a shard and its ownership epoch. */
struct shard_owner
{
    daemon_id owner;
    epoch since; //!< increases with each change of owner

    bool operator==(shard_owner const&) const = default;
};

/** The owners of all shards; one stored value, updated by compare-and-swap. */
struct ownership_table
{
    std::uint64_t version = 0; //!< incremented by each update
    std::map<shard_id, shard_owner> shards;

    bool operator==(ownership_table const&) const = default;
};

/** The role of a listed instance. */
enum class instance_kind
{
    worker,
    endpoint
};

/** A worker or endpoint in the platform's list, which may be out of date. */
struct instance
{
    std::string name;
    instance_kind kind = instance_kind::worker;
    zone_id zone;
    shard_id shard;
    address where;
    bool leaving = false;
    resources capacity; //!< workers
    pool_id pool;       //!< endpoints: the pool they belong to
    int slots = 0;      //!< endpoints: concurrent attempts

    bool operator==(instance const&) const = default;
};

/** The known execution state of a non-idempotent request. */
enum class intent_state
{
    started,  //!< may have been sent to the endpoint
    ran,      //!< the endpoint responded
    not_run,  //!< known not to have run; the key may be reused
    abandoned //!< outcome unknown and no longer queried
};

/** "started", "ran", "not_run" or "abandoned". */
char const* to_string(intent_state state);

/** Record of a keyed request, stored before its first byte is sent. */
struct intent
{
    tenant_id tenant;
    std::string key; //!< set by the caller, at most 200 bytes
    workload_id workload;
    std::string body_digest; //!< of the complete body, hexadecimal
    attempt_id attempt;
    address endpoint;
    epoch since;
    intent_state state = intent_state::started;
    int status = 0; //!< HTTP status of the response if `ran`

    bool operator==(intent const&) const = default;
};

/** The state of a job; it never returns to an earlier one. */
enum class job_state
{
    queued,
    running,
    cancelling,
    succeeded,
    failed,
    cancelled
};

/** "queued", "running", "cancelling", "succeeded", "failed", "cancelled". */
char const* to_string(job_state state);

/** True for the states that a job doesn't leave. */
bool is_final(job_state state);

/** One task of a job and its placement. */
struct task_record
{
    int index = 0;
    int attempt = 0;  //!< increases with each placement
    worker_id worker; //!< empty while not placed
    bool done = false;

    bool operator==(task_record const&) const = default;
};

/** A job as stored in the platform's service. */
struct job_record
{
    job_id name;
    tenant_id tenant;
    workload_id workload;
    work_class urgency = work_class::normal;
    bool gang = false;           //!< runs all tasks at the same time or none
    resources size;              //!< per task
    milliseconds run_time{1000}; //!< declared, per task
    shard_id home;               //!< the shard whose owner schedules it
    job_state state = job_state::queued;
    std::vector<task_record> tasks;

    bool operator==(job_record const&) const = default;
};

} // namespace cicada
