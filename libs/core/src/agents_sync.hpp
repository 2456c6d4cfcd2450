#pragma once

#include "state.hpp"

/**
 * An owner's standing word with the workers and endpoints of its shards: one
 * long-polled sync each, which announces the epoch, renews leases and brings
 * what runs. Nothing is placed on an agent that hasn't answered to the epoch.
 */
namespace cicada
{

/** Starts syncing every listed agent of a shard just gained. */
void adopt_shard_agents(state& s, shard_id const& shard, effects& out);

/** Drops what is known of a shard's agents and of the grants on them. */
void forget_shard_agents(state& s, shard_id const& shard);

/** Follows the platform's list for the shards owned. */
void follow_instances(state& s, effects& out);

/** The timer: sends the next sync. */
void sync_agent_now(state& s, std::string const& name, effects& out);

/** The timer: takes an agent that has been silent too long out. */
void check_agent_silence(state& s, std::string const& name, effects& out);

/** Takes in the answer to a sync, or its failure. */
void on_sync_answer(state& s, agent_order_ended const& e, effects& out);

/** An endpoint said that it drains: out at once. */
void take_out_draining(state& s, std::string const& name, effects& out);

/** Keeps the counts of slots per workload in step with an endpoint. */
void set_phase(state& s, agent_state& agent, agent_phase phase);

} // namespace cicada
