#pragma once

#include "state.hpp"

/** Slot requests of an entry; the handlers of the answers are in entry.hpp. */
namespace cicada
{

/**
 * Requests a slot from the best owner. If there is none, schedules a retry, or
 * answers the caller if none was found within the time limit.
 */
void ask_for_slot(state& s, request_state& r, effects& out);

} // namespace cicada
