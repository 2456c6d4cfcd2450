#pragma once

#include "state.hpp"

/**
 * An owner's sync with the workers and endpoints of its shards. Each agent has
 * one long poll, which announces the owner's epoch, renews leases and returns
 * what runs. Nothing is placed on an agent before it acknowledges the epoch.
 */
namespace cicada
{

/** Starts syncing every listed agent of a shard just gained. */
void adopt_shard_agents(state& s, shard_id const& shard, effects& out);

/** Removes a shard's agents and the grants on them. */
void forget_shard_agents(state& s, shard_id const& shard);

/** Applies the platform's list of instances to the owned shards. */
void update_agents(state& s, effects& out);

/** Timer handler: sends the next sync, unless one is under way. */
void sync_agent_now(state& s, std::string const& name, effects& out);

/** Timer handler: marks an agent silent after agent_timeout. */
void check_agent_silence(state& s, std::string const& name, effects& out);

/** Handles the answer to a sync, or its failure. */
void on_sync_answer(state& s, agent_order_ended const& e, effects& out);

/** Takes a draining endpoint out of rotation. */
void set_draining(state& s, std::string const& name, effects& out);

/** Sets an agent's phase and updates the slot counts of its pool. */
void set_phase(state& s, agent_state& agent, agent_phase phase);

} // namespace cicada
