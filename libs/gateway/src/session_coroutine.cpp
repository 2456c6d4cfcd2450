#include "attempt.hpp"
#include "problem.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/beast/core/error.hpp>

#include <algorithm>

namespace cicada
{
namespace
{

constexpr std::size_t piece_bytes = 16 * 1024;
constexpr milliseconds full_retry_after{1'000};

clock_time after(milliseconds wait)
{
    return std::chrono::steady_clock::now() + wait;
}

/** What can still be said to a caller whose request broke off. */
std::optional<answer_problem> problem_of(io_error const& failure)
{
    if (failure == beast::error::timeout)
    {
        return make_problem(
            408, "request_timeout", "the request came too slowly");
    }
    if (failure == http::error::header_limit ||
        failure == http::error::buffer_overflow)
    {
        return make_problem(431, "head_too_large", "the head is too large");
    }
    if (failure == http::error::body_limit)
    {
        return make_problem(413, "body_too_large", "the body is too large");
    }
    bool const lost = failure == http::error::end_of_stream ||
                      failure == http::error::partial_message;
    bool const parsing = failure.category() ==
                         make_error_code(http::error::bad_value).category();
    if (parsing && !lost)
    {
        return make_problem(400, "malformed_request", failure.message());
    }
    return std::nullopt;
}

/** Writes a problem; true if another request may follow. */
net::awaitable<bool>
refuse(gateway_ptr state, caller_ptr from, answer_problem problem)
{
    gateway_limits const& limits = state->settings.limits;
    string_answer answer;
    answer.result(static_cast<unsigned>(problem.status));
    answer.set(http::field::content_type, "application/problem+json");
    answer.set("Cicada-Outcome", to_string(problem.outcome));
    if (!problem.request.empty())
    {
        answer.set("Cicada-Request", problem.request.value);
    }
    if (problem.retry_after > milliseconds(0))
    {
        answer.set(http::field::retry_after,
                   retry_after_seconds(problem.retry_after));
    }
    bool const whole = from->parser->is_done();
    bool const again = whole && from->parser->keep_alive() && state->accepting;
    answer.keep_alive(again);
    answer.body() = problem_json(problem);
    answer.prepare_payload();
    io_error const failure =
        co_await write_answer(from, answer, after(limits.body_idle));
    if (!failure && !whole)
    {
        co_await linger(from, limits);
    }
    co_return again && !failure;
}

/** Answers a request that broke off, if there is anybody to answer. */
net::awaitable<bool>
refuse_broken(gateway_ptr state, caller_ptr from, io_error failure)
{
    std::optional<answer_problem> const problem = problem_of(failure);
    if (problem)
    {
        co_await refuse(state, from, *problem);
    }
    co_return false;
}

/** Reads the body into `held`, up to and a little over a limit. */
net::awaitable<io_error> hold_body(gateway_ptr state,
                                   caller_ptr from,
                                   std::string& held,
                                   std::size_t limit)
{
    gateway_limits const& limits = state->settings.limits;
    clock_time const end = after(limits.held_body_time);
    body_piece piece;
    while (!from->parser->is_done() && held.size() <= limit && !piece.failure)
    {
        std::size_t const before = held.size();
        std::size_t const wanted = std::min<std::uint64_t>(
            from->parser->content_length_remaining().value_or(piece_bytes),
            piece_bytes);
        held.resize(before + wanted);
        std::span<char> const space(held.data() + before, wanted);
        piece = co_await read_body(
            from, space, std::min(end, after(limits.body_idle)));
        held.resize(before + piece.bytes);
    }
    held.shrink_to_fit();
    co_return piece.failure;
}

/** True if a body of this length, where it is known, is to be held. */
bool fits_in(body_parser const& parser, std::size_t limit)
{
    boost::optional<std::uint64_t> const length = parser.content_length();
    return !length || *length <= limit;
}

/** What the held part of a body can come to. */
std::size_t bytes_to_hold(body_parser const& parser)
{
    std::uint64_t const length = parser.chunked()
                                     ? replay_limit_bytes
                                     : parser.content_length().value_or(0);
    return length > replay_limit_bytes ? 0 : length;
}

/** Sends "100 Continue" to a caller that waits for it. */
net::awaitable<io_error> invite_body(gateway_ptr state, caller_ptr from)
{
    beast::string_view const expected =
        from->parser->get()[http::field::expect];
    if (!beast::iequals(expected, "100-continue") || from->parser->is_done())
    {
        co_return io_error();
    }
    co_return co_await write_continue(from,
                                      after(state->settings.limits.body_idle));
}

request_id next_request_id(gateway_state& state)
{
    ++state.last_request;
    return {state.settings.self.value + "-" +
            std::to_string(state.settings.incarnation) + "-" +
            std::to_string(state.last_request)};
}

/** Fills in what the body tells; a wrong digest is a problem. */
std::optional<answer_problem> finish_arrival(exchange& request)
{
    request_arrived& arrival = request.head.arrival;
    std::string const& claimed = request.head.body_digest;
    arrival.replayable = request.held_whole;
    arrival.body_digest =
        request.held_whole ? digest_of(request.held) : claimed;
    if (!claimed.empty() && claimed != arrival.body_digest)
    {
        return make_problem(400,
                            "digest_mismatch",
                            "the body is not that of Cicada-Body-Digest");
    }
    return std::nullopt;
}

/** Says that an ordered attempt wasn't begun. */
void return_unused(gateway_state& state, exchange& request)
{
    if (!request.start)
    {
        return;
    }
    attempt_ended ended;
    ended.request = request.start->request;
    ended.attempt = request.start->grant.attempt;
    ended.result = attempt_result::not_run;
    ended.body_consumed = request.body_consumed;
    request.start.reset();
    tell(state, ended);
}

net::awaitable<void> wait_for_order(gateway_state& state, exchange& request)
{
    while (!request.start && !request.answer && !request.caller_gone &&
           !state.closed)
    {
        co_await wait_for(request.changed);
    }
}

/** Follows the reducer's orders until the caller has its answer. */
net::awaitable<bool>
follow_orders(gateway_ptr state, caller_ptr from, exchange_ptr request)
{
    while (true)
    {
        start_watch(state, from, request);
        co_await wait_for_order(*state, *request);
        if (state->closed || request->caller_gone)
        {
            co_return false;
        }
        if (request->answer)
        {
            co_await stop_watch(from, request);
            co_return co_await refuse(state, from, *request->answer);
        }
        start_attempt const order = *request->start;
        request->start.reset();
        attempt_outcome const outcome =
            co_await run_attempt(state, from, request, order);
        tell(*state, outcome.ended);
        if (outcome.over)
        {
            co_return outcome.keep_alive;
        }
    }
}

net::awaitable<bool>
serve_run(gateway_ptr state, caller_ptr from, run_head head)
{
    exchange_ptr const request = std::make_shared<exchange>(state->context);
    request->head = std::move(head);
    held_share const share(state, bytes_to_hold(*from->parser));
    if (!share.granted())
    {
        answer_problem full =
            make_problem(503, "bodies_full", "too many bodies wait here");
        full.retry_after = full_retry_after;
        co_return co_await refuse(state, from, full);
    }
    io_error failure = co_await invite_body(state, from);
    if (!failure && fits_in(*from->parser, replay_limit_bytes))
    {
        failure =
            co_await hold_body(state, from, request->held, replay_limit_bytes);
    }
    if (failure)
    {
        co_return co_await refuse_broken(state, from, failure);
    }
    request->held_whole = from->parser->is_done();
    std::optional<answer_problem> const problem = finish_arrival(*request);
    if (problem)
    {
        co_return co_await refuse(state, from, *problem);
    }
    request_id const name = next_request_id(*state);
    request->head.arrival.request = name;
    state->exchanges.emplace(name, request);
    tell(*state, request->head.arrival);
    bool const again = co_await follow_orders(state, from, request);
    co_await stop_watch(from, request);
    state->exchanges.erase(name);
    return_unused(*state, *request);
    co_return again;
}

net::awaitable<bool>
write_other(gateway_ptr state, caller_ptr from, other_answer const& reply)
{
    string_answer answer;
    answer.result(static_cast<unsigned>(reply.status));
    answer.set(http::field::content_type, reply.content_type);
    for (header_field const& field : reply.headers)
    {
        answer.insert(field.name, field.value);
    }
    bool const again = from->parser->keep_alive() && state->accepting;
    answer.keep_alive(again);
    answer.body() = reply.body;
    answer.prepare_payload();
    io_error const failure = co_await write_answer(
        from, answer, after(state->settings.limits.body_idle));
    co_return again && !failure;
}

net::awaitable<bool>
serve_other(gateway_ptr state, caller_ptr from, other_request call)
{
    gateway_limits const& limits = state->settings.limits;
    io_error failure;
    if (!fits_in(*from->parser, limits.other_body_bytes))
    {
        failure = http::error::body_limit;
    }
    if (!failure)
    {
        failure = co_await invite_body(state, from);
    }
    if (!failure)
    {
        failure =
            co_await hold_body(state, from, call.body, limits.other_body_bytes);
    }
    if (!failure && call.body.size() > limits.other_body_bytes)
    {
        failure = http::error::body_limit;
    }
    if (failure)
    {
        co_return co_await refuse_broken(state, from, failure);
    }
    std::shared_ptr<other_exchange> const exchange =
        std::make_shared<other_exchange>(state->context);
    state->handlers.on_other(call, responder(exchange));
    exchange->changed.timer.expires_after(limits.other_answer_time);
    if (!exchange->answer)
    {
        co_await wait_for(exchange->changed);
    }
    if (!exchange->answer)
    {
        answer_problem problem =
            make_problem(504, "no_answer_in_time", "no answer in time");
        problem.outcome = request_outcome::unknown;
        co_return co_await refuse(state, from, problem);
    }
    co_return co_await write_other(state, from, *exchange->answer);
}

/** Serves one request; true if another may follow. */
net::awaitable<bool> serve_one(gateway_ptr state, caller_ptr from)
{
    gateway_limits const& limits = state->settings.limits;
    io_error failure =
        co_await wait_first_byte(from, after(limits.keep_alive_idle));
    if (failure || state->closed)
    {
        co_return false;
    }
    from->phase = caller_phase::busy;
    failure = co_await read_head(from, limits);
    if (failure)
    {
        co_return co_await refuse_broken(state, from, failure);
    }
    checked_head const head =
        check_head(from->parser->get(), from->parser->chunked());
    if (std::holds_alternative<answer_problem>(head))
    {
        co_return co_await refuse(state, from, std::get<answer_problem>(head));
    }
    if (std::holds_alternative<run_head>(head))
    {
        co_return co_await serve_run(state, from, std::get<run_head>(head));
    }
    co_return co_await serve_other(state, from, std::get<other_request>(head));
}

void leave(gateway_state& state, caller_ptr const& from)
{
    close_now(*from);
    auto const count = state.per_address.find(from->address);
    --count->second;
    if (count->second == 0)
    {
        state.per_address.erase(count);
    }
    state.callers.erase(from);
}

net::awaitable<void> serve_caller(gateway_ptr state, caller_ptr from)
{
    bool again = true;
    while (again && !state->closed)
    {
        again = co_await serve_one(state, from);
        from->parser.reset();
        from->phase = caller_phase::idle;
    }
    leave(*state, from);
}

} // namespace

void spawn_session(gateway_ptr const& state, caller_ptr const& from)
{
    net::co_spawn(state->context, serve_caller(state, from), net::detached);
}

} // namespace cicada
