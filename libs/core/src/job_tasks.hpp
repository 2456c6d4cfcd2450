#pragma once

#include "state.hpp"

/** Owned jobs with all their tasks: storing, adopting and stopping them. */
namespace cicada
{

/** Writes the job's record, now or after the write under way. */
void save_job(state& s, owned_job& job, effects& out);

/** The record is stored: starts the tasks assigned, drops a finished job. */
void after_recorded(state& s, job_id const& id, effects& out);

/** Takes over tasks of an earlier owner; requests their workers' reports. */
void adopt_tasks(state& s, job_id const& id, effects& out);

/** Stops every task of a job that is being cancelled. */
void stop_all_tasks(state& s, job_id const& id, effects& out);

} // namespace cicada
