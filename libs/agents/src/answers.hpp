#pragma once

#include "protocol/protocol.hpp"

namespace cicada
{

/**
 * Decodes the HTTP response to an order. Errors: refused, a 4xx status other
 * than 409; unknown, any other response that isn't a valid answer to the order.
 */
result<agent_answer>
interpret_answer(agent_order const& order, int status, std::string const& body);

} // namespace cicada
