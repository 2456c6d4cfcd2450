#pragma once

#include "client_context.hpp"

namespace cicada::store_detail
{

/** A call that may arrive more than once, or at several endpoints. */
struct kept_call
{
    std::string path;
    std::string body;
    call_kind kind = call_kind::read;
    budget_use budget = budget_use::waits;
};

/**
 * Makes the call on the loop's thread: on a kept connection, at the other
 * endpoints on failure, and on a fresh connection beside the first when half
 * the time is over, as the first may have gone silent.
 */
void make_call(context_ptr const& context,
               kept_call const& call,
               instant deadline,
               exchange_handler handler);

/** What the caller is told of a call that got no good answer. */
error error_of(exchange const& how);

/** True for an answer with HTTP status 200. */
bool is_good(exchange const& how);

} // namespace cicada::store_detail
