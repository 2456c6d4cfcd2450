#pragma once

#include "task_ref.hpp"

/** Placement of the tasks of owned jobs on workers. */
namespace cicada
{

/** The job's entry in the queue of jobs with tasks to place. */
waiting_job waiting_entry(owned_job const& job);

/** Frees the capacity that the task holds on its worker, if any. */
void free_worker_capacity(state& s, task_ref const& ref);

/** Returns a task to the queue; its attempt must be known to be over. */
void unplace(state& s, task_ref const& ref);

/** Places the tasks of waiting jobs, most urgent job first. */
void place_waiting_jobs(state& s, effects& out);

} // namespace cicada
