#include "note_keys.hpp"

namespace cicada
{
namespace
{

using text = std::string;

constexpr std::size_t longest_title_bytes = 120;
constexpr std::size_t longest_author_bytes = 120;
constexpr std::size_t longest_reason_bytes = 2'000;
constexpr std::size_t longest_id_bytes = 64;
constexpr std::int64_t most_milli_cores = 1'024'000;
constexpr std::int64_t most_memory_mib = 16'777'216;
constexpr std::int64_t most_accelerators = 64;
constexpr std::int64_t most_tasks = 10'000;
constexpr std::int64_t most_quota_milli_cores = 1'000'000'000;
constexpr std::int64_t most_quota_memory_mib = 4'194'304'000;
constexpr std::int64_t most_quota_accelerators = 1'000'000;
constexpr milliseconds shortest_deadline{10};
constexpr milliseconds longest_deadline{3'600'000};
constexpr milliseconds longest_grace{600'000};

bool read_text(std::string& field, text const& value, std::size_t longest)
{
    field = value;
    return !value.empty() && value.size() <= longest;
}

std::optional<pool_id> parse_pool(text const& name)
{
    return is_plain_name(name) ? std::optional<pool_id>(pool_id{name})
                               : std::nullopt;
}

bool read_id(std::string& field, text const& value)
{
    field = value;
    return !value.empty() && value.size() <= longest_id_bytes &&
           value.find_first_not_of("abcdefghijklmnopqrstuvwxyz"
                                   "ABCDEFGHIJKLMNOPQRSTUVWXYZ"
                                   "0123456789._-") == text::npos;
}

template <class Field>
bool read_count(Field& field,
                text const& value,
                std::int64_t low,
                std::int64_t high)
{
    return store_value(field, within(parse_count(value), low, high));
}

template <class Field>
bool read_memory(Field& field, text const& value, std::int64_t high)
{
    return store_value(field,
                       within(parse_memory_mib(value), std::int64_t{1}, high));
}

template <class Field>
bool read_cores(Field& field, text const& value, std::int64_t high)
{
    return store_value(field,
                       within(parse_milli_cores(value), std::int64_t{1}, high));
}

template <class Target>
void append_rows(char const* section,
                 std::vector<ini_key<Target>> const& keys,
                 std::vector<note_key_reference>& rows)
{
    for (ini_key<Target> const& key : keys)
    {
        rows.push_back({section, key.name, key.allowed});
    }
}

} // namespace

std::optional<change_action> parse_action(std::string const& name)
{
    for (change_action const action :
         {change_action::add, change_action::change, change_action::withdraw})
    {
        if (name == to_string(action))
        {
            return action;
        }
    }
    return std::nullopt;
}

char const* to_string(change_action action)
{
    switch (action)
    {
    case change_action::add:
        return "add";
    case change_action::change:
        return "change";
    case change_action::withdraw:
        return "withdraw";
    }
    return "invalid";
}

std::vector<ini_key<note_header>> const& header_keys()
{
    static std::vector<ini_key<note_header>> const keys{
        {"title",
         "1 to 120 bytes",
         [](note_header& h, text const& v)
         {
             return read_text(h.title, v, longest_title_bytes);
         }},
        {"author",
         "1 to 120 bytes",
         [](note_header& h, text const& v)
         {
             return read_text(h.author, v, longest_author_bytes);
         }},
        {"reason",
         "1 to 2000 bytes",
         [](note_header& h, text const& v)
         {
             return read_text(h.reason, v, longest_reason_bytes);
         }},
        {"id",
         "1 to 64 letters, digits, points, hyphens, underscores",
         [](note_header& h, text const& v)
         {
             return read_id(h.id, v);
         }},
    };
    return keys;
}

std::vector<ini_key<workload_change>> const& workload_keys()
{
    static std::vector<ini_key<workload_change>> const keys{
        {"action",
         "add, change, withdraw",
         [](workload_change& c, text const& v)
         {
             return store_value(c.action, parse_action(v));
         }},
        {"kind",
         "request, service, batch, gang",
         [](workload_change& c, text const& v)
         {
             return store_value(c.kind, parse_workload_kind(v));
         }},
        {"class",
         "urgent, normal, background",
         [](workload_change& c, text const& v)
         {
             return store_value(c.urgency, parse_work_class(v));
         }},
        {"idempotent",
         "yes, no",
         [](workload_change& c, text const& v)
         {
             return store_value(c.idempotent, parse_yes_no(v));
         }},
        {"deadline",
         "10ms to 1h, such as 250ms, 30s, 5m",
         [](workload_change& c, text const& v)
         {
             return store_value(c.deadline,
                                within(parse_duration(v),
                                       shortest_deadline,
                                       longest_deadline));
         }},
        {"cores",
         "0.001 to 1024, such as 0.5 or 2",
         [](workload_change& c, text const& v)
         {
             return read_cores(c.milli_cores, v, most_milli_cores);
         }},
        {"memory",
         "1MiB to 16384GiB, such as 512MiB",
         [](workload_change& c, text const& v)
         {
             return read_memory(c.memory_mib, v, most_memory_mib);
         }},
        {"accelerators",
         "0 to 64",
         [](workload_change& c, text const& v)
         {
             return read_count(c.accelerators, v, 0, most_accelerators);
         }},
        {"tasks",
         "1 to 10000",
         [](workload_change& c, text const& v)
         {
             return read_count(c.tasks, v, 1, most_tasks);
         }},
        {"placement",
         "pack, spread, close",
         [](workload_change& c, text const& v)
         {
             return store_value(c.placement, parse_placement_policy(v));
         }},
        {"pool",
         "lower-case letters, digits, hyphens; at most 63",
         [](workload_change& c, text const& v)
         {
             return store_value(c.pool, parse_pool(v));
         }},
    };
    return keys;
}

std::vector<ini_key<tenant_change>> const& tenant_keys()
{
    static std::vector<ini_key<tenant_change>> const keys{
        {"action",
         "add, change, withdraw",
         [](tenant_change& c, text const& v)
         {
             return store_value(c.action, parse_action(v));
         }},
        {"weight",
         "1 to 1000",
         [](tenant_change& c, text const& v)
         {
             return read_count(c.weight, v, 1, 1'000);
         }},
        {"floor",
         "0% to 100%",
         [](tenant_change& c, text const& v)
         {
             return store_value(c.floor_percent, parse_percent(v));
         }},
        {"max-queued",
         "0 to 1000000",
         [](tenant_change& c, text const& v)
         {
             return read_count(c.max_queued, v, 0, 1'000'000);
         }},
        {"quota",
         "none",
         [](tenant_change& c, text const& v)
         {
             c.has_quota = false;
             return v == "none";
         }},
        {"quota-cores",
         "0.001 to 1000000",
         [](tenant_change& c, text const& v)
         {
             return read_cores(c.quota_milli_cores, v, most_quota_milli_cores);
         }},
        {"quota-memory",
         "1MiB to 4096000GiB",
         [](tenant_change& c, text const& v)
         {
             return read_memory(c.quota_memory_mib, v, most_quota_memory_mib);
         }},
        {"quota-accelerators",
         "0 to 1000000",
         [](tenant_change& c, text const& v)
         {
             return read_count(
                 c.quota_accelerators, v, 0, most_quota_accelerators);
         }},
    };
    return keys;
}

std::vector<ini_key<policies_change>> const& policies_keys()
{
    static std::vector<ini_key<policies_change>> const keys{
        {"retry-attempts",
         "1 to 10",
         [](policies_change& c, text const& v)
         {
             return read_count(c.retry_attempts, v, 1, 10);
         }},
        {"retry-budget",
         "0% to 100%",
         [](policies_change& c, text const& v)
         {
             return store_value(c.retry_budget_percent, parse_percent(v));
         }},
        {"preemption",
         "yes, no",
         [](policies_change& c, text const& v)
         {
             return store_value(c.preemption, parse_yes_no(v));
         }},
        {"checkpoint-grace",
         "0 to 10m, such as 5s",
         [](policies_change& c, text const& v)
         {
             return store_value(
                 c.checkpoint_grace,
                 within(parse_duration(v), milliseconds(0), longest_grace));
         }},
    };
    return keys;
}

std::vector<note_key_reference> notes_reference()
{
    std::vector<note_key_reference> rows;
    append_rows("note", header_keys(), rows);
    append_rows("workload", workload_keys(), rows);
    append_rows("tenant", tenant_keys(), rows);
    append_rows("policies", policies_keys(), rows);
    return rows;
}

} // namespace cicada
