#pragma once

#include "state.hpp"

/**
 * The entry's side of requests: admission, choice of an owner, the intent of
 * a non-idempotent request, attempts, retries and the truthful answer.
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

/** Asks another owner for what waits at a peer that is gone. */
void leave_owner(state& s, daemon_id const& owner, effects& out);

/** The timers. */
void on_request_deadline(state& s, request_id const& id, effects& out);
void on_request_retry(state& s, request_id const& id, effects& out);
void on_intent_late(state& s, attempt_id const& attempt, effects& out);
void on_settle_request(state& s, request_id const& id, effects& out);

/** Takes in what an endpoint says of an earlier attempt with the same key. */
void on_earlier_answer(state& s, agent_order_ended const& e, effects& out);

} // namespace cicada
