#include "model/model.hpp"

#include <array>

namespace cicada
{
namespace
{

template <class Enum>
struct named_value
{
    Enum value;
    char const* name;
};

constexpr std::array<named_value<work_class>, 3> work_classes{{
    {work_class::urgent, "urgent"},
    {work_class::normal, "normal"},
    {work_class::background, "background"},
}};

constexpr std::array<named_value<workload_kind>, 4> workload_kinds{{
    {workload_kind::request, "request"},
    {workload_kind::service, "service"},
    {workload_kind::batch, "batch"},
    {workload_kind::gang, "gang"},
}};

constexpr std::array<named_value<placement_policy>, 3> placement_policies{{
    {placement_policy::pack, "pack"},
    {placement_policy::spread, "spread"},
    {placement_policy::close, "close"},
}};

constexpr std::array<named_value<intent_state>, 4> intent_states{{
    {intent_state::started, "started"},
    {intent_state::ran, "ran"},
    {intent_state::not_run, "not_run"},
    {intent_state::abandoned, "abandoned"},
}};

constexpr std::array<named_value<job_state>, 6> job_states{{
    {job_state::queued, "queued"},
    {job_state::running, "running"},
    {job_state::cancelling, "cancelling"},
    {job_state::succeeded, "succeeded"},
    {job_state::failed, "failed"},
    {job_state::cancelled, "cancelled"},
}};

template <class Enum, std::size_t Count>
char const* name_of(std::array<named_value<Enum>, Count> const& table,
                    Enum value)
{
    for (named_value<Enum> const& row : table)
    {
        if (row.value == value)
        {
            return row.name;
        }
    }
    return "invalid";
}

template <class Enum, std::size_t Count>
std::optional<Enum> value_of(std::array<named_value<Enum>, Count> const& table,
                             std::string const& name)
{
    for (named_value<Enum> const& row : table)
    {
        if (name == row.name)
        {
            return row.value;
        }
    }
    return std::nullopt;
}

} // namespace

char const* to_string(work_class which)
{
    return name_of(work_classes, which);
}

std::optional<work_class> parse_work_class(std::string const& name)
{
    return value_of(work_classes, name);
}

char const* to_string(workload_kind kind)
{
    return name_of(workload_kinds, kind);
}

std::optional<workload_kind> parse_workload_kind(std::string const& name)
{
    return value_of(workload_kinds, name);
}

char const* to_string(placement_policy policy)
{
    return name_of(placement_policies, policy);
}

std::optional<placement_policy> parse_placement_policy(std::string const& name)
{
    return value_of(placement_policies, name);
}

pool_id pool_of(workload const& which)
{
    return which.pool.empty() ? pool_id{which.name.value} : which.pool;
}

char const* to_string(intent_state state)
{
    return name_of(intent_states, state);
}

char const* to_string(job_state state)
{
    return name_of(job_states, state);
}

bool is_final(job_state state)
{
    return state == job_state::succeeded || state == job_state::failed ||
           state == job_state::cancelled;
}

} // namespace cicada
