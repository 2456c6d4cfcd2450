#include "kind_rules.hpp"

#include <algorithm>

namespace cicada
{
namespace
{

std::vector<std::string> keys_for(workload_kind kind)
{
    switch (kind)
    {
    case workload_kind::request:
        return {"action", "kind", "class", "idempotent", "deadline", "pool"};
    case workload_kind::batch:
        return {"action",
                "kind",
                "class",
                "cores",
                "memory",
                "accelerators",
                "placement"};
    case workload_kind::service:
    case workload_kind::gang:
        return {"action",
                "kind",
                "class",
                "cores",
                "memory",
                "accelerators",
                "tasks",
                "placement"};
    }
    return {};
}

void require_size(workload_change const& change,
                  char const* key,
                  bool given,
                  char const* allowed,
                  std::vector<text_problem>& problems)
{
    if (!given)
    {
        problems.push_back({change.source.line,
                            change.source.name,
                            key,
                            "missing",
                            allowed,
                            ""});
    }
}

} // namespace

int line_of(ini_section const& section, std::string const& key)
{
    for (ini_entry const& entry : section.entries)
    {
        if (entry.key == key)
        {
            return entry.line;
        }
    }
    return section.line;
}

void check_kind_keys(workload_change const& change,
                     workload_kind kind,
                     std::vector<text_problem>& problems)
{
    std::vector<std::string> const all{"class",
                                       "idempotent",
                                       "deadline",
                                       "cores",
                                       "memory",
                                       "accelerators",
                                       "tasks",
                                       "placement",
                                       "pool"};
    std::vector<std::string> const mine = keys_for(kind);
    for (ini_entry const& entry : change.source.entries)
    {
        bool const is_known =
            std::find(all.begin(), all.end(), entry.key) != all.end();
        bool const is_mine =
            std::find(mine.begin(), mine.end(), entry.key) != mine.end();
        if (is_known && !is_mine)
        {
            problems.push_back(
                {entry.line,
                 change.source.name,
                 entry.key,
                 std::string("not for kind = ") + to_string(kind),
                 join_names(mine),
                 ""});
        }
    }
}

void check_sizes(workload_change const& change,
                 std::vector<text_problem>& problems)
{
    if (!change.kind || *change.kind == workload_kind::request)
    {
        return;
    }
    ini_section const& source = change.source;
    require_size(change,
                 "cores",
                 line_of(source, "cores") != source.line,
                 "cores of one task, such as 0.5",
                 problems);
    require_size(change,
                 "memory",
                 line_of(source, "memory") != source.line,
                 "memory of one task, such as 512MiB",
                 problems);
}

void check_quota(tenant_change const& change,
                 bool had_quota,
                 std::vector<text_problem>& problems)
{
    bool const lifts = change.has_quota.has_value();
    bool const gives = change.quota_milli_cores || change.quota_memory_mib ||
                       change.quota_accelerators;
    bool const is_whole = change.quota_milli_cores && change.quota_memory_mib;
    if (lifts && gives)
    {
        problems.push_back({line_of(change.source, "quota"),
                            change.source.name,
                            "quota",
                            "both none and given",
                            "quota = none, or quota-cores and quota-memory",
                            ""});
    }
    else if (gives && !is_whole && !had_quota)
    {
        problems.push_back(
            {change.source.line,
             change.source.name,
             change.quota_milli_cores ? "quota-memory" : "quota-cores",
             "missing",
             "a quota has both quota-cores and quota-memory",
             ""});
    }
}

} // namespace cicada
