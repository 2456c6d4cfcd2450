#pragma once

#include "state.hpp"

/**
 * Jobs and their tasks. A job has a home shard; its tasks run on workers of
 * that shard, so one owner decides for all of them. An assignment is recorded
 * in the platform's service before the order to start goes out.
 */
namespace cicada
{

void on_job_submitted(state& s, job_submitted const& e, effects& out);
void on_job_written(state& s, job_written const& e, effects& out);
void on_jobs_loaded(state& s, jobs_loaded const& e, effects& out);
void on_job_cancel_asked(state& s, job_cancel_asked const& e, effects& out);
void on_job_offer(state& s, job_offer const& offer, effects& out);
void on_job_cancel(state& s, job_cancel const& order, effects& out);

/** A shard was gained: its jobs are read from the service. */
void adopt_shard_jobs(state& s, shard_id const& shard, effects& out);

/** A shard was lost: its jobs are another's. */
void forget_shard_jobs(state& s, shard_id const& shard);

/** The timer: reads a shard's jobs again, in case an offer was lost. */
void reload_shard_jobs(state& s, std::string const& subject, effects& out);

/** The timer: writes a job whose last write failed. */
void write_job_again(state& s, job_id const& job, effects& out);

/** The timer: looks again at a task whose order or worker failed. */
void retry_task(state& s, task_id const& task, effects& out);

/** Takes in what runs on a worker; `whole`: all that runs or ran lately. */
void take_worker_report(state& s,
                        agent_state& worker,
                        agent_report const& report,
                        bool whole,
                        effects& out);

/** A worker may have restarted: what ran there is looked up anew. */
void doubt_running_tasks(state& s, agent_state& worker);

/** A worker no longer answers: its tasks move once their leases lapsed. */
void on_worker_silent(state& s, agent_state const& worker, effects& out);

/** Takes in the answer to an order to start or stop a task. */
void on_task_answer(state& s, agent_order_ended const& e, effects& out);

} // namespace cicada
