#pragma once

#include "scheduler_records.hpp"

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
    bool claim_check_pending = false;
    bool led = false; //!< as last logged
    /** A short call found every requester busy in this placement pass. */
    bool short_call_denied = false;
    std::map<std::string, worker_record> workers;
    int unanswered_orders = 0; //!< of all workers
    std::map<std::string, job_record> jobs;
    std::set<std::string> cancelled_early; //!< before the job was known
    std::set<std::string> active_jobs;     //!< jobs that have not ended
    std::map<std::string, customer_record> customers; //!< by name
    std::int64_t config_version = 0; //!< of `queues`; 0: none is known
    std::map<std::string, queue_terms> queues; //!< by name
    /** The configuration has been read; before, no job of a customer starts. */
    bool customers_known = false;
    speed_statistics speeds;
    std::map<std::string, queue_work> mean_work; //!< by queue
    instant next_put_off;
    int put_off_steps = 0; //!< of the last choice
    std::map<std::string, requester_record> requesters;
    std::uint64_t advice_calls = 0;
    /** Requester time that is due to steps of `worthless_rank`. */
    double worthless_call_credit_ms = 0.0;
    std::map<std::string, advice_share> advice_shares; //!< by queue
    std::uint64_t changes = 0;
    /** The first unsaved change of each job. */
    std::map<std::string, std::uint64_t> unsaved_jobs;
    std::map<std::string, saving_record> saving_jobs;               //!< by job
    std::map<std::uint64_t, std::vector<std::string>> jobs_by_save; //!< by save
    std::uint64_t last_save = 0;
    instant next_save;
    /** The pending saves of the roster. */
    std::map<std::uint64_t, std::vector<roster_change>> roster_saves;
    std::uint64_t last_roster_save = 0;
    instant next_roster_save;
    std::uint64_t last_job_read = 0;
    bool job_read_pending = false;
    instant next_job_read;
    instant next_maintenance;
    instant next_visit; //!< of all workers, for polls and the roster
    bool placement_due = false;
    instant next_placement;
    instant next_full_pass; //!< next pass over steps of all ranks
    /** Of the steps after the first max_steps_per_pass, how many the passes
     * over all steps have visited since they last began with the first one. */
    std::size_t later_steps_visited = 0;
    milliseconds list_lag{0};
    /** When the latest check of the claim was sent that confirmed it. */
    instant claim_confirmed_at;
    instant next_claim_check;
    instant next_awaited_claim_check; //!< while a worker waits for one
    instant leads_until;
    /** When so many of the former roster's workers had answered this placer's
     * token that no earlier one can lead without the store. */
    std::optional<instant> succeeded_at;
    std::vector<effect> effects;
};

// ---- jobs.cpp

void handle_job(scheduler& s, job_stored const& given);
void cancel_job(scheduler& s, std::string const& id);
void mark_changed(scheduler& s, job_record& j);
void mark_started(scheduler& s, task_ref const& task);
void finish_task(scheduler& s, task_ref const& task);
void fail_task(scheduler& s, task_ref const& task, std::uint64_t run);
/** Returns a task whose run is gone to waiting, unless it is done. */
void requeue_task(scheduler& s,
                  task_ref const& task,
                  std::uint64_t run,
                  std::string const& checkpoint);
bool step_ready(job_record const& j, std::size_t step);
bool has_ended(job_state state);
/** Returns the estimated latest start that meets the job's objective. */
instant latest_start(job_record const& j, std::size_t step);
/** Returns the step's rank in the placement order: the queue's priority, a
 * lower urgency once the step is late, and `worthless_rank` once its result has
 * no value even late. */
int placement_rank(job_record const& j, std::size_t step, instant now);
/** Returns the task's step, or null if there is no such task. */
step_record* find_step(scheduler& s, task_ref const& task);
bool is_done(step_record const& step);
task_phase phase_of(step_record const& step, int index);
/** Returns the placed task, or null if it isn't placed. */
task_record const* find_placed(step_record const& step, int index);
/** Marks a waiting task as placed. */
task_record& mark_placed(step_record& step,
                         int index,
                         std::string const& worker,
                         std::uint64_t run);

// ---- workers.cpp

/** Adds a record for the worker unless there is one. */
worker_record& add_worker(scheduler& s, worker_offer const& offer);
void list_worker(scheduler& s, worker_offer const& offer);
void unlist_worker(scheduler& s, std::string const& id);
void handle_poll_answer(scheduler& s, poll_answered const& answer);
void handle_poll_failure(scheduler& s, poll_failed const& failure);
void poll_if_due(scheduler& s, worker_record& w);
void expire_leases(scheduler& s);
/** Notes whether the runs of all workers that earlier placers may have used are
 * known, or must have ended. */
void check_settled(scheduler& s);
bool usable(scheduler const& s, worker_record const& w);
std::int64_t lease_deadline(scheduler& s, worker_record& w);

// ---- leadership.cpp
//
// A placer leads while the store has confirmed its claim within the leader
// lease, or more than three quarters of the recorded workers have answered its
// token within it. A successor waits for answers of a quarter of the same
// workers: then the two sets share a worker, which refuses the lower token. So
// the former placer's last order comes before the successor's quarter plus one
// leader lease, though the two may reach neither each other nor the store.

/** Returns whether this placer may start tasks and extend leases. */
bool leads(scheduler const& s);
/** Returns how long a placer leads from its last confirmation, by the clock of
 * another daemon. */
milliseconds longest_leadership(scheduler const& s);
/** Updates how long the placer leads; called periodically. */
void renew_leadership(scheduler& s);
void handle_claim_check(scheduler& s, claim_checked const& outcome);
/** Confirms the claim when it is due, and at once if a worker waits for it. */
void check_claim(scheduler& s);
/** Returns whether the claim was confirmed after the worker's incarnation had
 * answered. Otherwise the incarnation may have begun after a successor's claim
 * and know neither its token nor this placer's. */
bool is_confirmed(scheduler const& s, worker_record const& w);
/** Notes whether enough workers of the former roster have answered. */
void check_succession(scheduler& s);
/** Returns when a lease must have ended that a former placer extended. */
instant latest_former_lease(scheduler const& s);
/** Returns whether all leases that former placers may have extended on the
 * worker were over when the claim was last confirmed. */
bool former_leases_have_ended(scheduler const& s, worker_record const& w);

// ---- doubt.cpp
//
// A failed run speaks against its worker or against its job. Which one, only
// the job's runs on other workers and the worker's runs of other jobs can tell.

void note_failure(scheduler& s, worker_record& w, job_record& j);
void note_success(worker_record& w);
/** Returns whether the worker's failures speak against it rather than against
 * the jobs. */
bool is_doubted(scheduler const& s, worker_record const& w);
/** Returns whether the job's tasks failed on the worker recently, so that other
 * workers are tried first. */
bool avoids(scheduler const& s, job_record const& j, worker_record const& w);
/** Returns the numbers of the doubted workers that get no tasks: at most a
 * third of the usable ones of each service and kind. The others are used after
 * all workers that aren't doubted. */
std::set<std::uint32_t> excluded_workers(scheduler const& s);

// ---- customers.cpp

void handle_customers(scheduler& s, customers_changed const& given);
/** Adds the run to what its customer uses; uncount_run() removes it. */
void count_run(scheduler& s, run_record const& run);
void uncount_run(scheduler& s, run_record const& run);
/** Updates what each customer may be running that no worker has reported. */
void estimate_unreported_runs(scheduler& s);
/** Returns how many more tasks of this size the customer may run. */
int tasks_within_cap(scheduler const& s,
                     std::string const& customer,
                     resources const& size);
/** Takes a job from the customer's share; returns false if none is left. */
bool take_share(scheduler& s, std::string const& customer);
/** Returns when the customer's next job is within its share; 0: now. */
milliseconds time_to_share(customer_record const& c, instant now);

// ---- queues.cpp

void handle_queues(scheduler& s, queues_changed const& given);
/** Lets the job go by its queue as it is in the configuration in force. Returns
 * whether that changes anything. */
bool apply_queue_terms(scheduler& s, job_record& j);

// ---- speed.cpp
//
// The tasks of one step are compared with each other, which cancels the error
// of their estimate. Speeds count only once they differ by more than the noise
// of run times explains.

/** Keeps the run time of a task that is done, unless it tells nothing about
 * the worker. */
void note_run_time(scheduler& s,
                   worker_record const& w,
                   task_ref const& task,
                   run_record const& run);
/** Updates the speeds from the run times of a step that is done. */
void learn_speeds(scheduler& s, step_record& step);
/** Decides from time to time whether speeds differ. */
void check_speeds(scheduler& s);
/** Returns the worker's speed against the usual one; 1 if none is known. */
double speed_of(scheduler const& s, worker_record const& w);

// ---- overload.cpp

/** Adds the job's work to the mean of its queue. */
void note_work(scheduler& s, job_record& j);
/** Chooses the steps that are put off while not all can be in time. */
void put_off_steps(scheduler& s);

// ---- runs.cpp

/** Adopts a run that an earlier placer or a late order has started. */
void adopt_run(scheduler& s, worker_record& w, active_run const& seen);
/** Applies the end of a run to its task, which must be known. */
void apply_run_end(scheduler& s, worker_record& w, finished_run const& end);
/** Removes the run and frees its capacity. */
void release_run(scheduler& s, worker_record& w, task_ref const& task);
/** Returns how long a worker's lease may last from now on by this daemon's
 * clock, whoever extended it, even with a deadline that was computed from the
 * clock of an earlier incarnation. */
milliseconds longest_lease(scheduler const& s);

// ---- unknown_jobs.cpp

/** Returns whether a read that began after the run was reported has shown that
 * its job has ended. */
bool job_has_ended(scheduler const& s, run_record const& run);
/** Keeps the end until the job is known, or known to have ended. */
void keep_unknown_end(scheduler& s, worker_record& w, finished_run const& end);
/** Returns the number of the read that will have started after now. */
std::uint64_t next_job_read(scheduler const& s);
/** Reads the stored jobs if a run or an end of an unknown job waits for it. */
void read_unknown_jobs(scheduler& s);
void handle_jobs_read(scheduler& s, jobs_read const& outcome);
/** Applies what workers reported of the job before it was known. */
void apply_earlier_reports(scheduler& s, std::string const& job);

// ---- orders.cpp
//
// A worker has a bounded number of unanswered orders, and so has the fleet. The
// others wait as runs whose order is due: they hold no copy of the spec and no
// connection, and no timeout runs for them.

/** Returns whether the worker takes the start of another task of the step. A
 * step of many tasks leaves orders to the others. */
bool takes_start(scheduler const& s,
                 worker_record const& w,
                 task_step const& shape);

/** Places a run; its order is sent at once unless too many are unanswered. */
void start_run(scheduler& s,
               worker_record& w,
               job_record& j,
               task_ref const& task,
               std::uint64_t run,
               std::string const& ticket);
void stop_run(scheduler& s, worker_record& w, task_ref const& task);
void handle_start_answer(scheduler& s, start_answered const& answer);
void handle_stop_answer(scheduler& s, stop_answered const& answer);
/** Sends the orders that are due: those that waited for answers to others, and
 * those without an answer for another attempt (`resend_interval`). */
void send_due_orders(scheduler& s, worker_record& w);

// ---- placing.cpp

/** Returns the least interval of visits to all workers: longer in a large
 * fleet, so that the visits' share of the processor doesn't grow with it. */
milliseconds visit_interval(scheduler const& s);
void place_tasks(scheduler& s);

// ---- advice.cpp

/** Requests advice on the workers. Returns false if no call is made: one is
 * pending, or every requester is too busy. */
bool call_advisor(scheduler& s,
                  job_record& j,
                  int step,
                  std::vector<worker_record const*> const& workers,
                  bool late);
/** Returns the estimated time of a step's first advice call, or 0 if its queue
 * needs no advice. */
double first_call_ms(job_record const& j);
/** Returns the estimated share of workers that the advisor allows for the job's
 * queue. */
double allowed_share(scheduler const& s, job_record const& j);
/** Returns false while a call is pending, or before a failed call may be
 * repeated. */
bool may_call_advisor(scheduler const& s, step_record const& record);
void handle_advice(scheduler& s, advice_answered const& answer);

// ---- roster.cpp

void record_worker(scheduler& s, worker_recorded const& given);
/** Returns whether the worker has, or may have, a run that is active or whose
 * end isn't stored: a successor must ask it, listed or not. */
bool has_open_runs(scheduler const& s, worker_record const& w);
/** Stores which workers are listed or have open runs, so that a later placer
 * waits for those that are missing from the list. Called on time_passed. */
void save_roster_changes(scheduler& s);
void handle_roster_outcome(scheduler& s, roster_saved const& outcome);
/** False until the worker's record is stored and says that it may have runs: a
 * start before that could be unknown to the next placer. */
bool is_recorded(worker_record const& w);

// ---- saving.cpp

void save_changes(scheduler& s);
void handle_save_outcome(scheduler& s, progress_saved const& outcome);
void acknowledge_ends(scheduler& s, worker_record& w);
char const* name_of(save_outcome outcome); //!< for the log

void log(scheduler& s, int number, std::string detail);
std::string to_string(task_ref const& task);

} // namespace cicada::batch
