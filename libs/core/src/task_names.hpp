#pragma once

#include "state.hpp"

/** Task ids: "job/index/attempt". */
namespace cicada
{

/** The parts of a task id. */
struct task_name
{
    job_id job;
    int index = 0;
    int attempt = 0;

    bool operator==(task_name const&) const = default;
};

task_id make_task_id(task_name const& name);

/** None if the text isn't a task id. */
std::optional<task_name> parse_task_id(std::string const& text);

} // namespace cicada
