#pragma once

#include "state.hpp"

/**
 * The owner's side of requests: the queue, grants of endpoint slots, and the
 * settling of attempts whose entry can't tell how they ended.
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

/** Grants what can be granted of one pool. */
void serve_pool(state& s, pool_id const& pool, effects& out);

/** Grants what can be granted; refuses what no owned endpoint serves. */
void serve_queues(state& s, effects& out);

/** Brings the tenants' limits in force to the queues. */
void follow_limits(state& s);

/** An attempt is known to be over: its slot is free again. */
void release_grant(state& s, attempt_id const& attempt, effects& out);

/** An entry is gone: its queued requests go, its grants are settled. */
void settle_entry(state& s, daemon_id const& entry, effects& out);

/** The timer: asks the endpoint about an attempt. */
void ask_about_attempt(state& s, attempt_id const& attempt, effects& out);

/** Takes in the answer to a cancel_order for an attempt. */
void on_attempt_answer(state& s, agent_order_ended const& e, effects& out);

/** What this daemon offers, for its heartbeat. */
std::vector<pool_advert> make_adverts(state const& s);

} // namespace cicada
