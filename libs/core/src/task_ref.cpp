#include "task_ref.hpp"

#include "task_names.hpp"

namespace cicada
{

task_id name_of(owned_job const& job, task_record const& task)
{
    return make_task_id({job.record.name, task.index, task.attempt});
}

task_ref task_at(owned_job& job, std::size_t index)
{
    return {&job, &job.record.tasks.at(index), &job.tasks.at(index)};
}

std::optional<task_ref> find_task(state& s, std::string const& text)
{
    std::optional<task_name> const name = parse_task_id(text);
    if (!name)
    {
        return std::nullopt;
    }
    auto const job = s.jobs.find(name->job);
    bool const known = job != s.jobs.end() && name->index >= 0 &&
                       name->index < std::ssize(job->second.record.tasks);
    if (!known)
    {
        return std::nullopt;
    }
    task_ref const ref =
        task_at(job->second, static_cast<std::size_t>(name->index));
    if (ref.record->attempt != name->attempt)
    {
        return std::nullopt;
    }
    return ref;
}

agent_state* worker_of(state& s, task_record const& task)
{
    auto const found = s.agents.find(task.worker.value);
    return found == s.agents.end() ? nullptr : &found->second;
}

} // namespace cicada
