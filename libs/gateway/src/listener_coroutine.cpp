#include "body_piece.hpp"
#include "state.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/write.hpp>

#include <string_view>

namespace cicada
{
namespace
{

constexpr std::size_t buffer_bytes = 64 * 1024;
constexpr milliseconds accept_pause{50};
constexpr std::string_view too_many_text =
    "HTTP/1.1 503 Service Unavailable\r\n"
    "Content-Type: application/problem+json\r\n"
    "Content-Length: 203\r\n"
    "Connection: close\r\n"
    "Retry-After: 1\r\n"
    "Cicada-Outcome: not_run\r\n"
    "\r\n"
    "{\"code\":\"too_many_connections\","
    "\"detail\":\"this entry, or this address, has too many connections\","
    "\"outcome\":\"not_run\",\"request\":\"\",\"status\":503,"
    "\"title\":\"Service Unavailable\","
    "\"type\":\"urn:cicada:problem:too_many_connections\"}";

/** Says so, as far as it can be said without waiting. */
void turn_away(tcp::socket& accepted)
{
    io_error ignored;
    accepted.write_some(net::buffer(too_many_text), ignored);
    accepted.shutdown(tcp::socket::shutdown_send, ignored);
}

bool has_room(gateway_state const& state, net::ip::address const& from)
{
    gateway_limits const& limits = state.settings.limits;
    auto const count = state.per_address.find(from);
    int const taken = count == state.per_address.end() ? 0 : count->second;
    return static_cast<int>(state.callers.size()) < limits.connections &&
           taken < limits.connections_per_address;
}

net::awaitable<void> accept_callers(gateway_ptr state)
{
    net::steady_timer pause(state->context);
    while (state->accepting)
    {
        io_error failure;
        tcp::socket accepted =
            co_await state->acceptor.async_accept(into(failure));
        if (!failure)
        {
            admit(state, std::move(accepted));
        }
        // It may have changed while this was suspended.
        // cppcheck-suppress identicalInnerCondition
        else if (state->accepting)
        {
            pause.expires_after(accept_pause);
            co_await pause.async_wait(into(failure));
        }
    }
}

} // namespace

void admit(gateway_ptr const& state, tcp::socket accepted)
{
    io_error failure;
    net::ip::address const address =
        accepted.remote_endpoint(failure).address();
    if (!failure)
    {
        accepted.non_blocking(true, failure);
    }
    if (!failure)
    {
        accepted.set_option(tcp::no_delay(true), failure);
    }
    if (failure)
    {
        return;
    }
    if (!has_room(*state, address))
    {
        turn_away(accepted);
        return;
    }
    caller_ptr const from = std::make_shared<caller>(
        state->context, std::move(accepted), buffer_bytes);
    from->address = address;
    ++state->per_address[address];
    state->callers.insert(from);
    spawn_session(state, from);
}

void spawn_listener(gateway_ptr const& state)
{
    net::co_spawn(state->context, accept_callers(state), net::detached);
}

} // namespace cicada
