#pragma once

#include "batch/batch.hpp"

#include <deque>
#include <set>
#include <unordered_map>

namespace cicada::batch
{

constexpr milliseconds lease_margin{250};   //!< added to a lease's end
constexpr double clock_drift_factor = 1.02; //!< worker clocks run up to 2% slow
constexpr int worthless_rank = 100;
constexpr std::uint64_t runs_per_epoch = 4096;
constexpr std::uint64_t incarnations_per_epoch = 1024;

enum class run_phase
{
    starting, //!< ordered, not answered
    running,
    stopping //!< a stop is sent until its end is known
};

/** A run that uses capacity of a worker, from the order until its known end. */
struct run_record
{
    std::uint64_t run = 0;
    resources size;
    run_phase phase = run_phase::starting;
    bool start_uncertain =
        false; //!< a start is unanswered and may be carried out late
    bool order_pending = false; //!< an order is unanswered
    int start_attempts = 0;
    instant next_attempt;
    instant started;
    instant expected_end;
    std::optional<instant>
        stop_confirmed_at; //!< the worker refuses the run since
    std::string ticket;
    std::string checkpoint;
};

struct worker_record
{
    worker_offer offer;
    std::uint32_t number = 0; //!< in the order they were first listed
    bool listed = true;
    bool synced = false; //!< has answered this token in this incarnation
    std::int64_t incarnation = 0;
    std::uint64_t incarnations = 0; //!< seen by this placer
    std::uint64_t token = 0;
    bool poll_pending = false;
    bool unresponsive =
        false; //!< the last poll failed: its lease isn't extended
    instant next_poll;
    std::int64_t clock_ms = 0; //!< of its last answer
    instant clock_read_at;
    instant lease_end;           //!< nothing runs past it unless it is extended
    std::uint64_t processed = 0; //!< highest end number handled
    std::uint64_t acknowledged = 0; //!< highest end number stored
    std::deque<std::pair<std::uint64_t, std::uint64_t>>
        unsaved_ends; //!< end, change
    instant avoid_until;
    int consecutive_failures = 0; //!< of tasks
    resources used;
    std::map<task_ref, run_record> runs;
};

enum class task_phase
{
    waiting,
    placed,
    done
};

struct task_record
{
    task_phase phase = task_phase::waiting;
    std::set<std::uint64_t> failed_runs;
    std::string checkpoint;
    std::string worker; //!< while placed
    std::uint64_t run = 0;
};

/** The advisor's answer about one worker for one step; it doesn't change. */
struct advice_record
{
    bool allowed = false;
    std::string ticket;
    instant valid_until;
    std::int64_t incarnation = 0;
};

struct step_record
{
    std::vector<task_record> tasks;
    int waiting = 0;
    int placed = 0;
    int done = 0;
    std::uint64_t gang_run = 0;
    std::unordered_map<std::uint32_t, advice_record> advice; //!< by worker
    std::uint64_t advice_call = 0;             //!< the unanswered call; 0: none
    std::vector<std::uint32_t> advice_workers; //!< the workers that it names
    instant next_advice_call;
    milliseconds remaining_chain{
        0}; //!< the longest chain from here, itself included
};

struct job_record
{
    job accepted;
    job_state state = job_state::queued;        //!< as decided
    job_state stored_state = job_state::queued; //!< as callers are shown
    std::vector<step_record> steps;
    bool adopted = false;     //!< an earlier placer may have started tasks
    bool has_started = false; //!< a worker has confirmed a start
    instant arrived;
    instant objective; //!< shown as completed by then, it is in time
    milliseconds chain{0};
    std::uint64_t next_run = 1;
    std::int64_t saved_revision =
        0; //!< revision of its stored progress; 0: none
};

/** A change that is being saved. */
struct saving_record
{
    std::uint64_t change = 0;
    job_state state = job_state::queued;
};

/** Workers that a queue's advice calls named and allowed so far. */
struct advice_share
{
    double asked = 0.0;
    double allowed = 0.0;
};

struct requester_record
{
    instant free_at;
    int calls = 0;
};

} // namespace cicada::batch

namespace cicada::batch
{

struct scheduler
{
    scheduler_settings settings;
    instant now;
    instant started_at;
    bool list_complete = false;
    bool settled = false;
    bool stopped = false;
    std::map<std::string, worker_record> workers;
    std::map<std::string, job_record> jobs;
    std::set<std::string> cancelled_early; //!< before the job was known
    std::set<std::string> active_jobs;     //!< jobs that aren't over
    std::map<std::string, requester_record> requesters;
    std::uint64_t advice_calls = 0;
    std::map<std::string, advice_share> advice_shares; //!< by queue
    std::uint64_t changes = 0;
    std::map<std::string, std::uint64_t>
        unsaved_jobs; //!< job to its first change
    std::map<std::string, saving_record> saving_jobs;               //!< by job
    std::map<std::uint64_t, std::vector<std::string>> jobs_by_save; //!< by save
    std::uint64_t last_save = 0;
    instant next_save;
    bool placement_due = false;
    instant next_placement;
    instant next_full_pass; //!< over the steps of every rank
    milliseconds list_lag{0};
    std::vector<effect> effects;
};

// ---- jobs.cpp

void handle_job(scheduler& s, job_stored const& given);
void cancel_job(scheduler& s, std::string const& id);
void mark_changed(scheduler& s, job_record& j);
void mark_started(scheduler& s, task_ref const& task);
void finish_task(scheduler& s, task_ref const& task);
void fail_task(scheduler& s, task_ref const& task, std::uint64_t run);
/** The task has no run any more and waits again, unless it is done. */
void requeue_task(scheduler& s,
                  task_ref const& task,
                  std::uint64_t run,
                  std::string const& checkpoint);
bool step_ready(job_record const& j, std::size_t step);
bool has_ended(job_state state);
/** By estimate, to meet the job's objective. */
instant latest_start(job_record const& j, std::size_t step);
/** The order of placing: the queue's priority, less urgent once it is late,
 * and `worthless_rank` once its result has no value even late. */
int placement_rank(job_record const& j, std::size_t step, instant now);
task_record* find_task(scheduler& s, task_ref const& task);

// ---- workers.cpp

void list_worker(scheduler& s, worker_offer const& offer);
void unlist_worker(scheduler& s, std::string const& id);
void handle_poll_answer(scheduler& s, poll_answered const& answer);
void handle_poll_failure(scheduler& s, poll_failed const& failure);
void poll_if_due(scheduler& s, worker_record& w);
void expire_leases(scheduler& s);
bool usable(scheduler const& s, worker_record const& w);
std::int64_t lease_deadline(scheduler& s, worker_record& w);
/** Frees the capacity of a run. */
void release_run(scheduler& s, worker_record& w, task_ref const& task);

// ---- orders.cpp

void start_run(scheduler& s,
               worker_record& w,
               job_record& j,
               task_ref const& task,
               std::uint64_t run,
               std::string const& ticket);
void stop_run(scheduler& s, worker_record& w, task_ref const& task);
void handle_start_answer(scheduler& s, start_answered const& answer);
void handle_stop_answer(scheduler& s, stop_answered const& answer);
/** Resends unanswered orders once `resend_interval` is over. */
void resend_orders(scheduler& s, worker_record& w);

// ---- placing.cpp

void place_tasks(scheduler& s);

// ---- advice.cpp

/** Requests advice on these workers, unless every requester is too busy. */
void call_advisor(scheduler& s,
                  job_record& j,
                  int step,
                  std::vector<worker_record const*> const& workers,
                  bool late);
/** The estimated share of workers that the advisor allows the job's queue. */
double allowed_share(scheduler const& s, job_record const& j);
/** False while a call is unanswered or a failed one must not be repeated yet.
 */
bool may_call_advisor(scheduler const& s, step_record const& record);
void handle_advice(scheduler& s, advice_answered const& answer);

// ---- saving.cpp

void save_changes(scheduler& s);
void handle_save_outcome(scheduler& s, progress_saved const& outcome);
void acknowledge_ends(scheduler const& s, worker_record& w);

void log(scheduler& s, int number, std::string detail);
std::string to_string(task_ref const& task);

} // namespace cicada::batch
