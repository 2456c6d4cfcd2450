#pragma once

#include "state.hpp"

/** Members, connections to peers, heartbeats and shutdown. */
namespace cicada
{

void on_members_seen(state& s, members_seen const& e, effects& out);
void on_own_lease_seen(state& s, own_lease_seen const& e, effects& out);
void on_peer_up(state& s, peer_up const& e, effects& out);
void on_peer_down(state& s, peer_down const& e, effects& out);
void on_heartbeat(state& s,
                  daemon_id const& from,
                  heartbeat const& beat,
                  effects& out);

/** Applies a configuration from the service or a peer if it is newer. */
void update_config(state& s, cell_config const& config, effects& out);

/** Timer handler: sends a heartbeat to each connected peer. */
void send_heartbeats(state& s, effects& out);

/** Starts the shutdown: announces that this daemon leaves. */
void on_shutdown_asked(state& s, effects& out);

/** Reports shutdown_ready once shards are handed over and nothing runs. */
void check_shutdown(state& s, effects& out);

} // namespace cicada
