#pragma once

#include "state.hpp"

/**
 * Requests at the owner of their endpoints: the queue, grants of slots, and
 * the settling of attempts, which finds out from the endpoint whether an
 * attempt ran when its entry doesn't know.
 */
namespace cicada
{

void on_slot_request(state& s,
                     daemon_id const& entry,
                     slot_request const& ask,
                     effects& out);

void on_slot_cancel(state& s,
                    daemon_id const& entry,
                    slot_cancel const& gone,
                    effects& out);

void on_slot_return(state& s,
                    daemon_id const& entry,
                    slot_return const& back,
                    effects& out);

/** Grants a pool's free slots to its queued requests. */
void serve_pool(state& s, pool_id const& pool, effects& out);

/** Grants free slots of all pools; refuses requests of pools not served. */
void serve_queues(state& s, effects& out);

/** Applies the tenants' active limits to the queues. */
void update_queue_limits(state& s);

/** Frees the slot of an attempt that is known to be over. */
void release_grant(state& s, attempt_id const& attempt, effects& out);

/** Drops a lost entry's queued requests and settles its grants. */
void settle_entry(state& s, daemon_id const& entry, effects& out);

/** Timer handler: asks the endpoint for an attempt's state. */
void query_attempt(state& s, attempt_id const& attempt, effects& out);

/** Handles the answer to a cancel_order for an attempt. */
void on_attempt_answer(state& s, agent_order_ended const& e, effects& out);

/** Slots and expected wait of each pool served here, for the heartbeat. */
std::vector<pool_advert> make_adverts(state const& s);

} // namespace cicada
