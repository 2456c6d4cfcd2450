#pragma once

#include "core/core.hpp"

#include "queueing/queueing.hpp"

#include <deque>
#include <set>

/**
 * The reducer's state as plain structs, and the helpers that all modules use.
 * Private to the library.
 */
namespace cicada
{

using effects = std::vector<effect>;

// ---- timers --------------------------------------------------------------

/** A timer's action. The comments give what its subject names. */
enum class timer_kind
{
    heartbeat,        //!< no subject
    propose_table,    //!< no subject
    sync_agent,       //!< an agent's name
    agent_silent,     //!< an agent's name
    request_deadline, //!< a request
    request_retry,    //!< a request
    settle_request,   //!< a request whose attempt's outcome is unknown
    intent_late,      //!< an attempt whose intent is being written
    settle_attempt,   //!< an attempt
    reload_jobs,      //!< a shard
    retry_task,       //!< a task
    write_job         //!< a job
};

/** An action due at a given time. */
struct timer
{
    instant at;
    timer_kind kind = timer_kind::heartbeat;
    std::string subject;

    bool operator==(timer const&) const = default;
    std::strong_ordering operator<=>(timer const&) const = default;
};

// ---- members and peers ---------------------------------------------------

/** Another daemon. */
struct peer_state
{
    member info;
    bool listed = false; //!< in the service's list of members
    bool linked = false;
    heartbeat last;                         //!< of the current connection
    std::map<pool_id, int> slots_requested; //!< since `last`
};

// ---- agents --------------------------------------------------------------

/** State of an agent, as its owner sees it. */
enum class agent_phase
{
    announcing, //!< has not yet acknowledged the owner's epoch
    in_rotation,
    draining, //!< gets nothing new; what runs continues
    silent    //!< does not answer
};

/** A worker or endpoint of an owned shard. */
struct agent_state
{
    instance info;
    epoch since; //!< the owner's epoch
    agent_phase phase = agent_phase::announcing;
    std::uint64_t report_version = 0; //!< of its last report
    bool full_report_due = false;     //!< the next sync requests all runs
    bool sync_under_way = false;
    instant last_answer;
    instant last_renewal; //!< latest order that may have renewed leases
    int failed_syncs = 0;
    resources allocated;                //!< workers: sum of `tasks`
    std::map<task_id, resources> tasks; //!< that hold capacity, with their size
    std::set<attempt_id> attempts;
};

/** State of a granted attempt, as its owner sees it. */
enum class grant_phase
{
    granted,  //!< the entry uses it
    foreign,  //!< reported by the endpoint, granted by an earlier owner
    settling, //!< the entry doesn't know its outcome; the endpoint is queried
};

/** An attempt that holds a slot of an owned endpoint. */
struct grant_state
{
    attempt_id attempt;
    request_id request;
    daemon_id entry;
    std::string endpoint;
    pool_id pool;
    workload_id workload;
    tenant_id tenant;
    work_class urgency = work_class::normal;
    instant granted_at;
    grant_phase phase = grant_phase::granted;
    bool query_under_way = false;
};

// ---- requests at their owner ---------------------------------------------

/** A request that waits for a slot, at the pool's owner. */
struct queued_request
{
    slot_request ask;
    daemon_id entry;
    instant arrived;
    instant deadline;
};

/** The owned endpoints of one pool. */
struct pool_state
{
    std::set<std::string> endpoints; //!< owned, by name
    int slots = 0;                   //!< of endpoints in rotation
    int taken = 0;                   //!< of `slots`, by attempts
    fair_queue_ptr queue;            //!< created with the first request
};

// ---- requests at their entry ---------------------------------------------

/** State of a request at its entry. */
enum class request_phase
{
    waiting_slot,
    writing_intent,
    querying_earlier, //!< the endpoint is asked about an earlier attempt
    running,
    settling, //!< the owner determines the attempt's outcome
    backoff
};

/** A caller's request. */
struct request_state
{
    request_arrived head;
    pool_id pool;
    work_class urgency = work_class::normal;
    bool idempotent = true;
    instant arrived;
    instant deadline;
    request_phase phase = request_phase::waiting_slot;
    daemon_id owner;                 //!< that the slot was requested from
    std::optional<slot_grant> grant; //!< of the current attempt
    std::optional<intent> stored;    //!< the intent as this daemon wrote it
    std::optional<intent> earlier;   //!< found under the same key
    int attempts = 0;                //!< started
    int slot_requests = 0;           //!< in a row; reset after a delay
    bool intent_write_repeated = false;
    bool caller_left = false;
};

/** A tenant's remaining retry allowance. */
struct retry_budget
{
    std::int64_t hundredths = 0; //!< of a retry
};

// ---- jobs ----------------------------------------------------------------

/** State of one task of an owned job. */
enum class task_phase
{
    unplaced,
    assigned,  //!< has a worker; not yet stored
    recording, //!< the assignment is being written
    adopted,   //!< assigned by an earlier owner; not yet reported by the worker
    starting,
    running,
    stopping,
    done
};

/** The state of one task of an owned job that isn't stored. */
struct task_state
{
    task_phase phase = task_phase::unplaced;
    bool order_under_way = false;
    int failures = 0; //!< attempts reported as failed by a worker
    worker_id avoid;  //!< the last attempt's worker; used only if no other fits
};

/** A job of an owned shard. */
struct owned_job
{
    job_record record;
    std::vector<task_state> tasks; //!< parallel to record.tasks
    instant arrived;
    bool write_under_way = false;
    bool write_again = false; //!< the record changed since
    std::string wait_reason;  //!< human-readable; empty if it waits for nothing
};

/** A job with tasks to place; ordered by placement priority. */
struct waiting_job
{
    work_class urgency = work_class::normal;
    instant arrived;
    job_id name;

    bool operator==(waiting_job const&) const = default;
    std::strong_ordering operator<=>(waiting_job const&) const = default;
};

/** A submitted job whose caller has not been answered yet. */
struct submitted_job
{
    job_record record;
    std::string body_digest;
};

// ---- the state -----------------------------------------------------------

struct state
{
    daemon_settings settings;
    instant now;
    std::uint64_t counter = 0; //!< for next_unique()
    std::set<timer> timers;
    std::deque<peer_message> to_self;

    cell_config config;

    std::map<daemon_id, peer_state> peers;
    bool lease_held = false;
    bool members_loaded = false; //!< with this daemon among them
    bool table_loaded = false;
    bool leaving = false;
    bool shutdown_reported = false;
    std::string incarnation_text;

    ownership_table table;
    std::optional<ownership_table> proposed; //!< being written
    bool proposal_due = false;
    std::map<std::string, instance> instances; //!< of the whole cell

    std::map<shard_id, epoch> owned;
    std::map<std::string, agent_state> agents; //!< of owned shards
    std::map<attempt_id, grant_state> grants;
    std::map<pool_id, pool_state> pools;         //!< served here
    std::map<request_id, queued_request> queued; //!< in the pools' queues

    std::map<request_id, request_state> requests;
    std::map<tenant_id, retry_budget> retries;
    int failed_intent_writes = 0;   //!< in a row
    instant intents_rejected_until; //!< after repeated failures

    std::map<job_id, owned_job> jobs;
    std::set<waiting_job> waiting_jobs;
    std::map<job_id, submitted_job> submitted;
};

/** Starts a timer of this kind for `subject`. */
void schedule(state& s,
              timer_kind kind,
              milliseconds delay,
              std::string subject = {});

/** Sends a message to a daemon; to itself, it is handled within this step. */
void send_to(state& s, daemon_id const& to, peer_message message, effects& out);

/** The owner of a shard, if the table names one. */
std::optional<shard_owner> owner_of(state const& s, shard_id const& shard);

/** A string unique among all calls, daemons and incarnations. */
std::string next_unique(state& s);

/** A hash that is the same on all daemons and in all builds. */
std::uint64_t stable_hash(std::string const& text);

} // namespace cicada
