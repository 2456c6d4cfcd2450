#include "job_admission.hpp"

#include <algorithm>

namespace cicada
{
namespace
{

/** How many tasks of a job fit on a shard's workers if they are empty. */
struct shard_capacity
{
    std::int64_t tasks = 0;

    bool operator==(shard_capacity const&) const = default;
};

std::int64_t
copies_in(std::int64_t available, std::int64_t each, std::int64_t most)
{
    return each == 0 ? most : std::min(most, available / each);
}

std::int64_t tasks_that_fit(resources const& available,
                            resources const& size,
                            std::int64_t most)
{
    std::int64_t count =
        copies_in(available.milli_cores, size.milli_cores, most);
    count = copies_in(available.memory_mib, size.memory_mib, count);
    return copies_in(available.accelerators, size.accelerators, count);
}

std::map<shard_id, shard_capacity> empty_shard_capacities(state const& s,
                                                          job_record const& job)
{
    std::int64_t const most = std::ssize(job.tasks);
    std::map<shard_id, shard_capacity> capacities;
    for (auto const& [name, each] : s.instances)
    {
        if (each.kind == instance_kind::worker && !each.leaving)
        {
            capacities[each.shard].tasks +=
                tasks_that_fit(each.capacity, job.size, most);
        }
    }
    return capacities;
}

bool can_ever_fit(shard_capacity const& available, job_record const& job)
{
    std::int64_t const needed = job.gang ? std::ssize(job.tasks) : 1;
    return available.tasks >= needed;
}

resources largest_worker(state const& s)
{
    resources largest;
    for (auto const& [name, each] : s.instances)
    {
        if (each.kind == instance_kind::worker)
        {
            largest.milli_cores =
                std::max(largest.milli_cores, each.capacity.milli_cores);
            largest.memory_mib =
                std::max(largest.memory_mib, each.capacity.memory_mib);
            largest.accelerators =
                std::max(largest.accelerators, each.capacity.accelerators);
        }
    }
    return largest;
}

std::string unschedulable_reason(state const& s, job_record const& job)
{
    resources const most = largest_worker(s);
    if (job.size.milli_cores > most.milli_cores)
    {
        return "A task needs " + std::to_string(job.size.milli_cores) +
               " milli-cores; the largest worker has " +
               std::to_string(most.milli_cores) + ".";
    }
    if (job.size.memory_mib > most.memory_mib)
    {
        return "A task needs " + std::to_string(job.size.memory_mib) +
               " MiB; the largest worker has " +
               std::to_string(most.memory_mib) + ".";
    }
    if (job.size.accelerators > most.accelerators)
    {
        return "A task needs " + std::to_string(job.size.accelerators) +
               " accelerators; the largest worker has " +
               std::to_string(most.accelerators) + ".";
    }
    return "No rack could hold what must run there at once, even empty.";
}

/** Free capacity of a shard; of another's, as in its last heartbeat. */
resources free_capacity_of(state const& s, shard_id const& shard)
{
    if (s.owned.count(shard) > 0)
    {
        resources free;
        for (auto const& [name, agent] : s.agents)
        {
            bool const counts = agent.info.shard == shard &&
                                agent.info.kind == instance_kind::worker &&
                                agent.phase == agent_phase::in_rotation;
            if (counts)
            {
                free = free + (agent.info.capacity - agent.allocated);
            }
        }
        return free;
    }
    std::optional<shard_owner> const owner = owner_of(s, shard);
    if (!owner)
    {
        return resources{};
    }
    auto const peer = s.peers.find(owner->owner);
    bool const known = peer != s.peers.end() && peer->second.linked;
    return known ? peer->second.last.free : resources{};
}

} // namespace

std::optional<job_problem> check_job(state const& s, job_record const& job)
{
    if (s.leaving)
    {
        return job_problem{503, "shutting_down", "This instance leaves."};
    }
    if (s.config.tenants.count(job.tenant) == 0)
    {
        return job_problem{403,
                           "unknown_tenant",
                           "No note in force names the tenant " +
                               job.tenant.value + "."};
    }
    auto const found = s.config.workloads.find(job.workload);
    if (found == s.config.workloads.end() ||
        found->second.kind == workload_kind::request)
    {
        return job_problem{404,
                           "unknown_workload",
                           "No note in force names a job workload " +
                               job.workload.value + "."};
    }
    if (s.instances.empty())
    {
        return job_problem{
            503, "no_workers", "The list of workers is not known yet."};
    }
    if (!choose_home(s, job))
    {
        return job_problem{422, "never_fits", unschedulable_reason(s, job)};
    }
    return std::nullopt;
}

std::optional<shard_id> choose_home(state const& s, job_record const& job)
{
    std::optional<shard_id> best;
    std::int64_t best_fit = -1;
    std::uint64_t best_mix = 0;
    for (auto const& [shard, available] : empty_shard_capacities(s, job))
    {
        if (!can_ever_fit(available, job))
        {
            continue;
        }
        std::int64_t const now = tasks_that_fit(
            free_capacity_of(s, shard), job.size, std::ssize(job.tasks));
        std::uint64_t const mix = stable_hash(shard.value + job.name.value);
        if (now > best_fit || (now == best_fit && mix > best_mix))
        {
            best = shard;
            best_fit = now;
            best_mix = mix;
        }
    }
    return best;
}

} // namespace cicada
