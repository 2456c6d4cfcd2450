#pragma once

#include "state.hpp"

/** References to the tasks of owned jobs. */
namespace cicada
{

/** Refers to a task of an owned job. */
struct task_ref
{
    owned_job* job = nullptr;
    task_record* record = nullptr;
    task_state* progress = nullptr;
};

/** The id of the task's current attempt. */
task_id name_of(owned_job const& job, task_record const& task);

task_ref task_at(owned_job& job, std::size_t index);

/** The task of that name, if owned here and that is its current attempt. */
std::optional<task_ref> find_task(state& s, std::string const& text);

/** The worker that the task is assigned to; null if none is owned here. */
agent_state* worker_of(state& s, task_record const& task);

} // namespace cicada
