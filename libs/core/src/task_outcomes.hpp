#pragma once

#include "task_ref.hpp"

/** Ends of tasks of owned jobs, and what follows for the job. */
namespace cicada
{

/** Ends a task, and its job if no other task is left; saves the job. */
void end_task(state& s, task_ref const& ref, effects& out);

/** Requeues a task that is known not to run; ends it if cancelled. */
void requeue_unstarted(state& s,
                       task_ref const& ref,
                       std::string const& why,
                       effects& out);

/** Applies the state that a worker gave for the task's current attempt. */
void handle_run_state(state& s,
                      task_ref const& ref,
                      run_state at,
                      effects& out);

} // namespace cicada
