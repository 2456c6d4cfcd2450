#include "note_values.hpp"

namespace cicada
{
namespace
{

std::string yes_no(bool value)
{
    return value ? "yes" : "no";
}

std::string percent(int value)
{
    return std::to_string(value) + "%";
}

template <class Value, class Format>
void append(std::vector<given_key>& keys,
            char const* key,
            char const* words,
            std::optional<Value> const& value,
            Format const& format)
{
    if (value)
    {
        keys.push_back({key, words, format(*value)});
    }
}

std::string decimal(std::int64_t value)
{
    return std::to_string(value);
}

} // namespace

std::vector<given_key> given_keys(workload_change const& change)
{
    std::vector<given_key> keys;
    append(keys,
           "kind",
           "kind",
           change.kind,
           [](workload_kind kind)
           {
               return std::string(to_string(kind));
           });
    append(keys,
           "class",
           "class",
           change.urgency,
           [](work_class which)
           {
               return std::string(to_string(which));
           });
    append(keys, "idempotent", "idempotent", change.idempotent, yes_no);
    append(keys, "deadline", "deadline", change.deadline, format_duration);
    append(keys, "cores", "cores per task", change.milli_cores, format_cores);
    append(keys, "memory", "memory per task", change.memory_mib, format_memory);
    append(keys,
           "accelerators",
           "accelerators per task",
           change.accelerators,
           decimal);
    append(keys, "tasks", "tasks", change.tasks, decimal);
    append(keys,
           "placement",
           "placement",
           change.placement,
           [](placement_policy policy)
           {
               return std::string(to_string(policy));
           });
    append(keys,
           "pool",
           "pool of endpoints",
           change.pool,
           [](pool_id const& pool)
           {
               return pool.value;
           });
    return keys;
}

std::vector<given_key> given_keys(tenant_change const& change)
{
    std::vector<given_key> keys;
    append(keys, "weight", "weight", change.weight, decimal);
    append(keys, "floor", "floor in each class", change.floor_percent, percent);
    append(keys, "max-queued", "queued at most", change.max_queued, decimal);
    append(keys,
           "quota",
           "quota of tasks",
           change.has_quota,
           [](bool)
           {
               return std::string("none");
           });
    append(keys,
           "quota-cores",
           "quota of cores",
           change.quota_milli_cores,
           format_cores);
    append(keys,
           "quota-memory",
           "quota of memory",
           change.quota_memory_mib,
           format_memory);
    append(keys,
           "quota-accelerators",
           "quota of accelerators",
           change.quota_accelerators,
           decimal);
    return keys;
}

std::vector<given_key> given_keys(policies_change const& change)
{
    std::vector<given_key> keys;
    append(keys,
           "retry-attempts",
           "attempts per request",
           change.retry_attempts,
           decimal);
    append(keys,
           "retry-budget",
           "retries per tenant's requests",
           change.retry_budget_percent,
           percent);
    append(keys, "preemption", "preemption", change.preemption, yes_no);
    append(keys,
           "checkpoint-grace",
           "time between checkpoint and stop",
           change.checkpoint_grace,
           format_duration);
    return keys;
}

std::vector<given_key> keys_in_force(cell_config const& config,
                                     workload_id const& name)
{
    std::map<workload_id, workload>::const_iterator const found =
        config.workloads.find(name);
    if (found == config.workloads.end())
    {
        return {};
    }
    cell_config only;
    only.workloads.insert(*found);
    return given_keys(std::get<workload_change>(
        diff_configs(cell_config{}, only).changes.front()));
}

std::vector<given_key> keys_in_force(cell_config const& config,
                                     tenant_id const& name)
{
    std::map<tenant_id, tenant_limits>::const_iterator const found =
        config.tenants.find(name);
    if (found == config.tenants.end())
    {
        return {};
    }
    cell_config only;
    only.tenants.insert(*found);
    return given_keys(std::get<tenant_change>(
        diff_configs(cell_config{}, only).changes.front()));
}

std::vector<given_key> keys_in_force(cell_policies const& policies)
{
    policies_change all;
    all.retry_attempts = policies.retry_attempts;
    all.retry_budget_percent = policies.retry_budget_percent;
    all.preemption = policies.preemption;
    all.checkpoint_grace = policies.checkpoint_grace;
    return given_keys(all);
}

} // namespace cicada
