#pragma once

#include "base/base.hpp"

#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <variant>
#include <vector>

/**
 * Decides where the tasks of jobs run: one reducer over every event that the
 * placing daemon learns of, with its calls as values. Pure: no I/O, no clock,
 * no randomness; the time is in the event. Not thread-safe.
 * docs/design/platform.md gives the reason for a single placer.
 */
namespace cicada::batch
{

// ---- configuration -------------------------------------------------------

/** What one call for advice costs; the advisor's policy filters workers. */
struct advice_terms
{
    double decision_ms = 0.0;   //!< for each call
    double per_worker_ms = 0.0; //!< for each worker named
    milliseconds validity{0};   //!< of a ticket

    bool operator==(advice_terms const&) const = default;
};

/** A queue that callers submit jobs to. */
struct queue_rule
{
    std::string name;
    std::string host;
    std::string prefix; //!< of the path; the longest match wins
    std::string service;
    int priority = 0;     //!< 0 is placed first
    int max_attempts = 1; //!< failed runs of one task
    double slack_factor = 1.0;
    milliseconds target{0}; //!< beyond slack_factor x the longest chain
    std::optional<advice_terms> advice;

    bool operator==(queue_rule const&) const = default;
};

/** The operators' configuration; only a higher version replaces another. */
struct cell_config
{
    std::int64_t version = 0;
    std::vector<queue_rule> queues;
    std::size_t header_bytes = std::size_t{16} << 10;
    std::size_t body_bytes = std::size_t{256} << 10;

    bool operator==(cell_config const&) const = default;
};

/** The queue with the longest prefix of this path; null: none. */
queue_rule const* find_queue(cell_config const& config,
                             std::string const& host,
                             std::string const& path);

// ---- jobs ----------------------------------------------------------------

/** One step of a job: `count` like tasks. */
struct task_step
{
    int count = 1;
    resources size; //!< of one task
    milliseconds estimate{0};
    std::vector<int> after; //!< earlier steps that end first
    bool gang = false;      //!< all tasks at once or none
    bool same_rack = false; //!< a gang is slow across racks
    bool checkpointing = false;
    std::string required_label; //!< empty: any worker
    std::string data_rack;      //!< empty: no preference
    int per_worker = 0;         //!< at most so many; 0: no limit

    bool operator==(task_step const&) const = default;
};

/** A job as it was accepted; never changes. */
struct job
{
    std::string id;
    queue_rule queue;
    std::string spec; //!< handed to the workers as it is
    std::vector<task_step> steps;
    std::uint64_t epoch = 0; //!< placers of a lower epoch may not start it

    bool operator==(job const&) const = default;
};

/** Empty if the job can be run; else why it is refused. */
std::string check_job(job const& given);

/** The sum of estimates along the longest chain of steps. */
milliseconds longest_chain(job const& given);

/** The state that callers see. */
enum class job_state
{
    queued,
    running,
    completed,
    failed,
    cancelled
};

/** Progress that outlives the placer; stored after each change. */
struct job_progress
{
    job_state state = job_state::queued;
    std::vector<std::vector<bool>> done; //!< by step and task
    /** The runs that failed, by step and task. The ends may be listed again,
     * in any order, to a placer that takes over. */
    std::vector<std::vector<std::set<std::uint64_t>>> failed_runs;

    bool operator==(job_progress const&) const = default;
};

/** Records of the store, as opaque bytes. Errors: invalid_input. */
std::string encode_job(job const& given);
result<job> decode_job(std::string const& bytes);
std::string encode_progress(job_progress const& progress);
result<job_progress> decode_progress(std::string const& bytes);

// ---- workers -------------------------------------------------------------

/** One task of one job. */
struct task_ref
{
    std::string job;
    int step = 0;
    int index = 0;

    auto operator<=>(task_ref const&) const = default;
};

/** A worker as the list of workers describes it. */
struct worker_offer
{
    std::string id;
    std::string service;
    address where;
    zone_id zone;
    resources capacity;
    std::vector<std::string> labels; //!< its kind and its rack
    bool draining = false;
    std::int64_t incarnation = 0; //!< differs between processes under one id

    bool operator==(worker_offer const&) const = default;
};

/** A run that a worker reports. */
struct active_run
{
    task_ref task;
    std::uint64_t run = 0;
    std::string checkpoint;

    bool operator==(active_run const&) const = default;
};

enum class run_end
{
    done,
    failed,
    stopped,
    lapsed, //!< the worker's lease ran out
    broken, //!< another member of the gang ended
    alone   //!< the rest of the gang didn't start in time
};

/** The end of a run; listed again until it is acknowledged. */
struct finished_run
{
    std::uint64_t number = 0; //!< rises from 1 in each incarnation of a worker
    task_ref task;
    std::uint64_t run = 0;
    run_end how = run_end::done;
    std::string checkpoint;

    bool operator==(finished_run const&) const = default;
};

/** A worker's answer to a poll. */
struct worker_report
{
    std::int64_t incarnation = 0;
    std::int64_t clock_ms = 0; //!< of the worker's own clock
    std::vector<active_run> active;
    std::vector<finished_run> finished;
    bool more_finished = false; //!< the list was cut

    bool operator==(worker_report const&) const = default;
};

/** The outcome of an order to a worker. */
enum class order_outcome
{
    done,    //!< carried out, now or earlier
    fenced,  //!< a higher fencing token has been seen
    refused, //!< not carried out: old run, late, no capacity, no ticket
    busy,    //!< not carried out: the worker is unhealthy
    other_incarnation, //!< the worker has been restarted
    unknown            //!< no answer: may be carried out, even seconds later
};

// ---- events --------------------------------------------------------------

struct time_passed
{
    /** How long after the list of workers last answered the store has answered
     * something else. While the list lags, draining workers aren't known. */
    milliseconds list_lag{0};
};

struct worker_listed
{
    worker_offer offer;
};

struct worker_unlisted
{
    std::string worker;
};

/** All workers of the list have been received since the start. */
struct worker_list_complete
{
};

struct job_stored
{
    job accepted;
    std::optional<job_progress> progress; //!< none: nothing has started
    std::int64_t progress_revision = 0;   //!< of its record; 0: none
};

struct cancel_stored
{
    std::string job;
};

struct poll_answered
{
    std::string worker;
    std::uint64_t token = 0; //!< that the poll carried
    instant sent;
    worker_report report;
};

struct poll_failed
{
    std::string worker;
    order_outcome why = order_outcome::unknown;
    std::uint64_t token = 0;
};

struct start_answered
{
    std::string worker;
    task_ref task;
    std::uint64_t run = 0;
    std::uint64_t token = 0;
    order_outcome outcome = order_outcome::unknown;
};

struct stop_answered
{
    std::string worker;
    task_ref task;
    std::uint64_t run = 0;
    std::uint64_t token = 0;
    order_outcome outcome = order_outcome::unknown;
};

/** A worker that may run a step, and the ticket that proves it. */
struct advised_worker
{
    std::string worker;
    std::string ticket;

    bool operator==(advised_worker const&) const = default;
};

struct advice_answered
{
    std::uint64_t call = 0; //!< of the request_advice that it answers
    std::string requester;
    std::string job;
    int step = 0;
    std::vector<std::string> requested;
    std::vector<advised_worker> allowed;
    milliseconds validity{0};
    bool answered = false; //!< false: the call failed
};

/** The outcome of a save; its records count as stored only if it is. */
struct progress_saved
{
    std::uint64_t save = 0;
    bool stored = false;
    std::int64_t revision = 0; //!< of the records, if they are stored
    /** Records that weren't as expected, with the revision they have: an
     * earlier save was stored, but its answer was lost. */
    std::map<std::string, std::int64_t> found;
};

/** The daemons that can request advice, by name. */
struct advice_requesters_changed
{
    std::vector<std::string> requesters;
};

using event_body = std::variant<time_passed,
                                worker_listed,
                                worker_unlisted,
                                worker_list_complete,
                                job_stored,
                                cancel_stored,
                                poll_answered,
                                poll_failed,
                                start_answered,
                                stop_answered,
                                advice_answered,
                                progress_saved,
                                advice_requesters_changed>;

struct event
{
    instant at;
    event_body body;
};

// ---- effects -------------------------------------------------------------

/** Reads a worker's runs and extends its lease; waits for a run to end. */
struct poll_worker
{
    std::string worker;
    address where;
    std::uint64_t token = 0;
    std::uint64_t acknowledged = 0;          //!< ends up to here are stored
    std::optional<std::int64_t> lease_until; //!< by the worker's clock
    milliseconds wait{0};
};

struct start_task
{
    std::string worker;
    address where;
    task_ref task;
    std::uint64_t run = 0;
    std::uint64_t token = 0;
    std::string spec;
    std::string checkpoint; //!< empty: from the beginning
    std::string ticket;     //!< empty: none needed
    std::int64_t lease_until = 0;
};

struct stop_task
{
    std::string worker;
    address where;
    task_ref task;
    std::uint64_t run = 0;
    std::uint64_t token = 0;
};

struct request_advice
{
    std::uint64_t call = 0; //!< differs between calls of one placer
    std::string requester;  //!< the daemon that makes the call
    std::string job;
    int step = 0;
    std::vector<std::string> workers;
    milliseconds expected{0};
};

/** One job's progress. */
struct progress_record
{
    std::string job;
    std::string bytes;
    bool ended = false; //!< the job has ended: its other records are deleted
    bool cancelled = false;    //!< its cancellation is one of them
    std::int64_t expected = 0; //!< revision of its progress; 0: none is stored
};

/** Stores records, in one transaction. */
struct save_progress
{
    std::uint64_t save = 0;
    std::vector<progress_record> records;
};

/** One decision, for the log. */
struct log_decision
{
    int number = 0; //!< of docs/EVENTS.md
    std::string detail;
};

/** Another placer has a higher fencing token: this one stops. */
struct stop_placing
{
};

using effect = std::variant<poll_worker,
                            start_task,
                            stop_task,
                            request_advice,
                            save_progress,
                            log_decision,
                            stop_placing>;

// ---- the reducer ---------------------------------------------------------

/** Settings, constant while one placer runs. */
struct scheduler_settings
{
    std::uint64_t epoch = 1;      //!< of this placer; higher than any before
    milliseconds lease{6000};     //!< that a poll gives a worker's runs
    milliseconds poll_wait{1000}; //!< a poll waits this long for an end
    milliseconds resend_interval{
        150};                       //!< between attempts of an unanswered order
    int max_start_attempts = 3;     //!< of a start before it is stopped
    milliseconds save_interval{25}; //!< between saves, to batch changes
    milliseconds placement_interval{10};  //!< between passes, to batch changes
    std::size_t max_concurrent_saves = 6; //!< a slow store answers after 0.3 s
};

struct scheduler;

struct scheduler_deleter
{
    void operator()(scheduler* owned) const;
};

using scheduler_ptr = std::unique_ptr<scheduler, scheduler_deleter>;

scheduler_ptr make_scheduler(scheduler_settings const& settings, instant now);

/** Decides on one event. */
std::vector<effect> step(scheduler& state, event const& happened);

/** The job's state as stored; none: the job isn't known. */
std::optional<job_state> state_of(scheduler const& state,
                                  std::string const& job);

/** What entry daemons need to know of the load. */
struct load_report
{
    std::map<std::string, int> pending; //!< by queue: no task has started
    std::vector<milliseconds> wait;     //!< by priority: until its turn
    bool settled = false;               //!< every worker's runs are known
};

load_report load_of(scheduler const& state);

/** How full the cell is and what waits, as one line for the log. */
std::string describe_load(scheduler const& state);

/** Used capacity and runs of a worker, for tests and operators. */
struct worker_usage
{
    resources used;
    int runs = 0;
    bool usable = false;

    bool operator==(worker_usage const&) const = default;
};

std::optional<worker_usage> usage_of(scheduler const& state,
                                     std::string const& worker);

// ---- admission -----------------------------------------------------------

/** Whether an entry daemon accepts a job. */
struct admission
{
    bool accepted = true;
    milliseconds retry_after{0}; //!< if it isn't

    bool operator==(admission const&) const = default;
};

/**
 * Refuses a job whose objective has passed before its turn would come. Load:
 * bursts beyond the fleet's capacity.
 */
admission admit(job const& given, std::vector<milliseconds> const& wait);

} // namespace cicada::batch
