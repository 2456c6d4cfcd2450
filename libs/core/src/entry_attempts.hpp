#pragma once

#include "state.hpp"

/** Attempts of requests; the handlers of their ends are in entry.hpp. */
namespace cicada
{

/** Starts an attempt with the current grant. */
void start_granted(state& s, request_state& r, effects& out);

} // namespace cicada
