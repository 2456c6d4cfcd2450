#include "queueing/queueing.hpp"

#include <algorithm>
#include <unordered_map>

namespace cicada
{
namespace
{

/** Load is in parts of this, to compare endpoints of different sizes. */
constexpr std::int64_t load_scale = 1'000'000;

/** Order of the endpoints of one workload and zone: least loaded first. */
struct load_rank
{
    std::int64_t load = 0;
    endpoint_id endpoint;

    bool operator==(load_rank const&) const = default;
    std::strong_ordering operator<=>(load_rank const&) const = default;
};

struct endpoint_record
{
    endpoint_slots value;
    std::set<attempt_id> attempts;
};

struct attempt_record
{
    endpoint_id endpoint;
    bool quarantined = false;
};

struct link_key
{
    zone_id from;
    zone_id to;

    bool operator==(link_key const&) const = default;
    std::strong_ordering operator<=>(link_key const&) const = default;
};

/** The index of one workload's endpoints. */
struct workload_pool
{
    std::map<zone_id, std::set<load_rank>> zones; //!< with a free slot
    slot_counts counts;                           //!< over all endpoints
};

int usable_slots(endpoint_slots const& endpoint)
{
    switch (endpoint.state)
    {
    case rotation::in:
        return endpoint.slots;
    case rotation::probing:
        return std::min(endpoint.slots, 1);
    case rotation::out:
        return 0;
    }
    return 0;
}

int slots_in_use(endpoint_record const& record)
{
    return static_cast<int>(record.attempts.size());
}

int free_slots(endpoint_record const& record)
{
    return std::max(0, usable_slots(record.value) - slots_in_use(record));
}

load_rank rank_of(endpoint_record const& record)
{
    std::int64_t const load =
        slots_in_use(record) * load_scale / std::max(1, record.value.slots);
    return load_rank{load, record.value.endpoint};
}

} // namespace

struct slot_table
{
    std::unordered_map<endpoint_id, endpoint_record> endpoints;
    std::unordered_map<attempt_id, attempt_record> attempts;
    std::unordered_map<workload_id, workload_pool> pools;
    std::map<link_key, link_cost> links;
};

namespace
{

/** Adds an endpoint to its pool's index and counts, or removes it. */
void update_pool(slot_table& table, endpoint_record const& record, bool add)
{
    workload_pool& pool = table.pools[record.value.workload];
    int const sign = add ? 1 : -1;
    int const available = free_slots(record);
    pool.counts.total += sign * usable_slots(record.value);
    pool.counts.in_use += sign * slots_in_use(record);
    pool.counts.free += sign * available;
    if (available == 0)
    {
        return;
    }
    std::set<load_rank>& ranks = pool.zones[record.value.zone];
    if (add)
    {
        ranks.insert(rank_of(record));
        return;
    }
    ranks.erase(rank_of(record));
}

/** Applies a change to an endpoint and updates the indexes. */
template <class Change>
void update_endpoint(slot_table& table,
                     endpoint_record& record,
                     Change const& change)
{
    update_pool(table, record, false);
    change(record);
    update_pool(table, record, true);
}

/**
 * True if the zone `left` is preferred to `right` for a request from `from`:
 * its own zone, then the lower price, then the lower delay, then unknown links.
 */
bool is_preferred(slot_table const& table,
                  zone_id const& from,
                  zone_id const& left,
                  zone_id const& right)
{
    if ((left == from) != (right == from))
    {
        return left == from;
    }
    auto const left_link = table.links.find(link_key{from, left});
    auto const right_link = table.links.find(link_key{from, right});
    bool const left_known = left_link != table.links.end();
    bool const right_known = right_link != table.links.end();
    if (!left_known || !right_known)
    {
        return left_known;
    }
    if (left_link->second.price != right_link->second.price)
    {
        return left_link->second.price < right_link->second.price;
    }
    return left_link->second.delay < right_link->second.delay;
}

/** The endpoint for a request from a zone; null if no slot is free. */
endpoint_record* choose_endpoint(slot_table& table,
                                 workload_id const& workload,
                                 zone_id const& from)
{
    auto const pool = table.pools.find(workload);
    if (pool == table.pools.end())
    {
        return nullptr;
    }
    std::pair<zone_id const, std::set<load_rank>> const* best = nullptr;
    for (auto const& zone : pool->second.zones)
    {
        if (zone.second.empty())
        {
            continue;
        }
        if (best == nullptr ||
            is_preferred(table, from, zone.first, best->first))
        {
            best = &zone;
        }
    }
    if (best == nullptr)
    {
        return nullptr;
    }
    return &table.endpoints.at(best->second.begin()->endpoint);
}

/** Describes a count that disagrees with a recount; empty if it agrees. */
std::string compare_counts(char const* what, int indexed, int counted)
{
    if (indexed == counted)
    {
        return {};
    }
    return std::string(what) + ": " + std::to_string(indexed) + " indexed, " +
           std::to_string(counted) + " counted; ";
}

} // namespace

char const* to_string(rotation value)
{
    switch (value)
    {
    case rotation::in:
        return "in";
    case rotation::probing:
        return "probing";
    case rotation::out:
        return "out";
    }
    return "";
}

void slot_table_deleter::operator()(slot_table* owned) const
{
    delete owned;
}

slot_table_ptr make_slot_table()
{
    return slot_table_ptr(new slot_table);
}

void set_link(slot_table& table, link_cost const& cost)
{
    table.links.insert_or_assign(link_key{cost.from, cost.to}, cost);
}

void set_endpoint(slot_table& table, endpoint_slots const& endpoint)
{
    auto const [found, added] = table.endpoints.try_emplace(
        endpoint.endpoint, endpoint_record{endpoint, {}});
    if (added)
    {
        update_pool(table, found->second, true);
        return;
    }
    update_endpoint(table,
                    found->second,
                    [&](endpoint_record& record)
                    {
                        record.value = endpoint;
                    });
}

void set_rotation(slot_table& table,
                  endpoint_id const& endpoint,
                  rotation state)
{
    auto const found = table.endpoints.find(endpoint);
    if (found == table.endpoints.end())
    {
        return;
    }
    update_endpoint(table,
                    found->second,
                    [&](endpoint_record& record)
                    {
                        record.value.state = state;
                    });
}

std::vector<attempt_id> remove_endpoint(slot_table& table,
                                        endpoint_id const& endpoint)
{
    auto const found = table.endpoints.find(endpoint);
    if (found == table.endpoints.end())
    {
        return {};
    }
    update_pool(table, found->second, false);
    std::vector<attempt_id> removed(found->second.attempts.begin(),
                                    found->second.attempts.end());
    for (attempt_id const& attempt : removed)
    {
        table.attempts.erase(attempt);
    }
    table.endpoints.erase(found);
    return removed;
}

std::optional<endpoint_id> acquire_slot(slot_table& table,
                                        attempt_id const& attempt,
                                        workload_id const& workload,
                                        zone_id const& from)
{
    endpoint_record* const chosen = choose_endpoint(table, workload, from);
    if (chosen == nullptr ||
        !adopt_attempt(table, attempt, chosen->value.endpoint))
    {
        return std::nullopt;
    }
    return chosen->value.endpoint;
}

bool adopt_attempt(slot_table& table,
                   attempt_id const& attempt,
                   endpoint_id const& endpoint)
{
    auto const found = table.endpoints.find(endpoint);
    if (found == table.endpoints.end() || table.attempts.contains(attempt))
    {
        return false;
    }
    table.attempts.emplace(attempt, attempt_record{endpoint, false});
    update_endpoint(table,
                    found->second,
                    [&](endpoint_record& record)
                    {
                        record.attempts.insert(attempt);
                    });
    return true;
}

bool quarantine_slot(slot_table& table, attempt_id const& attempt)
{
    auto const found = table.attempts.find(attempt);
    if (found == table.attempts.end())
    {
        return false;
    }
    found->second.quarantined = true;
    return true;
}

bool release_slot(slot_table& table, attempt_id const& attempt)
{
    auto const found = table.attempts.find(attempt);
    if (found == table.attempts.end() || found->second.quarantined)
    {
        return false;
    }
    return settle_slot(table, attempt);
}

bool settle_slot(slot_table& table, attempt_id const& attempt)
{
    auto const found = table.attempts.find(attempt);
    if (found == table.attempts.end())
    {
        return false;
    }
    update_endpoint(table,
                    table.endpoints.at(found->second.endpoint),
                    [&](endpoint_record& record)
                    {
                        record.attempts.erase(attempt);
                    });
    table.attempts.erase(found);
    return true;
}

std::optional<endpoint_id> endpoint_of(slot_table const& table,
                                       attempt_id const& attempt)
{
    auto const found = table.attempts.find(attempt);
    if (found == table.attempts.end())
    {
        return std::nullopt;
    }
    return found->second.endpoint;
}

std::vector<attempt_id> attempts_at(slot_table const& table,
                                    endpoint_id const& endpoint)
{
    auto const found = table.endpoints.find(endpoint);
    if (found == table.endpoints.end())
    {
        return {};
    }
    return {found->second.attempts.begin(), found->second.attempts.end()};
}

slot_counts counts_of(slot_table const& table, workload_id const& workload)
{
    auto const found = table.pools.find(workload);
    return found == table.pools.end() ? slot_counts{} : found->second.counts;
}

std::optional<endpoint_slots> find_endpoint(slot_table const& table,
                                            endpoint_id const& endpoint)
{
    auto const found = table.endpoints.find(endpoint);
    if (found == table.endpoints.end())
    {
        return std::nullopt;
    }
    return found->second.value;
}

std::string check_invariants(slot_table const& table)
{
    std::unordered_map<workload_id, slot_counts> recounts;
    int attempt_count = 0;
    for (auto const& [name, record] : table.endpoints)
    {
        slot_counts& recount = recounts[record.value.workload];
        recount.total += usable_slots(record.value);
        recount.in_use += slots_in_use(record);
        recount.free += free_slots(record);
        attempt_count += slots_in_use(record);
    }
    std::string problems = compare_counts(
        "attempts", static_cast<int>(table.attempts.size()), attempt_count);
    for (auto const& [workload, pool] : table.pools)
    {
        slot_counts const& recount = recounts[workload];
        problems += compare_counts("total", pool.counts.total, recount.total);
        problems +=
            compare_counts("in_use", pool.counts.in_use, recount.in_use);
        problems += compare_counts("free", pool.counts.free, recount.free);
    }
    return problems;
}

} // namespace cicada
