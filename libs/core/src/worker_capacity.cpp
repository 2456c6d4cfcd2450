#include "worker_capacity.hpp"

namespace cicada
{
namespace
{

bool has_capacity_for(agent_state const& agent, job_record const& job)
{
    if (agent.info.kind != instance_kind::worker ||
        agent.info.shard != job.home || agent.phase != agent_phase::in_rotation)
    {
        return false;
    }
    return fits(job.size, agent.info.capacity - agent.allocated);
}

bool leaves_accelerators_idle(agent_state const& agent, job_record const& job)
{
    return job.size.accelerators == 0 && agent.info.capacity.accelerators > 0;
}

placement_policy policy_of(state const& s, job_record const& job)
{
    auto const found = s.config.workloads.find(job.workload);
    return found == s.config.workloads.end() ? placement_policy::pack
                                             : found->second.placement;
}

/** True if `left` is the better choice under the policy. */
bool is_better_choice(placement_policy policy,
                      job_record const& job,
                      agent_state const& left,
                      agent_state const& right)
{
    bool const left_wastes = leaves_accelerators_idle(left, job);
    bool const right_wastes = leaves_accelerators_idle(right, job);
    if (left_wastes != right_wastes)
    {
        return right_wastes;
    }
    std::int64_t const left_free =
        left.info.capacity.milli_cores - left.allocated.milli_cores;
    std::int64_t const right_free =
        right.info.capacity.milli_cores - right.allocated.milli_cores;
    return policy == placement_policy::spread ? left_free > right_free
                                              : left_free < right_free;
}

} // namespace

void allocate_task(agent_state& worker,
                   task_id const& task,
                   resources const& size)
{
    bool const fresh = worker.tasks.emplace(task, size).second;
    if (fresh)
    {
        worker.allocated = worker.allocated + size;
    }
}

void free_task(agent_state& worker, task_id const& task)
{
    auto const held = worker.tasks.find(task);
    if (held != worker.tasks.end())
    {
        worker.allocated = worker.allocated - held->second;
        worker.tasks.erase(held);
    }
}

agent_state*
choose_worker(state& s, job_record const& job, worker_id const& avoid)
{
    placement_policy const policy = policy_of(s, job);
    agent_state* best = nullptr;
    agent_state* avoided = nullptr;
    for (auto& [name, agent] : s.agents)
    {
        if (!has_capacity_for(agent, job))
        {
            continue;
        }
        if (name == avoid.value)
        {
            avoided = &agent;
            continue;
        }
        if (best == nullptr || is_better_choice(policy, job, agent, *best))
        {
            best = &agent;
        }
    }
    return best != nullptr ? best : avoided;
}

} // namespace cicada
