#pragma once

#include "base/base.hpp"

#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

/**
 * Queues, customers, jobs and workers: what the operators configure, callers
 * submit and workers report, and the records of it in the store. The scheduler
 * (batch) and the adapter to the platform share these values. No I/O.
 */
namespace cicada::batch
{

// ---- configuration -------------------------------------------------------

/**
 * Duration of an advice call and validity of its tickets. The advisor decides
 * by policy which workers may run a step.
 */
struct advice_terms
{
    double decision_ms = 0.0;   //!< fixed time of a call
    double per_worker_ms = 0.0; //!< added for each worker in the call
    milliseconds validity{0};   //!< of a ticket

    bool operator==(advice_terms const&) const = default;
};

/** A queue that callers submit jobs to. */
struct queue_rule
{
    std::string name;
    std::string host;
    std::string prefix; //!< path prefix; the longest match applies
    std::string service;
    int priority = 0;     //!< 0 is the most urgent
    int max_attempts = 1; //!< failed runs of a task before its job fails
    double slack_factor = 1.0;
    /** Time allowed in addition to slack_factor x the longest chain. */
    milliseconds target{0};
    std::optional<advice_terms> advice;
    bool anonymous = false; //!< calls need no customer's key

    bool operator==(queue_rule const&) const = default;
};

/** What a customer may use. */
struct customer_share
{
    std::string name;
    /** Jobs per second that the customer is due while capacity is short; 0: no
     * share is configured, and none of its jobs are beyond it. */
    double weight = 0.0;
    /** Limit of its running tasks on all workers together; in each dimension,
     * 0: no limit. */
    resources cap;

    bool operator==(customer_share const&) const = default;
};

/** A customer and the keys that its callers send. */
struct customer_rule
{
    customer_share share;
    std::vector<std::string> keys;

    bool operator==(customer_rule const&) const = default;
};

/** The operators' configuration; replaced only by one of a higher version. */
struct cell_config
{
    std::int64_t version = 0;
    std::vector<queue_rule> queues;
    std::vector<std::string> services; //!< names
    /** None: calls need no key. */
    std::optional<std::vector<customer_rule>> customers;
    std::size_t header_bytes = std::size_t{16} << 10;
    std::size_t body_bytes = std::size_t{256} << 10;
    milliseconds header_timeout{15'000}; //!< until a request's header is read
    milliseconds idle_timeout{15'000};   //!< until a request begins

    bool operator==(cell_config const&) const = default;
};

/** Returns the queue of the host whose prefix is the longest match for the
 * path, or null if none matches. */
queue_rule const* find_queue(cell_config const& config,
                             std::string const& host,
                             std::string const& path);

/** Returns the customer with the key, or null if no customer has it. */
customer_rule const* find_customer(cell_config const& config,
                                   std::string const& key);

// ---- jobs ----------------------------------------------------------------

/** One step of a job: `count` identical tasks. */
struct task_step
{
    int count = 1;
    resources size; //!< of one task
    milliseconds estimate{0};
    std::vector<int> after; //!< indices of earlier steps that must be done
    bool gang = false;      //!< all tasks run at the same time or not at all
    bool same_rack = false; //!< the gang runs slowly across racks
    bool checkpointing = false;
    std::string required_label; //!< empty: any worker
    std::string data_rack;      //!< empty: no preference
    int per_worker = 0;         //!< maximum tasks on one worker; 0: no limit

    bool operator==(task_step const&) const = default;
};

/** A job as it was accepted; immutable. */
struct job
{
    std::string id;
    queue_rule queue;
    std::string spec; //!< passed to the workers unchanged
    std::vector<task_step> steps;
    std::uint64_t epoch = 0; //!< placers of a lower epoch must not start it
    std::string customer;    //!< whose caps and shares apply; empty: none
    /** Version of the configuration that `queue` is from; 0: not known. */
    std::int64_t config_version = 0;

    bool operator==(job const&) const = default;
};

/** Returns why the job is refused, or an empty string if it is valid. */
std::string check_job(job const& given);

/** Returns why the customer's cap never lets the job run, or an empty string.
 */
std::string check_caps(job const& given, customer_share const& share);

/** Returns the sum of estimates along the longest chain of dependent steps. */
milliseconds longest_chain(job const& given);

/** The state of a job as shown to callers. */
enum class job_state
{
    queued,
    running,
    completed,
    failed,
    cancelled
};

/** The part of a job's state that is stored after each change, so that the
 * next placer can continue from it. */
struct job_progress
{
    job_state state = job_state::queued;
    /** By step and task; empty for a step of which no task is done. */
    std::vector<std::vector<bool>> done;
    /** The numbers of the failed runs, by step, of the tasks that have any and
     * aren't done. A set, because workers may report ends again, in any order,
     * to a placer that takes over. */
    std::vector<std::map<int, std::set<std::uint64_t>>> failed_runs;

    bool operator==(job_progress const&) const = default;
};

// ---- workers -------------------------------------------------------------

/** One task of one job. */
struct task_ref
{
    std::string job;
    int step = 0;
    int index = 0;

    auto operator<=>(task_ref const&) const = default;
};

/** A worker's entry in the list of workers. */
struct worker_offer
{
    std::string id;
    std::string service;
    address where;
    zone_id zone;
    resources capacity;
    std::vector<std::string> labels; //!< the worker's kind, then its rack
    bool draining = false;
    std::int64_t incarnation = 0; //!< differs for each process with this id

    bool operator==(worker_offer const&) const = default;
};

/** A run that a worker reports as active. */
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

/** The end of a run; reported in each poll until it is acknowledged. */
struct finished_run
{
    std::uint64_t number = 0; //!< counts from 1 in each incarnation of a worker
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
    std::int64_t clock_ms = 0; //!< the worker's own clock
    std::vector<active_run> active;
    std::vector<finished_run> finished;
    bool more_finished = false; //!< `finished` is truncated

    bool operator==(worker_report const&) const = default;
};

/** The outcome of an order to a worker. */
enum class order_outcome
{
    done,    //!< carried out, now or earlier
    fenced,  //!< the worker has seen a higher fencing token
    refused, //!< not carried out: old run, late, no capacity, no ticket
    busy,    //!< not carried out: the worker is unhealthy
    other_incarnation, //!< the worker has been restarted
    unknown            //!< no answer: may be carried out, even seconds later
};

/** A worker's record in the stored roster; immutable. */
struct worker_location
{
    address where;
    /** The worker was silent. While the record says so, no placer sends it an
     * order with a lease. */
    bool idle = false;

    bool operator==(worker_location const&) const = default;
};

// ---- records of the store ------------------------------------------------

/** Encode and decode the records of the store. Errors: invalid_input. */
std::string encode_job(job const& given);
result<job> decode_job(std::string const& bytes);
std::string encode_progress(job_progress const& progress);
result<job_progress> decode_progress(std::string const& bytes);
std::string encode_location(worker_location const& location);
result<worker_location> decode_location(std::string const& bytes);

} // namespace cicada::batch
