#pragma once

#include "batch/batch.hpp"

/**
 * Which waiting work is put off when not all of it can be in time. Pure
 * functions; docs/design/overload.md gives the reasons.
 */
namespace cicada::batch
{

/** Work of one step that waits for capacity. */
struct waiting_work
{
    double work = 0.0;       //!< of the waiting tasks, in core-milliseconds
    double cost_ratio = 0.0; //!< work for its value, see cost_ratio()
    milliseconds slack{0};   //!< until the latest start that is in time

    bool operator==(waiting_work const&) const = default;
};

/** What capacity the waiting work has. */
struct capacity_forecast
{
    double cores = 0.0;      //!< that the work may use
    double free_work = 0.0;  //!< core-milliseconds that can start at once
    double work_ahead = 0.0; //!< of more urgent steps

    bool operator==(capacity_forecast const&) const = default;
};

/**
 * Returns how much of the capacity a job takes for what its delay costs its
 * caller. Both are relative to its queue's mean job: a caller loses a fixed
 * part by any delay, and more with a larger job. Jobs above the mean count as
 * the mean, or the largest would always be the ones that are put off.
 */
double cost_ratio(double remaining_work, double whole_work, double mean_work);

/**
 * Returns which steps are put off, so that the others can start in time: each
 * time one can't, the step with the highest cost ratio among those before it
 * (Moore and Hodgson). Of equal ones, the last is put off. `in_order` is sorted
 * by slack.
 */
std::vector<bool> choose_put_off(std::vector<waiting_work> const& in_order,
                                 capacity_forecast const& capacity);

} // namespace cicada::batch
