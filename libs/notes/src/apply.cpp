#include "notes/notes.hpp"

#include "kind_rules.hpp"

namespace cicada
{
namespace
{

using problem_list = std::vector<text_problem>;

constexpr int whole_percent = 100;

template <class Map>
std::vector<std::string> names_in(Map const& values)
{
    std::vector<std::string> names;
    names.reserve(values.size());
    for (typename Map::value_type const& each : values)
    {
        names.push_back(each.first.value);
    }
    return names;
}

/** Whether the action suits what is there; else adds the problem. */
template <class Change, class Map>
bool check_presence(Change const& change,
                    Map const& values,
                    char const* what,
                    problem_list& problems)
{
    bool const exists = values.count(change.name) > 0;
    bool const adds = change.action == change_action::add;
    if (exists != adds)
    {
        return true;
    }
    std::vector<std::string> const known = names_in(values);
    std::string const message =
        std::string("the ") + what + " " + change.name.value +
        (exists ? " is already in force" : " is not in force");
    std::string const allowed =
        exists ? "action = change, or another name"
               : "action = add, or one of: " + join_names(known);
    problems.push_back({change.source.line,
                        change.source.name,
                        "",
                        message,
                        allowed,
                        exists ? "" : nearest_name(change.name.value, known)});
    return false;
}

template <class Field, class Given>
void set_if_given(Field& field, std::optional<Given> const& given)
{
    if (given)
    {
        field = *given;
    }
}

workload with_change(workload before, workload_change const& change)
{
    before.name = change.name;
    set_if_given(before.kind, change.kind);
    set_if_given(before.urgency, change.urgency);
    set_if_given(before.idempotent, change.idempotent);
    set_if_given(before.deadline, change.deadline);
    set_if_given(before.size.milli_cores, change.milli_cores);
    set_if_given(before.size.memory_mib, change.memory_mib);
    set_if_given(before.size.accelerators, change.accelerators);
    set_if_given(before.tasks, change.tasks);
    set_if_given(before.placement, change.placement);
    set_if_given(before.pool, change.pool);
    return before;
}

tenant_limits with_change(tenant_limits before, tenant_change const& change)
{
    before.name = change.name;
    set_if_given(before.weight, change.weight);
    set_if_given(before.floor_percent, change.floor_percent);
    set_if_given(before.max_queued, change.max_queued);
    bool const gives = change.quota_milli_cores || change.quota_memory_mib ||
                       change.quota_accelerators;
    if (change.has_quota == false)
    {
        before.job_quota.reset();
    }
    else if (gives)
    {
        resources quota = before.job_quota.value_or(resources{});
        set_if_given(quota.milli_cores, change.quota_milli_cores);
        set_if_given(quota.memory_mib, change.quota_memory_mib);
        set_if_given(quota.accelerators, change.quota_accelerators);
        before.job_quota = quota;
    }
    return before;
}

void apply_one(workload_change const& change,
               cell_config& config,
               problem_list& problems)
{
    if (!check_presence(change, config.workloads, "workload", problems))
    {
        return;
    }
    if (change.action == change_action::withdraw)
    {
        config.workloads.erase(change.name);
        return;
    }
    workload& held = config.workloads[change.name];
    bool const is_change = change.action == change_action::change;
    if (is_change && change.kind && *change.kind != held.kind)
    {
        problems.push_back({line_of(change.source, "kind"),
                            change.source.name,
                            "kind",
                            std::string("the kind of a workload stays ") +
                                to_string(held.kind),
                            "withdraw it and add one of another name",
                            ""});
        return;
    }
    held = with_change(held, change);
    if (is_change)
    {
        check_kind_keys(change, held.kind, problems);
    }
}

void apply_one(tenant_change const& change,
               cell_config& config,
               problem_list& problems)
{
    if (!check_presence(change, config.tenants, "tenant", problems))
    {
        return;
    }
    if (change.action == change_action::withdraw)
    {
        config.tenants.erase(change.name);
        return;
    }
    tenant_limits& held = config.tenants[change.name];
    if (change.action == change_action::change && !change.has_quota)
    {
        check_quota(change, held.job_quota.has_value(), problems);
    }
    held = with_change(held, change);
}

void apply_one(policies_change const& change,
               cell_config& config,
               problem_list& /*problems*/)
{
    cell_policies& held = config.policies;
    set_if_given(held.retry_attempts, change.retry_attempts);
    set_if_given(held.retry_budget_percent, change.retry_budget_percent);
    set_if_given(held.preemption, change.preemption);
    set_if_given(held.checkpoint_grace, change.checkpoint_grace);
}

void check_floors(cell_config const& config, problem_list& problems)
{
    int sum = 0;
    for (std::map<tenant_id, tenant_limits>::value_type const& each :
         config.tenants)
    {
        sum += each.second.floor_percent;
    }
    if (sum > whole_percent)
    {
        problems.push_back({0,
                            "",
                            "floor",
                            "the floors of all tenants are " +
                                std::to_string(sum) + "% together",
                            "at most 100%",
                            ""});
    }
}

} // namespace

checked<cell_config> apply_note(cell_config const& in_force,
                                release_note const& note)
{
    cell_config after = in_force;
    ++after.note_number;
    problem_list problems;
    for (note_change const& change : note.changes)
    {
        std::visit(
            [&after, &problems](auto const& each)
            {
                apply_one(each, after, problems);
            },
            change);
    }
    check_floors(after, problems);
    if (!problems.empty())
    {
        return problems;
    }
    return after;
}

} // namespace cicada
