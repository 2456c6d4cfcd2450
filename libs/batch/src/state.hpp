#pragma once

#include "batch/batch.hpp"

#include <deque>
#include <set>
#include <unordered_map>

namespace cicada::batch
{

constexpr milliseconds clock_margin{250}; //!< added to a lease's end
constexpr double slow_clock = 1.02;       //!< workers' clocks: 2% slow at most
constexpr int hopeless_rank = 100;
constexpr std::uint64_t runs_per_epoch = 4096;
constexpr std::uint64_t lives_per_epoch = 1024;

enum class run_phase
{
    starting, //!< ordered, not answered
    running,
    stopping //!< to be called off; a stop is sent until its end is known
};

/** A run that takes room on a worker, from the order until its known end. */
struct run_record
{
    std::uint64_t run = 0;
    resources size;
    run_phase phase = run_phase::starting;
    bool doubtful = false; //!< a start is unanswered and may come late
    bool calling = false;  //!< an order is on its way
    int tries = 0;
    instant next_try;
    instant started;
    instant expected_end;
    std::optional<instant> stop_done; //!< the worker refuses the run since
    std::string ticket;
    std::string checkpoint;
};

struct worker_record
{
    worker_offer offer;
    std::uint32_t number = 0; //!< in the order they were first listed
    bool listed = true;
    bool known = false; //!< has answered this token in this life
    std::int64_t life = 0;
    std::uint64_t lives = 0; //!< seen by this placer
    std::uint64_t token = 0;
    bool looking = false;
    bool silent = false; //!< the last look failed: its lease isn't extended
    instant next_look;
    std::int64_t clock_ms = 0; //!< of its last answer
    instant clock_at;
    instant lease_end;           //!< nothing runs past it unless it is extended
    std::uint64_t processed = 0; //!< ends taken in
    std::uint64_t acknowledged = 0; //!< ends that are stored
    std::deque<std::pair<std::uint64_t, std::uint64_t>>
        unsaved; //!< end, change
    instant avoid_until;
    int failures = 0; //!< on end, of tasks
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

/** What the advisor said of one worker for one step; it doesn't change. */
struct advice_record
{
    bool allowed = false;
    std::string ticket;
    instant valid_until;
    std::int64_t life = 0;
};

struct step_record
{
    std::vector<task_record> tasks;
    int waiting = 0;
    int placed = 0;
    int done = 0;
    std::uint64_t gang_run = 0;
    std::unordered_map<std::uint32_t, advice_record> advice; //!< by worker
    std::uint64_t asking = 0;         //!< the call on its way; 0: none
    std::vector<std::uint32_t> asked; //!< the workers that it names
    instant next_ask;
    milliseconds rest{0}; //!< the longest chain from here, itself included
};

struct job_record
{
    job accepted;
    job_state state = job_state::queued;        //!< as decided
    job_state stored_state = job_state::queued; //!< as callers are shown
    std::vector<step_record> steps;
    bool adopted = false; //!< an earlier placer may have started tasks
    bool begun = false;   //!< a worker has confirmed a start
    instant arrived;
    instant objective; //!< shown as completed by then, it is in time
    milliseconds chain{0};
    std::uint64_t next_run = 1;
    std::int64_t saved = 0; //!< revision of its stored progress; 0: none
};

/** A change on its way to the store. */
struct saving_record
{
    std::uint64_t change = 0;
    job_state state = job_state::queued;
};

/** What a queue's advice has allowed so far, in workers. */
struct learned_share
{
    double asked = 0.0;
    double allowed = 0.0;
};

struct asker_record
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
    instant began;
    bool listed_all = false;
    bool settled = false;
    bool over = false;
    std::map<std::string, worker_record> workers;
    std::map<std::string, job_record> jobs;
    std::set<std::string> cancelled_early; //!< before the job was known
    std::set<std::string> live;            //!< jobs that aren't over
    std::map<std::string, asker_record> askers;
    std::uint64_t advice_calls = 0;
    std::map<std::string, learned_share> learned; //!< by queue
    std::uint64_t changes = 0;
    std::map<std::string, std::uint64_t> unsaved; //!< job to its first change
    std::map<std::string, saving_record> saving;  //!< by job
    std::map<std::uint64_t, std::vector<std::string>> save_jobs; //!< by save
    std::uint64_t saves = 0;
    instant next_save;
    bool place_wanted = false;
    instant next_place;
    instant next_whole_pass; //!< over the steps of every rank
    milliseconds list_behind{0};
    std::vector<effect> effects;
};

// ---- jobs.cpp

void take_job(scheduler& s, job_stored const& given);
void cancel_job(scheduler& s, std::string const& id);
void mark_changed(scheduler& s, job_record& j);
void mark_begun(scheduler& s, task_ref const& task);
void finish_task(scheduler& s, task_ref const& task);
void fail_task(scheduler& s, task_ref const& task, std::uint64_t run);
/** The task has no run any more and waits again, unless it is done. */
void free_task(scheduler& s,
               task_ref const& task,
               std::uint64_t run,
               std::string const& checkpoint);
bool step_ready(job_record const& j, std::size_t step);
bool is_over(job_state state);
/** By estimate, to meet the job's objective. */
instant latest_start(job_record const& j, std::size_t step);
/** The order of placing: the queue's priority, less urgent once it is late,
 * and `hopeless_rank` once it can't even be of use late. */
int rank_of(job_record const& j, std::size_t step, instant now);
task_record* find_task(scheduler& s, task_ref const& task);

// ---- workers.cpp

void list_worker(scheduler& s, worker_offer const& offer);
void unlist_worker(scheduler& s, std::string const& id);
void take_report(scheduler& s, poll_answered const& answer);
void take_look_failure(scheduler& s, poll_failed const& failure);
void look_if_due(scheduler& s, worker_record& w);
void lapse_workers(scheduler& s);
bool usable(scheduler const& s, worker_record const& w);
std::int64_t lease_deadline(scheduler& s, worker_record& w);
/** Frees the room of a run. */
void release_run(scheduler& s, worker_record& w, task_ref const& task);

// ---- orders.cpp

void start_run(scheduler& s,
               worker_record& w,
               job_record& j,
               task_ref const& task,
               std::uint64_t run,
               std::string const& ticket);
void call_off(scheduler& s, worker_record& w, task_ref const& task);
void take_start(scheduler& s, start_answered const& answer);
void take_stop(scheduler& s, stop_answered const& answer);
/** Orders without an answer, once their pause is over. */
void repeat_orders(scheduler& s, worker_record& w);

// ---- placing.cpp

void place_tasks(scheduler& s);

// ---- advice.cpp

/** Asks for the workers named, unless every asker is too busy. */
void seek_advice(scheduler& s,
                 job_record& j,
                 int step,
                 std::vector<worker_record const*> const& workers,
                 bool late);
/** Of the workers asked about, for the job's queue so far. */
double allowed_share(scheduler const& s, job_record const& j);
/** False while a call is on its way or a failed one is not to be repeated. */
bool may_ask(scheduler const& s, step_record const& record);
void take_advice(scheduler& s, advice_answered const& answer);

// ---- saving.cpp

void save_changes(scheduler& s);
void take_saved(scheduler& s, progress_saved const& outcome);
void acknowledge_ends(scheduler const& s, worker_record& w);

void log(scheduler& s, int number, std::string detail);
std::string to_string(task_ref const& task);

} // namespace cicada::batch
