#pragma once

#include "state.hpp"

/** Admission of callers' requests at their entry. */
namespace cicada
{

/** Returns true if `e` is admitted; otherwise answers the caller. */
bool admit(state const& s, request_arrived const& e, effects& out);

/** The initial state of an admitted request. */
request_state make_request(state const& s, request_arrived const& e);

} // namespace cicada
