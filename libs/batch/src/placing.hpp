#pragma once

#include "state.hpp"

/** One pass of placing: what its parts share. docs/design/placement.md */
namespace cicada::batch
{

/** A step with tasks to place, in the order of placing. */
struct waiting_step
{
    job_record* j = nullptr;
    int step = 0;
    int rank = 0;         //!< lower is placed first
    bool late = false;    //!< by estimate, its objective can no longer be met
    instant latest_start; //!< by estimate, to meet the objective

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
    resources free;        //!< less what earlier steps request advice for
    resources leaving;     //!< of runs that are being stopped
    instant free_at;       //!< when its last run is expected to end
    bool reserved = false; //!< for a waiting gang
};

/** Free capacity in one pass; later steps see what earlier ones leave. */
struct free_capacity
{
    std::vector<worker_view> workers;
    std::vector<worker_view*> by_number; //!< of the worker; null: not usable
    std::int64_t max_free_milli_cores =
        0; //!< of one worker, when the pass began

    worker_view* find(std::uint32_t number) const
    {
        return number < this->by_number.size() ? this->by_number[number]
                                               : nullptr;
    }
};

/** A worker that one step may use, and how many of its tasks fit. */
struct candidate
{
    worker_view* worker = nullptr;
    int capacity = 0;
    bool near = true; //!< in the rack of the step's data
};

/** The workers that the advisor allows a step, or all if it has none. */
struct step_candidates
{
    std::vector<candidate> ready;
    std::vector<candidate> expired; //!< allowed, the ticket has run out
    std::size_t with_advice = 0;    //!< workers with an answer
};

// ---- capacity.cpp

free_capacity gather_free_capacity(scheduler& s);

/** How many tasks of the step fit on the worker now. */
int tasks_that_fit(worker_view const& worker, waiting_step const& step);

int total_capacity(std::vector<candidate> const& all);

/** Also erases advice about earlier incarnations of workers. */
step_candidates find_candidates(scheduler const& s,
                                waiting_step const& step,
                                free_capacity& capacity);

/** Workers that the advisor hasn't answered for. */
std::vector<candidate> candidates_without_advice(waiting_step const& step,
                                                 free_capacity& capacity);

/** Every worker that may run the step, whether it has capacity or not. */
std::vector<worker_view*> allowed_workers(waiting_step const& step,
                                          free_capacity& capacity);

/**
 * Requests advice on as many workers as the step's waiting tasks need, by
 * the share that its queue was allowed so far: `allowed` are certain,
 * `unasked` are not. Withholds the capacity for single tasks.
 */
void request_more_advice(scheduler& s,
                         waiting_step const& step,
                         std::vector<candidate> allowed,
                         std::vector<candidate> unasked);

/** Withholds the capacity that an unanswered advice call is about. */
void withhold_requested_capacity(waiting_step const& step,
                                 free_capacity& capacity);

/** Starts one task, unless the worker still has an earlier run of it. */
void place_task(scheduler& s,
                waiting_step const& step,
                int index,
                std::uint64_t run,
                worker_view& worker);

/** The most capacity first, so that a gang spans few workers. */
bool has_more_capacity(candidate const& left, candidate const& right);

std::string rack_of(worker_record const& w);

// ---- gangs.cpp

void place_gang(scheduler& s,
                waiting_step const& step,
                free_capacity& capacity);

} // namespace cicada::batch
