#pragma once

#include "model/model.hpp"

#include <variant>

/**
 * What the processes say to each other: between daemons (the link, CBOR),
 * from daemons to endpoints and workers (HTTP, JSON; docs/CONTRACTS.md), and
 * the records kept in the platform's service (JSON). Values and their codecs;
 * no I/O. Times that cross processes are lengths, never points of a clock.
 */
namespace cicada
{

// ---- between daemons -----------------------------------------------------

/** What an owner offers of one pool; routing chooses by it. */
struct pool_advert
{
    pool_id pool;
    int slots = 0; //!< of all its endpoints in rotation
    int free_slots = 0;
    int queued = 0;                //!< requests that wait at the owner
    milliseconds expected_wait{0}; //!< for a new request of normal class

    bool operator==(pool_advert const&) const = default;
};

/** Sent to each peer every period, in both directions. */
struct heartbeat
{
    std::uint64_t note_number = 0;
    std::uint64_t table_version = 0;
    bool leaving = false;
    resources free;         //!< over all workers owned
    resources largest_free; //!< of the one worker with most room
    std::vector<pool_advert> adverts;

    bool operator==(heartbeat const&) const = default;
};

/** Entry to owner: asks for a slot for one request. */
struct slot_request
{
    request_id request;
    workload_id workload;
    tenant_id tenant;
    work_class urgency = work_class::normal;
    milliseconds remaining{0}; //!< until the caller's deadline
    pool_id pool;              //!< of endpoints that answer the workload

    bool operator==(slot_request const&) const = default;
};

/** Owner to entry: use this endpoint for this one attempt. */
struct slot_grant
{
    request_id request;
    attempt_id attempt;
    endpoint_id endpoint;
    address where;
    shard_id shard;
    epoch since;
    milliseconds start_within{0}; //!< later starts must not be made

    bool operator==(slot_grant const&) const = default;
};

/** Owner to entry: no slot, and nothing was started. */
struct slot_refusal
{
    request_id request;
    std::string reason; //!< stable code, as in problem+json
    milliseconds retry_after{0};

    bool operator==(slot_refusal const&) const = default;
};

/** Entry to owner: the request is gone; drop it from the queue. */
struct slot_cancel
{
    request_id request;

    bool operator==(slot_cancel const&) const = default;
};

/** How an attempt ended, as far as the entry knows. */
enum class attempt_result
{
    answered, //!< whole answer with the attempt's id
    not_run,  //!< the endpoint refused it, or no byte was sent
    draining, //!< as not_run, and the endpoint is leaving
    unknown   //!< sent, no whole answer: the owner must settle it
};

/** "answered", "not_run", "draining" or "unknown". */
char const* to_string(attempt_result result);

/** Entry to owner: the slot is back. */
struct slot_return
{
    attempt_id attempt;
    endpoint_id endpoint;
    attempt_result result = attempt_result::unknown;
    bool endpoint_error = false; //!< answered with a 5xx
    milliseconds service_time{0};

    bool operator==(slot_return const&) const = default;
};

/** Owner to entry: what became of an attempt that was `unknown`. */
struct attempt_settled
{
    attempt_id attempt;
    bool ran = false; //!< false: never started and never will

    bool operator==(attempt_settled const&) const = default;
};

/** A note and its text; sent to a peer that has an older one. */
struct note_offer
{
    std::uint64_t number = 0;
    std::string text; //!< the compact of all that is in force, JSON

    bool operator==(note_offer const&) const = default;
};

/** The ownership table; sent to a peer that has an older one. */
struct table_offer
{
    ownership_table table;

    bool operator==(table_offer const&) const = default;
};

/** Hands a job to the owner of its home shard. */
struct job_offer
{
    job_record job;

    bool operator==(job_offer const&) const = default;
};

/** Asks the owner of its home shard to cancel a job. */
struct job_cancel
{
    job_id job;
    shard_id home;

    bool operator==(job_cancel const&) const = default;
};

using peer_message = std::variant<heartbeat,
                                  slot_request,
                                  slot_grant,
                                  slot_refusal,
                                  slot_cancel,
                                  slot_return,
                                  attempt_settled,
                                  note_offer,
                                  table_offer,
                                  job_offer,
                                  job_cancel>;

/** The version of the link's messages that this build speaks. */
constexpr std::uint64_t link_version = 1;

/** The kind's name, as in the envelope: "heartbeat", "slot_request"... */
char const* kind_of(peer_message const& message);

/** CBOR; never fails. */
std::string encode_peer_message(peer_message const& message);

/**
 * Reads one message. Unknown fields are passed over. An unknown kind, from a
 * newer peer, is an empty optional.
 *
 * Errors: invalid_input if the bytes break the format.
 */
result<std::optional<peer_message>>
decode_peer_message(std::string const& bytes);

// ---- to workers and endpoints (agents) -----------------------------------

/** What an agent knows of an attempt or task. */
enum class run_state
{
    never_started, //!< and, once said, never will be
    running,
    finished,
    failed
};

/** "never_started", "running", "finished" or "failed". */
char const* to_string(run_state state);

/**
 * Announces an epoch, renews the leases of all that runs, and asks for what
 * runs; the answer waits up to `wait` for a change from `seen`.
 */
struct sync_order
{
    daemon_id owner;
    epoch since;
    std::uint64_t seen = 0; //!< version of the last answer, 0: none
    milliseconds wait{0};
    bool renew = true; //!< false: asks, but lets the leases run out

    bool operator==(sync_order const&) const = default;
};

/** Starts a task on a worker; the same id twice starts it once. */
struct start_order
{
    epoch since;
    task_id task; //!< "job/index/attempt"
    workload_id workload;
    resources size;
    milliseconds run_time{0}; //!< zero: until stopped
    milliseconds lease{0};    //!< the worker ends it this long after a sync

    bool operator==(start_order const&) const = default;
};

/**
 * Stops a task, or cancels an attempt. If it hasn't started, a tombstone
 * refuses a start that comes later.
 */
struct cancel_order
{
    epoch since;
    std::string run; //!< a task's or an attempt's id
    bool checkpoint = false;

    bool operator==(cancel_order const&) const = default;
};

using agent_order = std::variant<sync_order, start_order, cancel_order>;

/** One task or attempt at an agent. */
struct run_report
{
    std::string run; //!< a task's or an attempt's id
    run_state state = run_state::running;
    resources size; //!< as granted
    resources used; //!< as measured, with a lag

    bool operator==(run_report const&) const = default;
};

/** The answer to a sync_order: all that runs or ended lately. */
struct agent_report
{
    epoch since; //!< highest the agent has seen
    std::uint64_t version = 0;
    bool draining = false;
    resources capacity; //!< workers
    int slots = 0;      //!< endpoints
    std::vector<run_report> runs;

    bool operator==(agent_report const&) const = default;
};

/** The answer to a start_order or cancel_order. */
struct run_answer
{
    run_state state = run_state::running;

    bool operator==(run_answer const&) const = default;
};

/** The agent's refusal: nothing was changed. */
struct agent_refusal
{
    epoch since;        //!< highest the agent has seen
    std::string reason; //!< "stale_epoch", "no_capacity", "draining",
                        //!< "tombstone"

    bool operator==(agent_refusal const&) const = default;
};

using agent_answer = std::variant<agent_report, run_answer, agent_refusal>;

/** "/cicada/v1/sync", "/cicada/v1/start" or "/cicada/v1/cancel". */
char const* agent_path(agent_order const& order);

std::string encode_agent_order(agent_order const& order);

/** Errors: invalid_input; the path says which order the text must hold. */
result<agent_order> decode_agent_order(std::string const& path,
                                       std::string const& text);

std::string encode_agent_answer(agent_answer const& answer);

/** Errors: invalid_input. */
result<agent_answer> decode_agent_answer(std::string const& text);

// ---- records in the platform's service (JSON) ----------------------------

std::string encode_member(member const& value);
result<member> decode_member(std::string const& text);
std::string encode_table(ownership_table const& value);
result<ownership_table> decode_table(std::string const& text);
std::string encode_intent(intent const& value);
result<intent> decode_intent(std::string const& text);
std::string encode_job(job_record const& value);
result<job_record> decode_job(std::string const& text);
std::string encode_config(cell_config const& value);
result<cell_config> decode_config(std::string const& text);

/** Reads the platform's instance list. */
std::string encode_instances(std::vector<instance> const& list);
result<std::vector<instance>> decode_instances(std::string const& text);

} // namespace cicada
