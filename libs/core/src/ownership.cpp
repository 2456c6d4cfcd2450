#include "ownership.hpp"

#include "agents_sync.hpp"
#include "event_numbers/event_numbers.hpp"
#include "jobs.hpp"
#include "owner_slots.hpp"

#include <algorithm>

namespace cicada
{
namespace
{

constexpr milliseconds proposal_rank_delay{250};

using load_by_daemon = std::map<daemon_id, int>;

zone_id zone_of(shard_id const& shard)
{
    return zone_id{shard.value.substr(0, shard.value.find('/'))};
}

std::uint64_t score(daemon_id const& daemon, shard_id const& shard)
{
    return stable_hash(daemon.value + "\n" + shard.value);
}

int share_of_each(std::size_t shards, std::size_t members)
{
    return static_cast<int>((shards + members - 1) / members);
}

std::vector<member> not_leaving(std::vector<member> const& members)
{
    std::vector<member> list;
    for (member const& each : members)
    {
        if (!each.leaving)
        {
            list.push_back(each);
        }
    }
    return list;
}

/** The best member for a shard, among those below their share. */
daemon_id best_owner(shard_id const& shard,
                     std::vector<member> const& members,
                     load_by_daemon const& load,
                     int share)
{
    member const* best = nullptr;
    bool best_near = false;
    std::uint64_t best_score = 0;
    for (member const& each : members)
    {
        if (load.at(each.name) >= share)
        {
            continue;
        }
        bool const near = each.zone == zone_of(shard);
        std::uint64_t const points = score(each.name, shard);
        bool const better = best == nullptr || (near && !best_near) ||
                            (near == best_near && points > best_score);
        if (better)
        {
            best = &each;
            best_near = near;
            best_score = points;
        }
    }
    return best == nullptr ? daemon_id{} : best->name;
}

/** Shards that keep their owner; adds them to `load`. */
std::set<shard_id> kept_shards(ownership_table const& current,
                               std::vector<shard_id> const& shards,
                               int share,
                               load_by_daemon& load)
{
    std::set<shard_id> kept;
    for (shard_id const& shard : shards)
    {
        auto const row = current.shards.find(shard);
        if (row == current.shards.end())
        {
            continue;
        }
        auto const owner = load.find(row->second.owner);
        if (owner != load.end() && owner->second < share)
        {
            owner->second += 1;
            kept.insert(shard);
        }
    }
    return kept;
}

std::vector<member> live_members(state const& s)
{
    std::vector<member> list;
    for (auto const& [name, peer] : s.peers)
    {
        if (peer.listed)
        {
            member info = peer.info;
            info.leaving = info.leaving || (peer.linked && peer.last.leaving);
            list.push_back(info);
        }
    }
    member self = s.settings.self;
    self.leaving = s.leaving;
    list.push_back(self);
    std::sort(list.begin(),
              list.end(),
              [](member const& left, member const& right)
              {
                  return left.name < right.name;
              });
    return list;
}

std::vector<shard_id> known_shards(state const& s)
{
    std::set<shard_id> shards;
    for (auto const& [name, each] : s.instances)
    {
        shards.insert(each.shard);
    }
    for (auto const& [shard, owner] : s.table.shards)
    {
        shards.insert(shard);
    }
    return {shards.begin(), shards.end()};
}

/** This daemon's rank in the order of proposing; 0 is first. */
int proposal_rank(state const& s)
{
    std::string const salt = "\n" + std::to_string(s.table.version);
    std::uint64_t const own = stable_hash(s.settings.self.name.value + salt);
    int rank = 0;
    for (auto const& [name, peer] : s.peers)
    {
        bool const earlier = stable_hash(name.value + salt) < own;
        rank += peer.listed && peer.linked && earlier ? 1 : 0;
    }
    return rank;
}

ownership_table wanted_table(state const& s)
{
    return next_table(s.table, {live_members(s), known_shards(s)});
}

void lose_shard(state& s, shard_id const& shard, effects& out)
{
    s.owned.erase(shard);
    forget_shard_agents(s, shard);
    forget_shard_jobs(s, shard);
    out.push_back(log_event{events::shards_lost, shard.value});
}

void gain_shard(state& s, shard_id const& shard, epoch since, effects& out)
{
    s.owned[shard] = since;
    forget_shard_agents(s, shard);
    adopt_shard_agents(s, shard, out);
    adopt_shard_jobs(s, shard, out);
    out.push_back(
        log_event{events::shards_gained,
                  shard.value + " epoch " + std::to_string(since.value)});
}

} // namespace

ownership_table next_table(ownership_table const& current,
                           table_inputs const& inputs)
{
    std::vector<member> const members = not_leaving(inputs.members);
    if (members.empty() || inputs.shards.empty())
    {
        return current;
    }
    int const share = share_of_each(inputs.shards.size(), members.size());
    load_by_daemon load;
    for (member const& each : members)
    {
        load[each.name] = 0;
    }
    std::set<shard_id> const kept =
        kept_shards(current, inputs.shards, share, load);

    ownership_table next = current;
    next.version = current.version + 1;
    bool changed = false;
    for (shard_id const& shard : inputs.shards)
    {
        if (kept.count(shard) > 0)
        {
            continue;
        }
        daemon_id const owner = best_owner(shard, members, load, share);
        load[owner] += 1;
        next.shards[shard] = shard_owner{owner, epoch{next.version}};
        changed = true;
    }
    return changed ? next : current;
}

void update_table(state& s, ownership_table const& table, effects& out)
{
    if (table.version <= s.table.version)
    {
        return;
    }
    s.table = table;
    s.proposed.reset();
    std::map<shard_id, epoch> const before = s.owned;
    for (auto const& [shard, since] : before)
    {
        std::optional<shard_owner> const owner = owner_of(s, shard);
        if (!owner || owner->owner != s.settings.self.name)
        {
            lose_shard(s, shard, out);
        }
    }
    for (auto const& [shard, owner] : table.shards)
    {
        auto const held = before.find(shard);
        bool const same = held != before.end() && held->second == owner.since;
        if (owner.owner == s.settings.self.name && !same)
        {
            gain_shard(s, shard, owner.since, out);
        }
    }
    serve_queues(s, out);
    review_table(s, out);
}

void review_table(state& s, effects& out)
{
    bool const informed = s.lease_held && s.members_loaded && s.table_loaded;
    if (!informed || s.proposed || s.proposal_due)
    {
        return;
    }
    if (wanted_table(s) == s.table)
    {
        return;
    }
    int const rank = proposal_rank(s);
    s.proposal_due = true;
    if (rank == 0)
    {
        propose_due_table(s, out);
        return;
    }
    schedule(s, timer_kind::propose_table, rank * proposal_rank_delay);
}

void propose_due_table(state& s, effects& out)
{
    if (!s.proposal_due)
    {
        return;
    }
    s.proposal_due = false;
    ownership_table const wanted = wanted_table(s);
    if (!s.lease_held || wanted == s.table)
    {
        return;
    }
    s.proposed = wanted;
    out.push_back(propose_table{wanted});
    out.push_back(
        log_event{events::table_proposed, std::to_string(wanted.version)});
}

void on_table_proposed(state& s, table_proposed const& e, effects& out)
{
    s.proposed.reset();
    if (e.outcome == write_outcome::done)
    {
        update_table(s, e.table, out);
        return;
    }
    s.proposal_due = true;
    int const rank = proposal_rank(s) + 2;
    schedule(s, timer_kind::propose_table, rank * proposal_rank_delay);
}

void on_instances_listed(state& s, instances_listed const& e, effects& out)
{
    std::map<std::string, instance> listed;
    for (instance const& each : e.list)
    {
        listed[each.name] = each;
    }
    s.instances = std::move(listed);
    update_agents(s, out);
    review_table(s, out);
}

} // namespace cicada
