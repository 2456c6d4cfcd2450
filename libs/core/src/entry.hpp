#pragma once

#include "state.hpp"

/**
 * Requests at their entry, the daemon that received them from the caller:
 * admission, the choice of an owner, intents of non-idempotent requests,
 * attempts, retries and the answer.
 */
namespace cicada
{

void on_request_arrived(state& s, request_arrived const& e, effects& out);
void on_caller_gone(state& s, caller_gone const& e, effects& out);
void on_attempt_ended(state& s, attempt_ended const& e, effects& out);
void on_intent_written(state& s, intent_written const& e, effects& out);

void on_slot_grant(state& s,
                   daemon_id const& owner,
                   slot_grant const& grant,
                   effects& out);
void on_slot_refusal(state& s,
                     daemon_id const& owner,
                     slot_refusal const& refusal,
                     effects& out);
void on_attempt_settled(state& s, attempt_settled const& e, effects& out);

/** Requests slots elsewhere for the requests that wait at this owner. */
void reroute_waiting_requests(state& s, daemon_id const& owner, effects& out);

// Timer handlers.
void on_request_deadline(state& s, request_id const& id, effects& out);
void on_request_retry(state& s, request_id const& id, effects& out);
void on_intent_late(state& s, attempt_id const& attempt, effects& out);
void on_settle_request(state& s, request_id const& id, effects& out);

/** Handles an endpoint's answer about an earlier attempt with the same key. */
void on_earlier_answer(state& s, agent_order_ended const& e, effects& out);

} // namespace cicada
