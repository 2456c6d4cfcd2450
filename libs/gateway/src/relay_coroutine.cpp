#include "attempt.hpp"

#include <boost/beast/http/write.hpp>

#include <algorithm>
#include <vector>

namespace cicada
{
namespace
{

constexpr std::size_t piece_bytes = 32 * 1024;

/** An answer on its way to a caller that may go away meanwhile. */
struct relay
{
    attempt_ptr work;
    answer_head head;
    http::response_serializer<http::buffer_body> sender{head};
    bool keep_alive = false;
};

clock_time write_deadline(attempt const& work)
{
    return std::chrono::steady_clock::now() +
           work.state->settings.limits.body_idle;
}

bool may_keep_alive(attempt const& work)
{
    body_parser const& parser = *work.from->parser;
    return work.state->accepting && parser.keep_alive() && parser.is_done();
}

attempt_outcome answered(attempt const& work)
{
    attempt_outcome outcome;
    outcome.ended.result = attempt_result::answered;
    outcome.ended.status = static_cast<int>(work.answer.get().result_int());
    outcome.over = true;
    return outcome;
}

/** Writes what is held of an answer that is whole. */
net::awaitable<attempt_outcome> relay_held(attempt_ptr work, std::string body)
{
    int const status = static_cast<int>(work->answer.get().result_int());
    std::optional<attempt_result> const refusal = read_refusal(status, body);
    attempt_outcome outcome = answered(*work);
    co_await stop_pump(work);
    if (refusal)
    {
        outcome.ended.result = *refusal;
        outcome.over = false;
        co_return outcome;
    }
    string_answer answer(make_caller_head(*work->request, work->answer.get()));
    answer.body() = std::move(body);
    answer.prepare_payload();
    outcome.keep_alive = may_keep_alive(*work);
    answer.keep_alive(outcome.keep_alive);
    outcome.ended.answer_started = true;
    io_error const failure =
        co_await write_answer(work->from, answer, write_deadline(*work));
    if (failure)
    {
        outcome.keep_alive = false;
        tell_caller_gone(*work->state, *work->request);
    }
    co_return outcome;
}

/** Writes a piece, unless the caller is gone. */
net::awaitable<void> write_piece(relay& way, char* data, body_piece piece)
{
    attempt& work = *way.work;
    if (work.request->caller_gone)
    {
        co_return;
    }
    http::buffer_body::value_type& body = way.head.body();
    body.data = piece.bytes > 0 ? data : nullptr;
    body.size = piece.bytes;
    body.more = !piece.last;
    io_error failure;
    arm(work.from,
        &connection::write_limit,
        write_deadline(work),
        on_expiry::cancel);
    co_await http::async_write(work.from->socket, way.sender, into(failure));
    disarm(*work.from, &connection::write_limit);
    if (failure && failure != http::error::need_buffer)
    {
        tell_caller_gone(*work.state, *work.request);
    }
}

void begin_relay(relay& way)
{
    attempt const& work = *way.work;
    answer_head::header_type& fields = way.head.base();
    fields = make_caller_head(*work.request, work.answer.get());
    if (work.answer.chunked())
    {
        way.head.chunked(true);
    }
    else
    {
        way.head.content_length(work.answer.content_length());
    }
    way.keep_alive = may_keep_alive(work);
    way.head.keep_alive(way.keep_alive);
}

/** Passes on an answer that is too large to be held. */
net::awaitable<attempt_outcome> relay_streamed(attempt_ptr work,
                                               std::string held)
{
    relay way{work, {}};
    begin_relay(way);
    attempt_outcome outcome = answered(*work);
    outcome.ended.answer_started = true;
    body_piece piece;
    piece.bytes = held.size();
    co_await write_piece(way, held.data(), piece);
    held = std::string();
    std::vector<char> space(piece_bytes);
    while (!piece.last && !piece.failure)
    {
        piece = co_await read_piece(*work->endpoint, work->answer, space);
        if (!piece.failure)
        {
            co_await write_piece(way, space.data(), piece);
        }
    }
    if (piece.failure)
    {
        outcome.ended.result = attempt_result::unknown;
        outcome.ended.status = 0;
    }
    co_await stop_pump(work);
    outcome.keep_alive =
        way.keep_alive && piece.last && !work->request->caller_gone;
    co_return outcome;
}

} // namespace

net::awaitable<attempt_outcome> relay_answer(attempt_ptr work)
{
    std::string held;
    body_piece piece;
    piece.last = work->answer.is_done();
    while (!piece.last && !piece.failure && held.size() <= held_answer_bytes)
    {
        std::size_t const before = held.size();
        std::size_t const wanted = std::min<std::uint64_t>(
            work->answer.content_length_remaining().value_or(piece_bytes),
            piece_bytes);
        held.resize(before + wanted);
        std::span<char> const space(held.data() + before, wanted);
        piece = co_await read_piece(*work->endpoint, work->answer, space);
        held.resize(before + piece.bytes);
    }
    if (piece.failure)
    {
        co_return attempt_outcome();
    }
    if (piece.last)
    {
        co_return co_await relay_held(work, std::move(held));
    }
    co_return co_await relay_streamed(work, std::move(held));
}

} // namespace cicada
