#pragma once

#include "daemon_view/daemon_view.hpp"
#include "protocol/protocol.hpp"

#include <memory>

/**
 * The decision logic of a daemon: a reducer that maps each event to a list of
 * effects. It does no I/O and uses no thread, clock or random source; each
 * event carries its time. The same events always give the same effects. Not
 * thread-safe: a state must only be used by one thread at a time.
 */
namespace cicada
{

/** Settings of a daemon that stay fixed while it runs. */
struct daemon_settings
{
    member self;
    std::uint64_t incarnation = 0;      //!< differs between starts
    milliseconds heartbeat_period{500}; //!< to each peer
    milliseconds peer_timeout{2'000};   //!< without messages: peer is down
    milliseconds member_lease{3'000};   //!< of its entry in the service
    milliseconds sync_wait{2'000};      //!< longest long poll of an agent
    milliseconds agent_timeout{4'000};  //!< without answers: agent is silent
    milliseconds task_lease{15'000};    //!< workers end tasks at its expiry
    milliseconds grant_start_within{1'000};
    milliseconds store_timeout{2'000};

    bool operator==(daemon_settings const&) const = default;
};

// ---- events --------------------------------------------------------------

/** Periodic event that runs due timers; sent about every 50 ms. */
struct tick
{
    bool operator==(tick const&) const = default;
};

/** A request's head was received, with its body up to the replay limit. */
struct request_arrived
{
    request_id request;
    tenant_id tenant;
    workload_id workload;
    std::optional<work_class> urgency;
    std::optional<milliseconds> deadline;
    std::optional<bool> idempotent; //!< can only make it non-idempotent
    std::string key;                //!< Idempotency-Key, may be empty
    std::string body_digest;        //!< empty: body not read completely
    bool replayable = false;        //!< the whole body is buffered

    bool operator==(request_arrived const&) const = default;
};

/** The caller closed its connection. */
struct caller_gone
{
    request_id request;

    bool operator==(caller_gone const&) const = default;
};

/** An attempt sent by this daemon has ended, as far as the sender knows. */
struct attempt_ended
{
    request_id request;
    attempt_id attempt;
    attempt_result result = attempt_result::unknown;
    int status = 0;              //!< HTTP status, if answered
    bool answer_started = false; //!< part of it was sent to the caller
    bool body_consumed = false;  //!< the body can't be sent again

    bool operator==(attempt_ended const&) const = default;
};

/** A message from a peer was received. */
struct peer_message_received
{
    daemon_id from;
    peer_message message;

    bool operator==(peer_message_received const&) const = default;
};

/** The connection to a peer is up; the peer may have restarted. */
struct peer_up
{
    daemon_id peer;

    bool operator==(peer_up const&) const = default;
};

/** The connection to a peer is closed. */
struct peer_down
{
    daemon_id peer;

    bool operator==(peer_down const&) const = default;
};

/** An order to an agent was answered, or failed. */
struct agent_order_ended
{
    std::string agent; //!< the instance's name
    agent_order order;
    result<agent_answer> answer; //!< unavailable: not sent; unknown: maybe

    bool operator==(agent_order_ended const&) const = default;
};

/** The platform's complete list of instances. */
struct instances_listed
{
    std::vector<instance> list;

    bool operator==(instances_listed const&) const = default;
};

/** All members with a valid lease, as read from the service. */
struct members_seen
{
    std::vector<member> members;

    bool operator==(members_seen const&) const = default;
};

/** The ownership table, as read from the service. */
struct table_seen
{
    ownership_table table;

    bool operator==(table_seen const&) const = default;
};

/** The active configuration, as read from the service. */
struct config_seen
{
    cell_config config;

    bool operator==(config_seen const&) const = default;
};

/** Whether the service holds this daemon's own lease and member key. */
struct own_lease_seen
{
    bool held = false;
    milliseconds left{0}; //!< by the local clock, from the time of the query

    bool operator==(own_lease_seen const&) const = default;
};

/** Result of a write to the service. */
enum class write_outcome
{
    done,
    refused, //!< a compare failed: another write came first
    failed,  //!< known not to have taken effect
    unknown  //!< may have taken effect
};

/** The answer to a write_intent effect. */
struct intent_written
{
    request_id request;
    write_outcome outcome = write_outcome::unknown;
    std::optional<intent> existing; //!< when refused: the stored intent

    bool operator==(intent_written const&) const = default;
};

/** The job that an Idempotency-Key was first used for. */
struct job_key_use
{
    job_id job;
    shard_id home;
    std::string body_digest; //!< of the submission

    bool operator==(job_key_use const&) const = default;
};

/** The answer to a write_job effect. */
struct job_written
{
    job_id job;
    write_outcome outcome = write_outcome::unknown;
    std::optional<job_key_use> existing; //!< when a create was refused

    bool operator==(job_written const&) const = default;
};

/** The answer to a load_jobs effect. */
struct jobs_loaded
{
    shard_id home;
    result<std::vector<job_record>> jobs;

    bool operator==(jobs_loaded const&) const = default;
};

/** The answer to a propose_table effect. */
struct table_proposed
{
    ownership_table table;
    write_outcome outcome = write_outcome::unknown;

    bool operator==(table_proposed const&) const = default;
};

/** A caller submitted a job; `job.home` is not yet set. */
struct job_submitted
{
    job_record job;
    std::string key;         //!< Idempotency-Key, may be empty
    std::string body_digest; //!< of the submission

    bool operator==(job_submitted const&) const = default;
};

/** A caller cancelled a job; `home` is as read from the service. */
struct job_cancel_asked
{
    job_id job;
    shard_id home;

    bool operator==(job_cancel_asked const&) const = default;
};

/** An operator or SIGTERM requested a graceful shutdown. */
struct shutdown_asked
{
    bool operator==(shutdown_asked const&) const = default;
};

using event_body = std::variant<tick,
                                request_arrived,
                                caller_gone,
                                attempt_ended,
                                peer_message_received,
                                peer_up,
                                peer_down,
                                agent_order_ended,
                                instances_listed,
                                members_seen,
                                table_seen,
                                config_seen,
                                own_lease_seen,
                                intent_written,
                                job_written,
                                jobs_loaded,
                                table_proposed,
                                job_submitted,
                                job_cancel_asked,
                                shutdown_asked>;

/** An input of the reducer and its time. */
struct event
{
    instant at;
    event_body body;

    bool operator==(event const&) const = default;
};

// ---- effects -------------------------------------------------------------

/** Whether a request without an endpoint's answer was executed. */
enum class request_outcome
{
    not_run,
    ran,
    unknown
};

/** "not_run", "ran" or "unknown". */
char const* to_string(request_outcome outcome);

/** Answers a caller with a problem document. */
struct answer_problem
{
    request_id request;
    int status = 503;
    std::string code;   //!< stable, see docs/API.md
    std::string detail; //!< human-readable
    request_outcome outcome = request_outcome::not_run;
    milliseconds retry_after{0}; //!< zero: no Retry-After header

    bool operator==(answer_problem const&) const = default;
};

/** Sends a request to an endpoint and relays the answer to the caller. */
struct start_attempt
{
    request_id request;
    slot_grant grant;
    milliseconds time_limit{0}; //!< to the end of the answer

    bool operator==(start_attempt const&) const = default;
};

/** Closes the connection of a running attempt. */
struct abort_attempt
{
    request_id request;
    attempt_id attempt;

    bool operator==(abort_attempt const&) const = default;
};

/** Sends a message to a peer; dropped if the connection is down. */
struct send_peer
{
    daemon_id to;
    peer_message message;

    bool operator==(send_peer const&) const = default;
};

/** Sends an order to a worker or endpoint over HTTP. */
struct send_agent
{
    std::string agent;
    address where;
    agent_order order;
    milliseconds time_limit{0};

    bool operator==(send_agent const&) const = default;
};

/** Creates an intent, or replaces the intent of the attempt given. */
struct write_intent
{
    request_id request;
    intent value;
    std::optional<attempt_id> replaces; //!< fails unless this is stored

    bool operator==(write_intent const&) const = default;
};

/**
 * Writes a job's record if the ownership table still has this version. With
 * `create`, writes it if no such job exists, whatever the table's version.
 */
struct write_job
{
    job_record job;
    bool create = false;
    std::uint64_t table_version = 0;
    std::string key;         //!< with `create`; must be unused by the tenant
    std::string body_digest; //!< with `key`

    bool operator==(write_job const&) const = default;
};

/** Reads all jobs whose home is this shard. */
struct load_jobs
{
    shard_id home;

    bool operator==(load_jobs const&) const = default;
};

/** Replaces the ownership table if its version is one less. */
struct propose_table
{
    ownership_table table;

    bool operator==(propose_table const&) const = default;
};

/** Answers the caller that submitted or cancelled a job. */
struct answer_job
{
    job_id job;
    shard_id home;   //!< empty: job not accepted
    job_id existing; //!< the job the key was first used for, if any
    int status = 201;
    std::string code;   //!< empty: no problem
    std::string detail; //!< human-readable
    request_outcome outcome = request_outcome::not_run;

    bool operator==(answer_job const&) const = default;
};

/** Connects to a peer, or disconnects from one that left. */
struct want_peer
{
    member peer;
    bool wanted = true;

    bool operator==(want_peer const&) const = default;
};

/** Rewrites this daemon's member record with the current `leaving`. */
struct write_member
{
    member self;

    bool operator==(write_member const&) const = default;
};

/** All shards are handed over and nothing is in flight: exit now. */
struct shutdown_ready
{
    bool operator==(shutdown_ready const&) const = default;
};

/** A log event; numbers are in docs/EVENTS.md. */
struct log_event
{
    int number = 0;
    std::string detail;

    bool operator==(log_event const&) const = default;
};

/** One observation for the histograms. */
struct observe
{
    enum class what
    {
        wait,         //!< from arrival to the first attempt
        service_time, //!< from arrival to the answer's end
        outcome       //!< counted only; named in `detail`
    };
    what kind = what::wait;
    tenant_id tenant;
    work_class urgency = work_class::normal;
    milliseconds length{0};
    std::string detail;

    bool operator==(observe const&) const = default;
};

using effect = std::variant<answer_problem,
                            start_attempt,
                            abort_attempt,
                            send_peer,
                            send_agent,
                            write_intent,
                            write_job,
                            load_jobs,
                            propose_table,
                            answer_job,
                            want_peer,
                            write_member,
                            shutdown_ready,
                            log_event,
                            observe>;

// ---- the reducer ---------------------------------------------------------

struct state;

/** Frees a state; the type is complete only inside the library. */
struct state_deleter
{
    void operator()(state* owned) const;
};

using state_ptr = std::unique_ptr<state, state_deleter>;

/** The initial state of a daemon. */
state_ptr make_state(daemon_settings const& settings);

/** Applies one event; returns the effects to execute, in order. */
std::vector<effect> step(state& current, event const& happened);

state_view view_of(state const& current);

/** The active configuration of this daemon. */
cell_config const& config_of(state const& current);

/** One sentence on why a request or job waits; empty if it is unknown here. */
std::string explain(state const& current, std::string const& name);

} // namespace cicada
