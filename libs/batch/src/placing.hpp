#pragma once

#include "state.hpp"

/** Types and functions shared by the parts of a placement pass. See
 * docs/design/placement.md. */
namespace cicada::batch
{

/** A step with tasks to place, and its position in the placement order. */
struct waiting_step
{
    job_record* j = nullptr;
    int step = 0;
    int rank = 0;         //!< lower is placed first
    bool late = false;    //!< the objective is estimated to be out of reach
    instant latest_start; //!< estimated latest start that meets the objective
    bool put_off = false; //!< not all steps of the rank can be in time
    /** Waiting tasks that the customer's cap lets start; set when the step is
     * placed. */
    int startable = 0;
    /** Among steps without value: those with tickets come first, then those
     * with the shortest calls for advice. */
    bool no_tickets = false;
    double call_ms = 0.0;

    task_step const& shape() const
    {
        return this->j->accepted.steps[static_cast<std::size_t>(this->step)];
    }

    step_record& record() const
    {
        return this->j->steps[static_cast<std::size_t>(this->step)];
    }
};

/** A usable worker as one placement pass sees it. */
struct worker_view
{
    worker_record* w = nullptr;
    resources free;        //!< excludes capacity withheld for earlier steps
    resources leaving;     //!< capacity of runs that are being stopped
    instant free_at;       //!< expected end of the last run
    bool reserved = false; //!< for a waiting gang
    bool doubted = false;  //!< used after all others
    double speed = 1.0;    //!< against the usual; 1 if speeds don't differ
    int speed_class = 0;   //!< a lower one is slower
};

/** Free capacity during one pass; each placed step reduces it. */
struct free_capacity
{
    std::vector<worker_view> workers;
    std::vector<worker_view*> by_number; //!< by worker number; null: not usable
    /** The most that one worker had free when the pass began. */
    std::int64_t max_free_milli_cores = 0;
    /** Customers whose cap has no room for a gang, or for one task, that is in
     * time. Their later steps wait, or they would use the room for good. */
    std::set<std::string> capped_customers;

    worker_view* find(std::uint32_t number) const
    {
        return number < this->by_number.size() ? this->by_number[number]
                                               : nullptr;
    }
};

/** A worker that may run a step, and how many of the step's tasks fit. */
struct candidate
{
    worker_view* worker = nullptr;
    int capacity = 0;
    bool near = true; //!< in the rack of the step's data
};

/** The workers that the advisor allows for a step, or every eligible worker if
 * its queue needs no advice. */
struct step_candidates
{
    std::vector<candidate> ready;
    /** Ready, but the job's tasks failed there recently. */
    std::vector<candidate> avoided;
    std::vector<candidate> expired; //!< allowed, but the ticket has expired
    std::size_t with_advice = 0; //!< workers that the advisor has answered for
};

// ---- capacity.cpp

free_capacity gather_free_capacity(scheduler& s);

/** Returns how many tasks of the step fit on the worker now. */
int tasks_that_fit(worker_view const& worker, waiting_step const& step);

int total_capacity(std::vector<candidate> const& all);

/** Returns the step's candidates and erases advice about earlier incarnations
 * of workers. */
step_candidates find_candidates(scheduler const& s,
                                waiting_step const& step,
                                free_capacity& capacity);

/** Returns the workers that the advisor hasn't answered for. */
std::vector<candidate> candidates_without_advice(waiting_step const& step,
                                                 free_capacity& capacity);

/** Returns every worker that may run the step, even without free capacity. */
std::vector<worker_view*> allowed_workers(waiting_step const& step,
                                          free_capacity& capacity);

/** Returns whether the worker could run the step, but the advisor hasn't
 * answered for it. */
bool awaits_advice(waiting_step const& step, worker_view const& worker);

/**
 * Requests advice on as many workers as the step's waiting tasks are expected
 * to need. Workers in `allowed` count in full; those in `unasked` count by the
 * share of workers that the queue was allowed so far. Withholds the capacity
 * of the requested workers if the call is made, unless the step is a gang.
 */
void request_more_advice(scheduler& s,
                         waiting_step const& step,
                         free_capacity& capacity,
                         std::vector<candidate> allowed,
                         std::vector<candidate> unasked);

/** Withholds capacity of the workers in the step's unanswered advice call. */
void withhold_requested_capacity(waiting_step const& step,
                                 free_capacity& capacity);

/** Starts one task, unless the worker still has an earlier run of it. */
void place_task(scheduler& s,
                waiting_step const& step,
                int index,
                std::uint64_t run,
                worker_view& worker);

/** Orders candidates by descending capacity, so that a gang spans few workers;
 * doubted ones come last. */
bool has_more_capacity(candidate const& left, candidate const& right);

std::string rack_of(worker_record const& w);

// ---- speed.cpp

/** Returns a class of similar speeds; slower ones come first. */
int speed_class(double speed);
/** Returns whether a step that is in time would end late on a worker of this
 * speed, by its estimate. */
bool ends_late_on(scheduler const& s, waiting_step const& step, double speed);
/** Returns the sign of the speed classes in the order in which the step tries
 * workers: -1 for tight steps, which prefer fast ones, 1 for loose steps, 0 if
 * the speed doesn't matter. */
int speed_preference(scheduler const& s, waiting_step const& step);

// ---- gangs.cpp

void place_gang(scheduler& s,
                waiting_step const& step,
                free_capacity& capacity);

} // namespace cicada::batch
