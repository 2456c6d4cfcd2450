#pragma once

#include "job_model/job_model.hpp"

#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <variant>
#include <vector>

/**
 * Schedules the tasks of jobs on workers. The scheduler is a reducer: each
 * event that the placing daemon receives updates the state and returns the
 * calls to make as values. It does no I/O and uses neither a clock nor
 * randomness; each event carries its time. Not thread-safe.
 * docs/design/platform.md gives the reason for a single placer.
 */
namespace cicada::batch
{

// ---- events --------------------------------------------------------------

struct time_passed
{
    /** Time from the last answer of the worker list to the store's last answer
     * to any other request. While the list lags, the placer doesn't learn which
     * workers are draining. */
    milliseconds list_lag{0};
};

/** The outcome of a confirm_claim, or of the claim itself. A claim that another
 * daemon's has replaced stops the placer instead. */
struct claim_checked
{
    instant sent;
    bool confirmed = false; //!< false: no answer
};

struct worker_listed
{
    worker_offer offer;
};

struct worker_unlisted
{
    std::string worker;
};

/** A worker in the stored roster: an earlier placer may have started tasks on
 * it, whether it is listed or not. */
struct worker_recorded
{
    std::string worker;
    address where;
    std::int64_t revision = 0; //!< of the record
    /** Of a record that says that the worker is idle: a time at which it was
     * stored already. */
    std::optional<instant> idle_since;
};

/** The placer has received the whole list of workers since its start. */
struct worker_list_complete
{
};

struct job_stored
{
    job accepted;
    std::optional<job_progress> progress; //!< none: no task has started
    /** Revision of the progress record; 0: none. */
    std::int64_t progress_revision = 0;
};

/** The stored jobs have been read; those that weren't known came before as
 * job_stored. */
struct jobs_read
{
    std::uint64_t read = 0; //!< number of the read_jobs call
};

struct cancel_stored
{
    std::string job;
};

struct poll_answered
{
    std::string worker;
    std::uint64_t token = 0; //!< fencing token sent with the poll
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
    std::uint64_t call = 0; //!< number of the request_advice call
    std::string requester;
    std::string job;
    int step = 0;
    std::vector<std::string> requested;
    std::vector<advised_worker> allowed;
    milliseconds validity{0};
    bool answered = false; //!< false: the call failed
};

enum class save_outcome
{
    stored,
    conflict, //!< a condition didn't hold: nothing was stored
    unknown   //!< no answer, or an error: may be stored, even seconds later
};

/** The outcome of a save. Only `stored` means that its records are stored. */
struct progress_saved
{
    std::uint64_t save = 0;
    save_outcome outcome = save_outcome::unknown;
    std::int64_t revision = 0; //!< revision of the records if they are stored
    /** The jobs whose progress record had another revision than expected, with
     * that revision: an earlier save was stored, but its answer was lost. */
    std::map<std::string, std::int64_t> found;
};

/** The outcome of a save of the roster. */
struct roster_saved
{
    std::uint64_t save = 0;
    save_outcome outcome = save_outcome::unknown;
    std::int64_t revision = 0; //!< of the records if they are stored
    /** By worker: the revisions that differed from those expected. */
    std::map<std::string, std::int64_t> found;
};

/** A configuration with other caps or weights is in force. */
struct customers_changed
{
    std::vector<customer_share> customers;
};

/** A configuration with other queues is in force. */
struct queues_changed
{
    std::int64_t version = 0; //!< of the configuration
    std::vector<queue_rule> queues;
};

/** The names of the daemons that can request advice have changed. */
struct advice_requesters_changed
{
    std::vector<std::string> requesters;
};

using event_body = std::variant<time_passed,
                                claim_checked,
                                worker_listed,
                                worker_unlisted,
                                worker_recorded,
                                worker_list_complete,
                                job_stored,
                                jobs_read,
                                cancel_stored,
                                poll_answered,
                                poll_failed,
                                start_answered,
                                stop_answered,
                                advice_answered,
                                progress_saved,
                                roster_saved,
                                customers_changed,
                                queues_changed,
                                advice_requesters_changed>;

struct event
{
    instant at;
    event_body body;
};

// ---- effects -------------------------------------------------------------

/** Long poll: extends the worker's lease, waits up to `wait` for a run to end
 * and reads the worker's runs. */
struct poll_worker
{
    std::string worker;
    address where;
    std::uint64_t token = 0;
    std::uint64_t acknowledged = 0; //!< ends up to this number are stored
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
    bool cancelled = false;    //!< a cancellation record is to be deleted too
    std::int64_t expected = 0; //!< stored revision of the progress; 0: none
};

/** Stores the records in one transaction. */
struct save_progress
{
    std::uint64_t save = 0;
    std::vector<progress_record> records;
};

/** A change of one worker's record in the roster. */
struct roster_change
{
    std::string worker;
    std::optional<address> where; //!< none: the record is deleted
    std::int64_t expected = 0;    //!< stored revision; 0: no record
    bool idle = false;

    bool operator==(roster_change const&) const = default;
};

/** Stores the changes of the roster in one transaction. */
struct save_roster
{
    std::uint64_t save = 0;
    std::vector<roster_change> changes;
};

/** Reads the stored jobs, because a worker reported a run of an unknown job;
 * repeated until it succeeds. */
struct read_jobs
{
    std::uint64_t read = 0;
};

/** Reads whether this placer's claim is still the latest one. */
struct confirm_claim
{
};

/** A log entry about a decision. */
struct log_decision
{
    int number = 0; //!< event number in docs/EVENTS.md
    std::string detail;
};

/** Stops this placer, because another one has a higher fencing token. */
struct stop_placing
{
};

using effect = std::variant<poll_worker,
                            start_task,
                            stop_task,
                            request_advice,
                            save_progress,
                            save_roster,
                            read_jobs,
                            confirm_claim,
                            log_decision,
                            stop_placing>;

// ---- the reducer ---------------------------------------------------------

/** Settings that stay constant while a placer runs. */
struct scheduler_settings
{
    std::uint64_t epoch = 1;  //!< higher than that of every earlier placer
    milliseconds lease{6000}; //!< lease of a worker's runs from each poll
    /** The longest lease that a worker grants, whatever deadline an order
     * carries. */
    milliseconds lease_limit{10'000};
    /** How long the placer may start tasks and extend leases after its claim
     * was last confirmed. */
    milliseconds leader_lease{3000};
    milliseconds poll_wait{1000}; //!< maximum wait of a poll for a run to end
    /** Between attempts of an order without answer. */
    milliseconds resend_interval{150};
    int max_start_attempts = 3; //!< start attempts before the run is stopped
    milliseconds save_interval{25};      //!< between saves, to batch changes
    milliseconds placement_interval{10}; //!< between passes, to batch changes
    /** Several, because a slow store takes 0.3 s to answer. */
    std::size_t max_concurrent_saves = 6;
};

struct scheduler;

struct scheduler_deleter
{
    void operator()(scheduler* owned) const;
};

using scheduler_ptr = std::unique_ptr<scheduler, scheduler_deleter>;

scheduler_ptr make_scheduler(scheduler_settings const& settings, instant now);

/** Applies one event to the state and returns the resulting effects. */
std::vector<effect> step(scheduler& state, event const& happened);

/** Returns the job's stored state, or nullopt if the job isn't known. */
std::optional<job_state> state_of(scheduler const& state,
                                  std::string const& job);

/** What a customer's new jobs would wait for besides the load of all. */
struct customer_load
{
    /** Until its next job is within its share; 0: it is now. */
    milliseconds until_share{0};
    /** Estimated queueing time behind its own jobs under its cap, by priority;
     * empty: none. */
    std::vector<milliseconds> wait;

    bool operator==(customer_load const&) const = default;
};

/** The load as reported to the entry daemons for admission. */
struct load_report
{
    /** Jobs without a started task, by queue. */
    std::map<std::string, int> pending;
    std::vector<milliseconds> wait; //!< estimated queueing time, by priority
    bool settled = false;           //!< the runs of all workers are known
    /** How late the placing daemon handles events for want of processor time.
     */
    milliseconds lag{0};
    /** Customers whose jobs wait for their share or their cap. */
    std::map<std::string, customer_load> customers;

    bool operator==(load_report const&) const = default;
};

load_report load_of(scheduler const& state);

/** Figures for the metrics. */
struct scheduler_gauges
{
    int steps_put_off = 0;      //!< after others, as not all can be in time
    bool speeds_differ = false; //!< workers are chosen by their speed
    int workers_usable = 0;
    int workers_excluded = 0; //!< their runs failed in a row
    int jobs_open = 0;
    int orders_unanswered = 0;
    int orders_held = 0;  //!< until others are answered
    int task_records = 0; //!< of open jobs: tasks placed, failed or resumable

    bool operator==(scheduler_gauges const&) const = default;
};

scheduler_gauges gauges_of(scheduler const& state);

/** Formats used capacity and waiting work as one log line. */
std::string describe_load(scheduler const& state);

/** A worker's used capacity and number of runs, for tests and operators. */
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

/** Why a job is refused. */
enum class admission_cause
{
    overload,      //!< of the workers or the advisor
    customer_cap,  //!< its customer's jobs already wait for their cap
    customer_share //!< it is beyond its customer's share, and capacity is short
};

/** "overload", "customer_cap" or "customer_share". */
char const* to_string(admission_cause cause);

/** An entry daemon's decision whether to accept a job. */
struct admission
{
    bool accepted = true;
    milliseconds retry_after{0}; //!< if the job is refused
    admission_cause cause = admission_cause::overload; //!< if it is refused

    bool operator==(admission const&) const = default;
};

/**
 * Refuses a job that would still be queued when the latest start that meets
 * its objective has passed, as in bursts that exceed the fleet's capacity or
 * the customer's cap. A job beyond its customer's share waits for all others.
 * Each job also waits for the placing daemon several times; without that, a
 * daemon that lags gets ever more work and loses its workers' leases.
 */
admission admit(job const& given, load_report const& load);

} // namespace cicada::batch
