#pragma once

#include "task_ref.hpp"

/** Orders to start and stop tasks; the answers' handler is in jobs.hpp. */
namespace cicada
{

/** Orders the task's worker to start it, unless an order is under way. */
void send_start(state& s, task_ref const& ref, effects& out);

/** Orders the task's worker to stop it, unless an order is under way. */
void send_stop(state& s, task_ref const& ref, effects& out);

/** Schedules retry_task() after a delay. */
void retry_later(state& s, task_id const& task);

} // namespace cicada
