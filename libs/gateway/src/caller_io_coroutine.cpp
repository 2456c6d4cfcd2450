#include "caller_io.hpp"

#include <boost/asio/buffer.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core/error.hpp>
#include <boost/beast/http/write.hpp>

#include <array>
#include <string_view>

namespace cicada
{
namespace
{

constexpr std::size_t first_read_bytes = 512;
constexpr std::size_t linger_piece_bytes = 4096;
constexpr std::string_view continue_text = "HTTP/1.1 100 Continue\r\n\r\n";

/** Ends the limit on reading; a limit that passed is the failure. */
void end_read(caller& from, io_error& failure)
{
    disarm(from, &connection::read_limit);
    if (failure && from.read_limit.expired)
    {
        failure = beast::error::timeout;
    }
}

/** True if the caller's connection has ended in one way or the other. */
bool has_ended(caller& from, bool& readable)
{
    char byte = 0;
    io_error failure;
    std::size_t const got = from.socket.receive(
        net::buffer(&byte, 1), net::socket_base::message_peek, failure);
    if (failure == net::error::would_block)
    {
        return false;
    }
    readable = !failure && got > 0;
    return !readable;
}

net::awaitable<void>
watch_caller(gateway_ptr state, caller_ptr from, exchange_ptr request)
{
    bool readable = !request->held_whole && !request->body_consumed;
    io_error failure;
    bool gone = false;
    while (!failure && !gone && !request->watch.stopping)
    {
        bool const only_errors = readable;
        co_await from->socket.async_wait(only_errors
                                             ? net::socket_base::wait_error
                                             : net::socket_base::wait_read,
                                         into(failure));
        if (failure || request->watch.stopping)
        {
            break;
        }
        gone = only_errors || has_ended(*from, readable);
    }
    request->watch.running = false;
    request->watch.ended.notify();
    if (gone)
    {
        tell_caller_gone(*state, *request);
    }
}

} // namespace

net::awaitable<void> wait_for(change_signal& changed)
{
    io_error ignored;
    co_await changed.timer.async_wait(into(ignored));
}

net::awaitable<io_error> wait_first_byte(caller_ptr from, clock_time until)
{
    io_error failure;
    if (from->buffer.size() > 0)
    {
        co_return failure;
    }
    from->buffer.shrink_to_fit();
    arm(from, &connection::read_limit, until, on_expiry::cancel);
    co_await from->socket.async_wait(net::socket_base::wait_read,
                                     into(failure));
    if (!failure)
    {
        std::size_t const got = co_await from->socket.async_read_some(
            from->buffer.prepare(first_read_bytes), into(failure));
        from->buffer.commit(got);
    }
    end_read(*from, failure);
    co_return failure;
}

net::awaitable<io_error> read_head(caller_ptr from,
                                   gateway_limits const& limits)
{
    io_error failure;
    from->parser.emplace();
    from->parser->header_limit(limits.head_bytes);
    from->parser->body_limit(limits.body_bytes);
    clock_time const until =
        std::chrono::steady_clock::now() + limits.head_time;
    arm(from, &connection::read_limit, until, on_expiry::cancel);
    co_await http::async_read_header(
        from->socket, from->buffer, *from->parser, into(failure));
    end_read(*from, failure);
    co_return failure;
}

net::awaitable<body_piece>
read_body(caller_ptr from, std::span<char> space, clock_time until)
{
    arm(from, &connection::read_limit, until, on_expiry::cancel);
    body_piece piece = co_await read_piece(*from, *from->parser, space);
    end_read(*from, piece.failure);
    co_return piece;
}

net::awaitable<io_error> write_continue(caller_ptr from, clock_time until)
{
    io_error failure;
    arm(from, &connection::write_limit, until, on_expiry::cancel);
    co_await net::async_write(
        from->socket, net::buffer(continue_text), into(failure));
    disarm(*from, &connection::write_limit);
    co_return failure;
}

net::awaitable<io_error>
write_answer(caller_ptr from, string_answer& answer, clock_time until)
{
    io_error failure;
    arm(from, &connection::write_limit, until, on_expiry::cancel);
    co_await http::async_write(from->socket, answer, into(failure));
    disarm(*from, &connection::write_limit);
    co_return failure;
}

net::awaitable<void> linger(caller_ptr from, gateway_limits const& limits)
{
    io_error failure;
    from->socket.shutdown(tcp::socket::shutdown_send, failure);
    std::array<char, linger_piece_bytes> dropped{};
    std::size_t total = 0;
    clock_time const until =
        std::chrono::steady_clock::now() + limits.linger_time;
    arm(from, &connection::read_limit, until, on_expiry::close);
    while (!failure && total < limits.linger_bytes)
    {
        total += co_await from->socket.async_read_some(net::buffer(dropped),
                                                       into(failure));
    }
    disarm(*from, &connection::read_limit);
}

void start_watch(gateway_ptr const& state,
                 caller_ptr const& from,
                 exchange_ptr const& request)
{
    if (request->watch.running)
    {
        return;
    }
    request->watch.running = true;
    request->watch.stopping = false;
    net::co_spawn(
        state->context, watch_caller(state, from, request), net::detached);
}

net::awaitable<void> stop_watch(caller_ptr from, exchange_ptr request)
{
    request->watch.stopping = true;
    io_error ignored;
    from->socket.cancel(ignored);
    while (request->watch.running)
    {
        co_await wait_for(request->watch.ended);
    }
}

} // namespace cicada
