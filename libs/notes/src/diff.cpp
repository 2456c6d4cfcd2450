#include "notes/notes.hpp"

namespace cicada
{
namespace
{

/** The new value if it differs, or always when there was none before. */
template <class Field>
std::optional<Field> if_new(bool is_added, Field const& before, Field after)
{
    if (is_added || before != after)
    {
        return after;
    }
    return std::nullopt;
}

bool is_request(workload const& value)
{
    return value.kind == workload_kind::request;
}

bool has_tasks(workload const& value)
{
    return value.kind == workload_kind::service ||
           value.kind == workload_kind::gang;
}

workload_change workload_diff(workload const* held, workload const& after)
{
    bool const adds = held == nullptr;
    workload const before = adds ? workload{} : *held;
    workload_change change;
    change.action = adds ? change_action::add : change_action::change;
    change.name = after.name;
    change.kind = if_new(adds, before.kind, after.kind);
    change.urgency = if_new(adds, before.urgency, after.urgency);
    if (is_request(after))
    {
        change.idempotent = if_new(adds, before.idempotent, after.idempotent);
        change.deadline = if_new(adds, before.deadline, after.deadline);
        change.pool = if_new(false, before.pool, after.pool);
        return change;
    }
    change.milli_cores =
        if_new(adds, before.size.milli_cores, after.size.milli_cores);
    change.memory_mib =
        if_new(adds, before.size.memory_mib, after.size.memory_mib);
    change.accelerators =
        if_new(adds, before.size.accelerators, after.size.accelerators);
    change.placement = if_new(adds, before.placement, after.placement);
    if (has_tasks(after))
    {
        change.tasks = if_new(adds, before.tasks, after.tasks);
    }
    return change;
}

tenant_change tenant_diff(tenant_limits const* held, tenant_limits const& after)
{
    bool const adds = held == nullptr;
    tenant_limits const before = adds ? tenant_limits{} : *held;
    tenant_change change;
    change.action = adds ? change_action::add : change_action::change;
    change.name = after.name;
    change.weight = if_new(adds, before.weight, after.weight);
    change.floor_percent =
        if_new(adds, before.floor_percent, after.floor_percent);
    change.max_queued = if_new(adds, before.max_queued, after.max_queued);
    if (before.job_quota && !after.job_quota)
    {
        change.has_quota = false;
    }
    else if (after.job_quota && before.job_quota != after.job_quota)
    {
        change.quota_milli_cores = after.job_quota->milli_cores;
        change.quota_memory_mib = after.job_quota->memory_mib;
        change.quota_accelerators = after.job_quota->accelerators;
    }
    return change;
}

policies_change policies_diff(cell_policies const& before,
                              cell_policies const& after)
{
    policies_change change;
    change.retry_attempts =
        if_new(false, before.retry_attempts, after.retry_attempts);
    change.retry_budget_percent =
        if_new(false, before.retry_budget_percent, after.retry_budget_percent);
    change.preemption = if_new(false, before.preemption, after.preemption);
    change.checkpoint_grace =
        if_new(false, before.checkpoint_grace, after.checkpoint_grace);
    return change;
}

/** Appends what adds, changes and withdraws the entries of one map. */
template <class Change, class Map, class Diff>
void append_diffs(Map const& before,
                  Map const& after,
                  Diff const& diff,
                  std::vector<note_change>& changes)
{
    for (typename Map::value_type const& each : after)
    {
        typename Map::const_iterator const held = before.find(each.first);
        if (held == before.end())
        {
            changes.emplace_back(diff(nullptr, each.second));
        }
        else if (held->second != each.second)
        {
            changes.emplace_back(diff(&held->second, each.second));
        }
    }
    for (typename Map::value_type const& each : before)
    {
        if (after.count(each.first) == 0)
        {
            Change gone;
            gone.action = change_action::withdraw;
            gone.name = each.first;
            changes.emplace_back(gone);
        }
    }
}

} // namespace

release_note diff_configs(cell_config const& before, cell_config const& after)
{
    release_note note;
    append_diffs<workload_change>(
        before.workloads, after.workloads, workload_diff, note.changes);
    append_diffs<tenant_change>(
        before.tenants, after.tenants, tenant_diff, note.changes);
    if (before.policies != after.policies)
    {
        note.changes.emplace_back(
            policies_diff(before.policies, after.policies));
    }
    return note;
}

} // namespace cicada
