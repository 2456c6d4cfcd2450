#pragma once

#include "protocol/protocol.hpp"

#include <memory>

/**
 * Every decision of a daemon: one reducer over all events, with its effects
 * as data. No I/O, thread, clock or randomness of its own; the time is in the
 * event. The same events replay to the same effects. Not thread-safe: one
 * thread feeds one state.
 */
namespace cicada
{

/** What a daemon is told at its start and never changes. */
struct daemon_settings
{
    member self;
    std::uint64_t incarnation = 0;      //!< differs between starts
    milliseconds heartbeat_period{500}; //!< to each peer
    milliseconds peer_timeout{2'000};   //!< silence that makes a peer down
    milliseconds member_lease{3'000};   //!< in the platform's service
    milliseconds sync_wait{2'000};      //!< an agent may hold a sync so long
    milliseconds agent_timeout{4'000};  //!< silence that takes it out
    milliseconds task_lease{15'000};    //!< a worker ends unrenewed tasks
    milliseconds grant_start_within{1'000};
    milliseconds store_timeout{2'000};

    bool operator==(daemon_settings const&) const = default;
};

// ---- events --------------------------------------------------------------

/** Time passes; sent every 50 ms or so. */
struct tick
{
    bool operator==(tick const&) const = default;
};

/** A caller's request head has come, and its body up to the replay limit. */
struct request_arrived
{
    request_id request;
    tenant_id tenant;
    workload_id workload;
    std::optional<work_class> urgency;
    std::optional<milliseconds> deadline;
    std::optional<bool> idempotent; //!< stricter than the workload only
    std::string key;                //!< Idempotency-Key, may be empty
    std::string body_digest;        //!< empty: not known before sending
    bool replayable = false;        //!< the whole body is held

    bool operator==(request_arrived const&) const = default;
};

/** The caller went away. */
struct caller_gone
{
    request_id request;

    bool operator==(caller_gone const&) const = default;
};

/** An attempt that this daemon sent to an endpoint is over, for the sender. */
struct attempt_ended
{
    request_id request;
    attempt_id attempt;
    attempt_result result = attempt_result::unknown;
    int status = 0;              //!< HTTP, when answered
    bool answer_started = false; //!< bytes of it went to the caller
    bool body_consumed = false;  //!< it can't be sent again

    bool operator==(attempt_ended const&) const = default;
};

/** A message from a peer over the link. */
struct peer_message_received
{
    daemon_id from;
    peer_message message;

    bool operator==(peer_message_received const&) const = default;
};

/** The link to a peer is up; `from` may have restarted. */
struct peer_up
{
    daemon_id peer;

    bool operator==(peer_up const&) const = default;
};

/** The link to a peer is gone. */
struct peer_down
{
    daemon_id peer;

    bool operator==(peer_down const&) const = default;
};

/** An agent answered an order, or didn't. */
struct agent_order_ended
{
    std::string agent; //!< the instance's name
    agent_order order;
    result<agent_answer> answer; //!< unavailable: not taken; unknown: perhaps

    bool operator==(agent_order_ended const&) const = default;
};

/** The platform's list, whole. */
struct instances_listed
{
    std::vector<instance> list;

    bool operator==(instances_listed const&) const = default;
};

/** All live members, from the service. */
struct members_seen
{
    std::vector<member> members;

    bool operator==(members_seen const&) const = default;
};

/** The ownership table, from the service. */
struct table_seen
{
    ownership_table table;

    bool operator==(table_seen const&) const = default;
};

/** What is in force, from the service. */
struct config_seen
{
    cell_config config;

    bool operator==(config_seen const&) const = default;
};

/** Whether this daemon's own lease and key are in the service. */
struct own_lease_seen
{
    bool held = false;
    milliseconds left{0}; //!< by this daemon's clock, from when it was asked

    bool operator==(own_lease_seen const&) const = default;
};

/** How a write ended. */
enum class write_outcome
{
    done,
    refused, //!< a compare failed: somebody else was first
    failed,  //!< known not to have taken effect
    unknown  //!< may have taken effect
};

/** The answer to a write_intents effect, for one of them. */
struct intent_written
{
    request_id request;
    write_outcome outcome = write_outcome::unknown;
    std::optional<intent> existing; //!< when refused: the one that is there

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

/** A caller submits a job; `job.home` is not yet set. */
struct job_submitted
{
    job_record job;
    std::string key;         //!< Idempotency-Key, may be empty
    std::string body_digest; //!< of the submission

    bool operator==(job_submitted const&) const = default;
};

/** A caller cancels a job; `home` is as read from the service. */
struct job_cancel_asked
{
    job_id job;
    shard_id home;

    bool operator==(job_cancel_asked const&) const = default;
};

/** An operator or SIGTERM asks this daemon to leave in order. */
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

/** Something that happened, and when. */
struct event
{
    instant at;
    event_body body;

    bool operator==(event const&) const = default;
};

// ---- effects -------------------------------------------------------------

/** What is known of a request that got no endpoint's answer. */
enum class request_outcome
{
    not_run,
    ran,
    unknown
};

/** "not_run", "ran" or "unknown". */
char const* to_string(request_outcome outcome);

/** Answers a caller with a problem. */
struct answer_problem
{
    request_id request;
    int status = 503;
    std::string code;   //!< stable, see docs/API.md
    std::string detail; //!< for people
    request_outcome outcome = request_outcome::not_run;
    milliseconds retry_after{0}; //!< zero: no such header

    bool operator==(answer_problem const&) const = default;
};

/** Sends a request's body to an endpoint, and its answer to the caller. */
struct start_attempt
{
    request_id request;
    slot_grant grant;
    milliseconds time_limit{0}; //!< until the whole answer

    bool operator==(start_attempt const&) const = default;
};

/** Drops the connection of an attempt that is under way. */
struct abort_attempt
{
    request_id request;
    attempt_id attempt;

    bool operator==(abort_attempt const&) const = default;
};

/** Sends a message to a peer; lost if the link is down. */
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

/** Writes an intent if its key is new, or in the place of the one given. */
struct write_intent
{
    request_id request;
    intent value;
    std::optional<attempt_id> replaces; //!< the attempt that must be stored

    bool operator==(write_intent const&) const = default;
};

/**
 * Writes a job's record, if the ownership table still has this version; with
 * `create`, whatever the table, if there is no such job.
 */
struct write_job
{
    job_record job;
    bool create = false;
    std::uint64_t table_version = 0;
    std::string key;         //!< with `create`; must be new for the tenant
    std::string body_digest; //!< with `key`

    bool operator==(write_job const&) const = default;
};

/** Reads all the jobs whose home is this shard. */
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
    shard_id home;   //!< empty: not taken in
    job_id existing; //!< the job the key was used for before, if so
    int status = 201;
    std::string code;   //!< empty: no problem
    std::string detail; //!< for people
    request_outcome outcome = request_outcome::not_run;

    bool operator==(answer_job const&) const = default;
};

/** Connects to a peer, or drops the link to one that left. */
struct want_peer
{
    member peer;
    bool wanted = true;

    bool operator==(want_peer const&) const = default;
};

/** Writes this daemon's member record anew, with `leaving` as it is now. */
struct write_member
{
    member self;

    bool operator==(write_member const&) const = default;
};

/** All is handed over and nothing is in flight: the process may end. */
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
        wait,         //!< from accept to the attempt's start
        service_time, //!< of an attempt
        outcome       //!< count only; `detail` names it
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

/** The state of a daemon that knows nothing but its settings. */
state_ptr make_state(daemon_settings const& settings);

/** Takes one event in; returns what must be done, in order. */
std::vector<effect> step(state& current, event const& happened);

/** A peer, as a daemon last heard of it. */
struct peer_view
{
    member info;
    std::uint64_t note_number = 0;
    bool linked = false;

    bool operator==(peer_view const&) const = default;
};

/** What operators and tests may read of a state. */
struct state_view
{
    std::uint64_t note_number = 0;
    std::uint64_t table_version = 0;
    std::vector<peer_view> peers;    //!< members but this one
    std::vector<shard_id> owned;     //!< shards
    std::vector<shard_id> ready;     //!< owned, and every agent synced or out
    std::vector<instance> workers;   //!< owned
    std::vector<instance> endpoints; //!< owned
    int requests_in_flight = 0;      //!< as entry
    int requests_queued = 0;         //!< as owner
    int slots_taken = 0;             //!< as owner
    std::vector<job_record> jobs;    //!< owned, not final
    bool leaving = false;

    bool operator==(state_view const&) const = default;
};

state_view view_of(state const& current);

/** What is in force at this daemon. */
cell_config const& config_of(state const& current);

/**
 * Why a request or job waits here, in a sentence; empty: not known here.
 */
std::string explain(state const& current, std::string const& name);

} // namespace cicada
