#pragma once

#include "state.hpp"

/**
 * Intents of non-idempotent requests. An intent is stored before the first
 * byte is sent to an endpoint, so that a retry at another daemon finds it.
 */
namespace cicada
{

/** Writes the intent of the current grant; replaces this request's own. */
void create_intent(state& s, request_state& r, effects& out);

/** Sends the intent's write again, after an unknown outcome. */
void write_intent_again(request_state const& r, effects& out);

/** Replaces the intent of an earlier attempt that is known not to have run. */
void replace_intent(state& s, request_state& r, effects& out);

/** Asks the endpoint for the outcome of the earlier attempt. */
void query_earlier_attempt(state& s,
                           request_state const& r,
                           epoch since,
                           effects& out);

/** The request that query_earlier_attempt() sent an order for. */
request_id request_of_query(agent_order_ended const& e);

/** True if this order was sent by query_earlier_attempt(). */
bool is_earlier_query(agent_order_ended const& e);

/** Records in the stored intent that the request ran; best effort. */
void store_ran(state& s, request_state const& r, int status, effects& out);

/** Records in the stored intent that the request did not run; best effort. */
void store_not_run(state& s, request_state const& r, effects& out);

/** Records in the earlier intent that its request ran; best effort. */
void store_earlier_ran(state& s, request_state const& r, effects& out);

} // namespace cicada
