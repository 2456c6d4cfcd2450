#include "attempt.hpp"
#include "problem.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/beast/core/error.hpp>
#include <boost/beast/http/write.hpp>

#include <algorithm>
#include <vector>

namespace cicada
{
namespace
{

constexpr std::size_t piece_bytes = 32 * 1024;

answer_problem make_fault(exchange const& request, int status, char const* code)
{
    answer_problem fault =
        make_problem(status, code, "the body ended early or breaks its rules");
    fault.request = request.head.arrival.request;
    fault.outcome = request_outcome::unknown;
    return fault;
}

/** What is wrong with the caller's body; nothing if the caller is gone. */
std::optional<answer_problem> fault_of(exchange const& request,
                                       io_error const& failure)
{
    if (failure == beast::error::timeout)
    {
        return make_fault(request, 408, "body_timeout");
    }
    if (failure == http::error::body_limit)
    {
        return make_fault(request, 413, "body_too_large");
    }
    bool const malformed = failure.category() ==
                           make_error_code(http::error::bad_chunk).category();
    if (malformed && failure != http::error::partial_message &&
        failure != http::error::end_of_stream)
    {
        return make_fault(request, 400, "malformed_body");
    }
    return std::nullopt;
}

/** True if the body is whole, but not what the caller said it is. */
bool breaks_digest(attempt const& work, body_piece const& piece)
{
    std::string const& claimed = work.request->head.body_digest;
    return piece.last && !claimed.empty() && work.digest.value() != claimed;
}

/** Sends one piece; the endpoint's failure shows when its answer is read. */
net::awaitable<bool>
send_piece(attempt_ptr work, char* data, body_piece const& piece)
{
    http::buffer_body::value_type& body = work->head.body();
    body.data = piece.bytes > 0 ? data : nullptr;
    body.size = piece.bytes;
    body.more = !piece.last;
    io_error failure;
    co_await http::async_write(
        work->endpoint->socket, work->sender, into(failure));
    co_return !failure || failure == http::error::need_buffer;
}

/** Reads and sends one piece; false: no more is to be sent. */
net::awaitable<bool> pump_piece(attempt_ptr work, std::vector<char>& space)
{
    clock_time const idle = std::chrono::steady_clock::now() +
                            work->state->settings.limits.body_idle;
    body_piece const piece =
        co_await read_body(work->from, space, std::min(idle, work->deadline));
    if (work->pump_stopping)
    {
        co_return false;
    }
    work->digest.add({space.data(), piece.bytes});
    bool const wrong = !piece.failure && breaks_digest(*work, piece);
    if (piece.failure || wrong)
    {
        work->caller_fault =
            wrong ? make_fault(*work->request, 400, "digest_mismatch")
                  : fault_of(*work->request, piece.failure);
        close_now(*work->endpoint);
        if (!work->caller_fault)
        {
            tell_caller_gone(*work->state, *work->request);
        }
        co_return false;
    }
    work->request->body_consumed = true;
    bool const sent = co_await send_piece(work, space.data(), piece);
    co_return sent && !piece.last;
}

net::awaitable<void> pump(attempt_ptr work)
{
    std::vector<char> space(piece_bytes);
    work->from->buffer.reserve(piece_bytes);
    bool more = true;
    while (more && !work->pump_stopping)
    {
        more = co_await pump_piece(work, space);
    }
    work->pumping = false;
    work->pumped.notify();
    if (work->from->parser->is_done() && !work->pump_stopping)
    {
        start_watch(work->state, work->from, work->request);
    }
}

} // namespace

void start_pump(attempt_ptr const& work)
{
    work->pumping = true;
    net::co_spawn(work->state->context, pump(work), net::detached);
}

net::awaitable<void> stop_pump(attempt_ptr work)
{
    work->pump_stopping = true;
    while (work->pumping)
    {
        close_now(*work->endpoint);
        io_error ignored;
        work->from->socket.cancel(ignored);
        co_await wait_for(work->pumped);
    }
}

} // namespace cicada
