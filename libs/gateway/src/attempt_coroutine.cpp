#include "attempt.hpp"

#include <boost/asio/write.hpp>
#include <boost/beast/http/write.hpp>

#include <algorithm>

namespace cicada
{
namespace
{

constexpr std::size_t endpoint_buffer_bytes = 64 * 1024;
constexpr unsigned first_final_status = 200;

attempt_outcome without_answer(attempt_result result)
{
    attempt_outcome outcome;
    outcome.ended.result = result;
    return outcome;
}

clock_time connect_deadline(attempt const& work)
{
    milliseconds limit = work.state->settings.limits.connect_time;
    if (work.order.grant.start_within > milliseconds(0))
    {
        limit = std::min(limit, work.order.grant.start_within);
    }
    return std::min(work.deadline, std::chrono::steady_clock::now() + limit);
}

net::awaitable<bool> connect(attempt_ptr work)
{
    address const& where = work->order.grant.where;
    io_error failure;
    net::ip::address const host = net::ip::make_address(where.host, failure);
    if (failure)
    {
        co_return false;
    }
    arm(work->endpoint,
        &connection::write_limit,
        connect_deadline(*work),
        on_expiry::close);
    co_await work->endpoint->socket.async_connect(
        tcp::endpoint(host, where.port), into(failure));
    disarm(*work->endpoint, &connection::write_limit);
    if (!failure)
    {
        work->endpoint->socket.set_option(tcp::no_delay(true), failure);
    }
    co_return !failure && !work->request->aborted;
}

/** Sends the head and what is held; the number of bytes that went out. */
net::awaitable<std::size_t> send_beginning(attempt_ptr work)
{
    tcp::socket& socket = work->endpoint->socket;
    std::string& held = work->request->held;
    io_error ignored;
    work->digest.add(held);
    if (held.empty() && !work->request->held_whole)
    {
        co_return co_await http::async_write_header(
            socket, work->sender, into(ignored));
    }
    work->head.body().data = held.empty() ? nullptr : held.data();
    work->head.body().size = held.size();
    co_return co_await http::async_write(socket, work->sender, into(ignored));
}

bool is_own_answer(attempt const& work)
{
    answer_head const& head = work.answer.get();
    beast::string_view const id = head["Cicada-Attempt"];
    if (head.count("Cicada-Attempt") != 1)
    {
        return false;
    }
    return head.result_int() >= first_final_status && !work.answer.need_eof() &&
           id == work.order.grant.attempt.value;
}

net::awaitable<attempt_outcome> carry_out(attempt_ptr work)
{
    bool const connected = co_await connect(work);
    if (!connected)
    {
        co_return without_answer(attempt_result::not_run);
    }
    std::size_t const sent = co_await send_beginning(work);
    if (sent == 0)
    {
        co_return without_answer(attempt_result::not_run);
    }
    if (!work->request->held_whole)
    {
        co_await stop_watch(work->from, work->request);
        start_pump(work);
    }
    io_error failure;
    co_await http::async_read_header(work->endpoint->socket,
                                     work->endpoint->buffer,
                                     work->answer,
                                     into(failure));
    if (failure || !is_own_answer(*work))
    {
        co_return without_answer(attempt_result::unknown);
    }
    co_return co_await relay_answer(work);
}

} // namespace

attempt::attempt(gateway_ptr state,
                 caller_ptr from,
                 exchange_ptr request,
                 start_attempt order)
    : state(std::move(state)), from(std::move(from)),
      request(std::move(request)), order(std::move(order)),
      deadline(std::chrono::steady_clock::now() + this->order.time_limit),
      endpoint(std::make_shared<connection>(this->state->context,
                                            endpoint_buffer_bytes)),
      head(make_endpoint_head(
          *this->request, *this->from->parser, this->order.grant)),
      sender(this->head), pumped(this->state->context)
{
    this->answer.header_limit(this->state->settings.limits.head_bytes);
    this->answer.body_limit(this->state->settings.limits.answer_bytes);
}

net::awaitable<attempt_outcome> run_attempt(gateway_ptr state,
                                            caller_ptr from,
                                            exchange_ptr request,
                                            start_attempt order)
{
    attempt_outcome outcome = without_answer(attempt_result::not_run);
    if (request->held_whole || !request->body_consumed)
    {
        attempt_ptr const work =
            std::make_shared<attempt>(state, from, request, order);
        request->running = order.grant.attempt;
        request->aborted = false;
        request->endpoint = work->endpoint;
        arm(work->endpoint,
            &connection::read_limit,
            work->deadline,
            on_expiry::close);
        outcome = co_await carry_out(work);
        co_await stop_pump(work);
        disarm(*work->endpoint, &connection::read_limit);
        close_now(*work->endpoint);
        request->endpoint = nullptr;
        request->running.reset();
        if (work->caller_fault && !request->answer)
        {
            request->answer = work->caller_fault;
        }
    }
    outcome.ended.request = order.request;
    outcome.ended.attempt = order.grant.attempt;
    outcome.ended.body_consumed = request->body_consumed;
    co_return outcome;
}

} // namespace cicada
