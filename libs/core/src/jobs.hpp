#pragma once

#include "state.hpp"

/**
 * Jobs and their tasks. All tasks of a job run on workers of its home shard,
 * so a single owner places them. An assignment is stored in the platform's
 * service before the start order is sent.
 */
namespace cicada
{

void on_job_submitted(state& s, job_submitted const& e, effects& out);
void on_job_written(state& s, job_written const& e, effects& out);
void on_jobs_loaded(state& s, jobs_loaded const& e, effects& out);
void on_job_cancel_asked(state& s, job_cancel_asked const& e, effects& out);
void on_job_offer(state& s, job_offer const& offer, effects& out);
void on_job_cancel(state& s, job_cancel const& order, effects& out);

/** Loads the jobs of a shard just gained. */
void adopt_shard_jobs(state& s, shard_id const& shard, effects& out);

/** Removes the jobs of a shard just lost. */
void forget_shard_jobs(state& s, shard_id const& shard);

/** Timer handler: reloads a shard's jobs, as a job_offer may be lost. */
void reload_shard_jobs(state& s, std::string const& subject, effects& out);

/** Timer handler: writes a job whose last write failed. */
void write_job_again(state& s, job_id const& job, effects& out);

/** Timer handler: retries a task's order, or requeues the task. */
void retry_task(state& s, task_id const& task, effects& out);

/** Handles a worker's report; `is_full`: it lists all current, recent runs. */
void handle_worker_report(state& s,
                          agent_state& worker,
                          agent_report const& report,
                          bool is_full,
                          effects& out);

/** Rechecks a worker's running tasks in its next report after a restart. */
void recheck_running_tasks(state& s, agent_state& worker);

/** Schedules a silent worker's tasks to move once their leases expire. */
void on_worker_silent(state& s, agent_state const& worker, effects& out);

/** Handles the answer to an order to start or stop a task. */
void on_task_answer(state& s, agent_order_ended const& e, effects& out);

} // namespace cicada
