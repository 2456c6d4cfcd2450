#pragma once

#include "batch/batch.hpp"

#include <deque>
#include <set>
#include <unordered_map>

namespace cicada::batch
{

constexpr milliseconds lease_margin{250};   //!< added to the end of a lease
constexpr double clock_drift_factor = 1.02; //!< worker clocks run up to 2% slow
constexpr int worthless_rank = 100;
/** Added to the rank of late work, which has a fifth of its value. */
constexpr int late_demotion = 2;
/** Added to the rank of what a customer sends beyond its share. */
constexpr int beyond_share_demotion = 2;
constexpr std::uint64_t runs_per_epoch = 4096;
constexpr std::uint64_t incarnations_per_epoch = 1024;

enum class run_phase
{
    starting, //!< the start is not yet answered
    running,
    stopping //!< the stop is resent until the run's end is known
};

/** A run, which uses worker capacity from its start order to its known end. */
struct run_record
{
    std::uint64_t run = 0;
    resources size;
    /** The job isn't known: it ended under an earlier placer, or hasn't been
     * read yet. */
    bool unknown_size = false;
    /** Of a run of unknown size: the read_jobs call that shows whether its job
     * has ended. */
    std::uint64_t read = 0;
    run_phase phase = run_phase::starting;
    /** A start has no answer and may still be carried out late. */
    bool start_uncertain = false;
    bool order_pending = false; //!< an order is unanswered
    /** A report has listed it. Until then, its start may have reached a later
     * incarnation of the worker than the one it was meant for. */
    bool reported = false;
    int start_attempts = 0;
    instant next_attempt;
    instant started;
    instant expected_end;
    /** When the stop was answered; the worker refuses the run from then on. */
    std::optional<instant> stop_confirmed_at;
    std::string ticket;
    std::string checkpoint;
    std::string customer;         //!< whose cap it counts against; empty: none
    bool start_confirmed = false; //!< `started` is when the worker answered
    std::string checkpoint_at_start;
};

/** The end of a run whose job isn't known. */
struct unknown_end
{
    finished_run end;
    std::uint64_t read = 0; //!< read_jobs call that shows whether it has ended
};

/** What is known of a worker's speed. */
struct speed_record
{
    double log_speed = 0.0; //!< against the usual speed
    int samples = 0;
};

struct worker_record
{
    worker_offer offer;
    std::uint32_t number = 0; //!< assigned in the order of first listing
    bool listed = true;
    /** This incarnation has answered the token and all its ends were read. */
    bool synced = false;
    std::int64_t incarnation = 0;
    std::uint64_t incarnations = 0; //!< number seen by this placer
    instant incarnation_seen_at;    //!< its first answer arrived
    /** When the last poll was sent that this incarnation has answered. */
    std::optional<instant> answered_poll_sent;
    std::uint64_t token = 0;
    bool poll_pending = false;
    address polled_at;                  //!< of the last poll
    std::optional<address> answered_at; //!< of the last answer
    bool truncated = false;             //!< its last report left out ends
    /** The last poll failed; the lease isn't extended. */
    bool unresponsive = false;
    std::optional<instant> silent_since; //!< the first poll that failed
    instant next_poll;
    std::int64_t clock_ms = 0; //!< the worker's clock in its last answer
    instant clock_read_at;
    /** Runs of this incarnation end by then unless the lease is extended. */
    instant lease_end;
    instant lease_sent_at;       //!< when the last order with a lease was sent
    std::uint64_t processed = 0; //!< highest end number handled
    std::uint64_t acknowledged = 0; //!< highest end number stored
    /** Pairs of end number and change number. */
    std::deque<std::pair<std::uint64_t, std::uint64_t>> unsaved_ends;
    /** In the order of their numbers; not acknowledged. */
    std::vector<unknown_end> unknown_ends;
    instant busy_until; //!< it has refused an order because it is unhealthy
    /** The last jobs whose tasks failed here, since a task succeeded. */
    std::deque<std::string> failed_jobs;
    int failures = 0; //!< since a task succeeded, up to those that count
    speed_record speed;
    instant doubted_until;
    resources used;
    int unknown_sizes = 0; //!< runs of unknown size; `used` lacks them
    std::map<task_ref, run_record> runs;
    int unanswered_orders = 0;
    /** Orders that wait until others are answered, as of the last attempt. */
    int held_orders = 0;
    /** The address in the stored roster; none: not recorded. */
    std::optional<address> recorded_address;
    std::int64_t roster_revision = 0; //!< of its record; 0: none
    bool roster_save_pending = false;
    /** A save may have stored its record since the last stored deletion. */
    bool roster_written = false;
    bool of_former_roster = false; //!< an earlier placer may have used it
    /** Its record says that it is idle, or may say so: it gets no order with a
     * lease. */
    bool may_be_idle = false;
    /** Of the record that an earlier placer stored. */
    std::optional<instant> idle_since;
};

enum class task_phase
{
    waiting,
    placed,
    done
};

/** A task that is placed, or waits with failures or a checkpoint. */
struct task_record
{
    bool placed = false;
    std::set<std::uint64_t> failed_runs;
    std::string checkpoint;
    std::string worker; //!< while placed
    std::uint64_t run = 0;
};

/** How long a task of a step took on a worker. */
struct run_time
{
    std::string worker;
    std::int64_t incarnation = 0;
    double log_ms = 0.0;
};

/** The advisor's answer about one worker for one step; immutable. */
struct advice_record
{
    bool allowed = false;
    std::string ticket;
    instant valid_until;
    std::int64_t incarnation = 0;
};

struct step_record
{
    int count = 0; //!< of tasks
    /** By index. Tasks without a record are done, or wait without a failure or
     * a checkpoint: a job may have far more tasks than run at a time. */
    std::map<int, task_record> tasks;
    std::vector<bool> done_tasks; //!< by index; empty while none is done
    int waiting = 0;
    int placed = 0;
    int done = 0;
    std::uint64_t gang_run = 0;
    /** By worker number. */
    std::unordered_map<std::uint32_t, advice_record> advice;
    std::uint64_t advice_call = 0;             //!< the pending call; 0: none
    std::vector<std::uint32_t> advice_workers; //!< workers in that call
    instant next_advice_call;
    instant tickets_until; //!< the last answer's tickets have expired then
    std::vector<run_time> run_times; //!< of tasks that are done
    /** The step is one of those that are put off while not all can be in time.
     */
    bool put_off = false;
    /** Length of the longest chain that begins with this step. */
    milliseconds remaining_chain{0};
};

/** The failures of one job's tasks on one worker. */
struct job_failures
{
    int count = 0;
    instant avoid_until; //!< the job prefers other workers until then
};

/** The terms of a queue that follow the configuration in force, also for jobs
 * that were accepted before; the others are as accepted
 * (docs/design/queue-terms.md). */
struct queue_terms
{
    std::string service;
    std::optional<advice_terms> advice;

    bool operator==(queue_terms const&) const = default;
};

struct job_record
{
    job accepted;
    queue_terms terms;
    job_state state = job_state::queued; //!< as decided, perhaps not yet stored
    job_state stored_state = job_state::queued; //!< as shown to callers
    std::vector<step_record> steps;
    bool adopted = false;      //!< an earlier placer may have started tasks
    bool has_started = false;  //!< a worker has confirmed a start
    bool beyond_share = false; //!< of its customer when it arrived
    double work = 0.0;         //!< of all tasks, in core-milliseconds
    instant arrived;
    instant objective; //!< in time if shown as completed by then
    milliseconds chain{0};
    std::uint64_t next_run = 1;
    std::map<std::uint32_t, job_failures> failures; //!< by worker number
    /** Revision of the stored progress; 0: none. */
    std::int64_t saved_revision = 0;
};

/** A customer's share and cap, and what it uses of them. */
struct customer_record
{
    customer_share share;
    resources used; //!< by its runs on all workers
    /** What it may be running, after a takeover, that no worker has reported
     * yet. */
    resources unreported;
    double tokens = 0.0; //!< jobs within its share; negative: beyond it
    instant tokens_at;
};

/** A change that is being saved. */
struct saving_record
{
    std::uint64_t change = 0;
    job_state state = job_state::queued;
};

/** How many workers a queue's advice calls asked about and how many of them
 * were allowed so far. */
struct advice_share
{
    double asked = 0.0;
    double allowed = 0.0;
};

/** The mean work of a queue's jobs. */
struct queue_work
{
    int jobs = 0; //!< that the mean covers
    double mean = 0.0;
};

/** How the workers' speeds vary. */
struct speed_statistics
{
    double noise = 0.1;  //!< variance of one observation's logarithm
    bool differ = false; //!< by more than the noise explains
    instant next_check;
};

struct requester_record
{
    instant free_at;
    int calls = 0;
};

} // namespace cicada::batch
