#include "peers.hpp"

#include "entry.hpp"
#include "event_numbers/event_numbers.hpp"
#include "owner_slots.hpp"
#include "ownership.hpp"

#include <algorithm>

namespace cicada
{
namespace
{

heartbeat make_heartbeat(state const& s)
{
    heartbeat beat;
    beat.note_number = s.config.note_number;
    beat.table_version = s.table.version;
    beat.leaving = s.leaving;
    for (auto const& [name, agent] : s.agents)
    {
        bool const counts = agent.info.kind == instance_kind::worker &&
                            agent.phase == agent_phase::in_rotation;
        if (!counts)
        {
            continue;
        }
        resources const free = agent.info.capacity - agent.allocated;
        beat.free = beat.free + free;
        if (free.milli_cores > beat.largest_free.milli_cores)
        {
            beat.largest_free = free;
        }
    }
    beat.adverts = make_adverts(s);
    return beat;
}

void forget_unlisted(state& s, std::set<daemon_id> const& listed, effects& out)
{
    for (auto& [name, peer] : s.peers)
    {
        if (peer.listed && listed.count(name) == 0)
        {
            peer.listed = false;
            out.push_back(want_peer{peer.info, false});
        }
    }
    std::erase_if(s.peers,
                  [](std::pair<daemon_id const, peer_state> const& each)
                  {
                      return !each.second.listed && !each.second.linked;
                  });
}

void update_member(state& s, member const& info, effects& out)
{
    peer_state& peer = s.peers[info.name];
    bool const moved = peer.info.link != info.link;
    bool const fresh = !peer.listed || moved;
    peer.info = info;
    peer.listed = true;
    if (fresh)
    {
        out.push_back(want_peer{info, true});
    }
}

} // namespace

void on_members_seen(state& s, members_seen const& e, effects& out)
{
    std::set<daemon_id> listed;
    for (member const& each : e.members)
    {
        if (each.name == s.settings.self.name)
        {
            s.members_loaded = true;
            continue;
        }
        listed.insert(each.name);
        update_member(s, each, out);
    }
    forget_unlisted(s, listed, out);
    out.push_back(
        log_event{events::members_changed, std::to_string(e.members.size())});
    review_table(s, out);
}

void on_own_lease_seen(state& s, own_lease_seen const& e, effects& out)
{
    s.lease_held = e.held;
    review_table(s, out);
}

void on_peer_up(state& s, peer_up const& e, effects& out)
{
    peer_state& peer = s.peers[e.peer];
    peer.info.name = e.peer;
    peer.linked = true;
    peer.last = heartbeat{};
    peer.slots_requested.clear();
    out.push_back(log_event{events::peer_up, e.peer.value});
    out.push_back(send_peer{e.peer, make_heartbeat(s)});
}

void on_peer_down(state& s, peer_down const& e, effects& out)
{
    auto const found = s.peers.find(e.peer);
    if (found == s.peers.end())
    {
        return;
    }
    found->second.linked = false;
    found->second.last = heartbeat{};
    found->second.slots_requested.clear();
    out.push_back(log_event{events::peer_down, e.peer.value});
    if (!found->second.listed)
    {
        s.peers.erase(found);
    }
    settle_entry(s, e.peer, out);
    reroute_waiting_requests(s, e.peer, out);
}

void on_heartbeat(state& s,
                  daemon_id const& from,
                  heartbeat const& beat,
                  effects& out)
{
    auto const found = s.peers.find(from);
    if (found == s.peers.end())
    {
        return;
    }
    bool const leaves = beat.leaving && !found->second.last.leaving;
    found->second.last = beat;
    found->second.slots_requested.clear();
    if (beat.note_number < s.config.note_number)
    {
        out.push_back(send_peer{
            from, note_offer{s.config.note_number, encode_config(s.config)}});
    }
    if (beat.table_version < s.table.version)
    {
        out.push_back(send_peer{from, table_offer{s.table}});
    }
    if (leaves)
    {
        review_table(s, out);
    }
}

void update_config(state& s, cell_config const& config, effects& out)
{
    if (config.note_number <= s.config.note_number)
    {
        return;
    }
    s.config = config;
    update_queue_limits(s);
    out.push_back(
        log_event{events::note_applied, std::to_string(config.note_number)});
    for (auto const& [name, peer] : s.peers)
    {
        if (peer.linked && peer.last.note_number < config.note_number)
        {
            out.push_back(send_peer{
                name, note_offer{config.note_number, encode_config(config)}});
        }
    }
}

void send_heartbeats(state& s, effects& out)
{
    heartbeat const beat = make_heartbeat(s);
    for (auto const& [name, peer] : s.peers)
    {
        if (peer.linked)
        {
            out.push_back(send_peer{name, beat});
        }
    }
    schedule(s, timer_kind::heartbeat, s.settings.heartbeat_period);
}

void on_shutdown_asked(state& s, effects& out)
{
    if (s.leaving)
    {
        return;
    }
    s.leaving = true;
    member self = s.settings.self;
    self.leaving = true;
    out.push_back(write_member{self});
    heartbeat const beat = make_heartbeat(s);
    for (auto const& [name, peer] : s.peers)
    {
        if (peer.linked)
        {
            out.push_back(send_peer{name, beat});
        }
    }
    review_table(s, out);
}

void check_shutdown(state& s, effects& out)
{
    bool const others =
        std::any_of(s.peers.begin(),
                    s.peers.end(),
                    [](std::pair<daemon_id const, peer_state> const& each)
                    {
                        return each.second.listed && !each.second.info.leaving;
                    });
    bool const handed_over = s.owned.empty() || !others;
    bool const idle =
        s.requests.empty() && s.submitted.empty() && s.grants.empty();
    if (!s.leaving || s.shutdown_reported || !handed_over || !idle)
    {
        return;
    }
    s.shutdown_reported = true;
    out.push_back(shutdown_ready{});
}

} // namespace cicada
