#pragma once

#include "state.hpp"

/**
 * Intents of non-idempotent requests: written before the first byte goes out,
 * found again by a retry at another daemon.
 */
namespace cicada
{

/** Writes the intent of the present grant if the key is new. */
void create_intent(state& s, request_state& r, effects& out);

/** Sends the last write a second time; its first answer was lost. */
void write_intent_again(request_state const& r, effects& out);

/** Puts this request in the place of an earlier one known not to have run. */
void replace_intent(state& s, request_state& r, effects& out);

/** Asks the endpoint what became of the earlier attempt. */
void ask_about_earlier(state& s,
                       request_state const& r,
                       epoch since,
                       effects& out);

/** The request that a cancel_order of ask_about_earlier() was sent for. */
request_id request_of_ask(agent_order_ended const& e);

/** True if an agent's answer belongs to ask_about_earlier(). */
bool is_earlier_ask(agent_order_ended const& e);

/** Keeps, as well as it can, that the request ran. */
void note_ran(state& s, request_state const& r, int status, effects& out);

/** Keeps, as well as it can, that the request did not run. */
void note_not_run(state& s, request_state const& r, effects& out);

/** Keeps, as well as it can, that the earlier request ran. */
void note_earlier_ran(state& s, request_state const& r, effects& out);

} // namespace cicada
