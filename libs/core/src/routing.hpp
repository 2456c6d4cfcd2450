#pragma once

#include "state.hpp"

/** The choice of an owner for a slot request, and tenants' retry budgets. */
namespace cicada
{

/**
 * The owner with the lowest cost: its expected wait, plus a penalty for another
 * zone or a leaving owner. None if no connected daemon serves the pool.
 */
std::optional<daemon_id> choose_owner(state const& s, request_state const& r);

/** Counts a slot requested from a peer since its last heartbeat. */
void count_slot_request(state& s, daemon_id const& owner, pool_id const& pool);

/** Drops a pool's advert after its peer refused as not its owner. */
void forget_advert(state& s, daemon_id const& owner, pool_id const& pool);

/** Adds one request's share to its tenant's retry allowance. */
void add_retry_allowance(state& s, tenant_id const& tenant);

/** Uses one retry of the allowance; false if none is left. */
bool consume_retry(state& s, tenant_id const& tenant);

} // namespace cicada
