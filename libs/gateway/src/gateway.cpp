#include "gateway/gateway.hpp"

#include "state.hpp"

#include <boost/asio/post.hpp>

#include <algorithm>

namespace cicada
{
namespace
{

/** For a connection just made to send its first request at a stop. */
constexpr milliseconds first_request_grace{500};

/** Opens, binds and listens; the first step that fails says why. */
io_error listen(tcp::acceptor& acceptor, address const& where)
{
    io_error failure;
    net::ip::address const host = net::ip::make_address(where.host, failure);
    if (failure)
    {
        return failure;
    }
    tcp::endpoint const local(host, where.port);
    acceptor.open(local.protocol(), failure);
    if (!failure)
    {
        acceptor.set_option(tcp::acceptor::reuse_address(true), failure);
    }
    if (!failure)
    {
        acceptor.bind(local, failure);
    }
    if (!failure)
    {
        acceptor.listen(tcp::acceptor::max_listen_connections, failure);
    }
    if (!failure)
    {
        acceptor.non_blocking(true, failure);
    }
    return failure;
}

/** Nobody has this request: its slot goes back unused. */
void refuse_start(gateway_ptr const& state, start_attempt const& order)
{
    attempt_ended ended;
    ended.request = order.request;
    ended.attempt = order.grant.attempt;
    ended.result = attempt_result::not_run;
    net::post(state->context,
              [state, ended]()
              {
                  tell(*state, ended);
              });
}

exchange_ptr find_exchange(gateway_state const& state, request_id const& name)
{
    auto const found = state.exchanges.find(name);
    return found == state.exchanges.end() ? nullptr : found->second;
}

/** Callers whose connections were made, but not yet accepted. */
void accept_backlog(gateway_ptr const& state)
{
    io_error failure;
    while (!failure)
    {
        tcp::socket accepted(state->context);
        state->acceptor.accept(accepted, failure);
        if (!failure)
        {
            admit(state, std::move(accepted));
        }
    }
}

/** True if a next request is not already on its way in. */
bool is_quiet(caller const& from)
{
    io_error failure;
    std::size_t const waiting = from.socket.available(failure);
    return failure || (waiting == 0 && from.buffer.size() == 0);
}

} // namespace

responder::responder(std::shared_ptr<other_exchange> exchange)
    : exchange(std::move(exchange))
{
}

void responder::reply(other_answer answer) const
{
    if (!this->exchange->answer)
    {
        this->exchange->answer = std::move(answer);
        this->exchange->changed.notify();
    }
}

result<std::unique_ptr<gateway>> gateway::open(boost::asio::io_context& context,
                                               gateway_settings const& settings,
                                               gateway_handlers handlers)
{
    gateway_ptr const state =
        std::make_shared<gateway_state>(context, settings, std::move(handlers));
    io_error const failure = listen(state->acceptor, settings.listen);
    if (failure)
    {
        return error{error_code::unavailable,
                     to_string(settings.listen) + ": " + failure.message()};
    }
    spawn_listener(state);
    return std::unique_ptr<gateway>(new gateway(state));
}

gateway::gateway(std::shared_ptr<gateway_state> state) : state(std::move(state))
{
}

gateway::~gateway()
{
    this->close();
}

address gateway::where() const
{
    io_error failure;
    tcp::endpoint const local = this->state->acceptor.local_endpoint(failure);
    return {local.address().to_string(), local.port()};
}

void gateway::start(start_attempt const& order)
{
    exchange_ptr const request = find_exchange(*this->state, order.request);
    if (!request || request->running || request->start)
    {
        refuse_start(this->state, order);
        return;
    }
    request->start = order;
    request->changed.notify();
}

void gateway::answer(answer_problem const& problem)
{
    exchange_ptr const request = find_exchange(*this->state, problem.request);
    if (request && !request->answer)
    {
        request->answer = problem;
        request->changed.notify();
    }
}

void gateway::abort(abort_attempt const& order)
{
    exchange_ptr const request = find_exchange(*this->state, order.request);
    if (!request)
    {
        return;
    }
    if (request->start && request->start->grant.attempt == order.attempt)
    {
        refuse_start(this->state, *request->start);
        request->start.reset();
    }
    if (request->running == order.attempt)
    {
        request->aborted = true;
        close_now(*request->endpoint);
    }
}

void gateway::stop_accepting()
{
    if (!this->state->accepting)
    {
        return;
    }
    accept_backlog(this->state);
    this->state->accepting = false;
    io_error ignored;
    this->state->acceptor.close(ignored);
    for (caller_ptr const& from : this->state->callers)
    {
        if (from->phase == caller_phase::idle && is_quiet(*from))
        {
            close_now(*from);
        }
        if (from->phase == caller_phase::fresh)
        {
            arm(from,
                &connection::read_limit,
                std::chrono::steady_clock::now() + first_request_grace,
                on_expiry::cancel);
        }
    }
}

int gateway::in_flight() const
{
    auto const busy = [](caller_ptr const& from)
    {
        return from->phase == caller_phase::busy;
    };
    return static_cast<int>(std::count_if(
        this->state->callers.begin(), this->state->callers.end(), busy));
}

void gateway::close()
{
    this->state->closed = true;
    this->state->accepting = false;
    io_error ignored;
    this->state->acceptor.close(ignored);
    for (auto const& [name, request] : this->state->exchanges)
    {
        if (request->endpoint)
        {
            close_now(*request->endpoint);
        }
        request->changed.notify();
    }
    for (caller_ptr const& from : this->state->callers)
    {
        close_now(*from);
    }
}

} // namespace cicada
