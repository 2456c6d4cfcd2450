#pragma once

#include "body_piece.hpp"
#include "state.hpp"

#include <boost/beast/http/string_body.hpp>

/** What is read from and written to a caller, each step in bounded time. */
namespace cicada
{

using string_answer = http::response<http::string_body>;

/** Waits for a notify(); may also return without. */
net::awaitable<void> wait_for(change_signal& changed);

/** Waits for the first byte of a request. */
net::awaitable<io_error> wait_first_byte(caller_ptr from, clock_time until);

/** Reads a head into a new parser. */
net::awaitable<io_error> read_head(caller_ptr from,
                                   gateway_limits const& limits);

/** Reads at least one byte of the body, or its end. */
net::awaitable<body_piece>
read_body(caller_ptr from, std::span<char> into, clock_time until);

/** Lets a caller that waits for it send the body. */
net::awaitable<io_error> write_continue(caller_ptr from, clock_time until);

/** Writes a whole answer. */
net::awaitable<io_error>
write_answer(caller_ptr from, string_answer& answer, clock_time until);

/** Says that no more comes, and reads what the caller still sends. */
net::awaitable<void> linger(caller_ptr from, gateway_limits const& limits);

/** Watches for the caller's end until stop_watch(). */
void start_watch(gateway_ptr const& state,
                 caller_ptr const& from,
                 exchange_ptr const& request);

/** After this nothing is pending on the caller's socket. */
net::awaitable<void> stop_watch(caller_ptr from, exchange_ptr request);

} // namespace cicada
