#pragma once

#include "state.hpp"

/** Accounting of owned workers' capacity, by their tasks' sizes. */
namespace cicada
{

/** Allocates a task's size on a worker; no effect if it has it already. */
void allocate_task(agent_state& worker,
                   task_id const& task,
                   resources const& size);

/** Frees a task's allocation, if it has one. */
void free_task(agent_state& worker, task_id const& task);

/** The best worker for one more task, by the job's policy; none: all full. */
agent_state*
choose_worker(state& s, job_record const& job, worker_id const& avoid);

} // namespace cicada
