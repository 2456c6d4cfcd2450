#include "client_core.hpp"

#include "answers.hpp"

#include <pplx/threadpool.h>

namespace cicada
{

namespace
{

/**
 * Added to a call's time limit to get the HTTP library's timeout, so that
 * the client's own timer always expires first.
 */
constexpr milliseconds http_library_timeout_margin{500};

boost::asio::io_context& http_io_context()
{
    return crossplat::threadpool::shared_instance().service();
}

/** True if the error means that no connection was established. */
bool never_connected(std::error_code const& code)
{
    return code == std::errc::connection_refused ||
           code == std::errc::host_unreachable ||
           code == std::errc::network_unreachable;
}

web::http::http_request make_request(agent_order const& order)
{
    web::http::http_request request(web::http::methods::POST);
    request.set_request_uri(agent_path(order));
    request.set_body(encode_agent_order(order), "application/json");
    return request;
}

error to_error(pending_call const& pending, std::exception_ptr const& thrown)
{
    try
    {
        std::rethrow_exception(thrown);
    }
    catch (web::http::http_exception const& failure)
    {
        bool const not_accepted =
            never_connected(failure.error_code()) && !pending.reused;
        return error{not_accepted ? error_code::unavailable
                                  : error_code::unknown,
                     failure.what()};
    }
    catch (std::exception const& failure)
    {
        return error{error_code::unknown, failure.what()};
    }
}

} // namespace

agent_client::core::core(std::size_t max_in_flight)
    : max_in_flight(max_in_flight)
{
}

void agent_client::core::send(agent_call const& call, agent_handler handler)
{
    pending_ptr const pending = std::make_shared<pending_call>(
        http_io_context(), call, std::move(handler));
    if (!this->admit(pending))
    {
        return;
    }
    this->start_timer(pending);
    try
    {
        this->request(pending);
    }
    catch (std::exception const& failure)
    {
        this->finish(pending,
                     error{error_code::unavailable, failure.what()},
                     &agent_counters::failures);
    }
}

bool agent_client::core::admit(pending_ptr const& pending)
{
    std::lock_guard<std::mutex> const lock(this->mutex);
    if (this->stopped)
    {
        return false;
    }
    ++this->counts.calls;
    bool const full = this->in_flight_calls.size() >= this->max_in_flight;
    this->in_flight_calls.insert(pending);
    if (full)
    {
        std::shared_ptr<core> const self = this->shared_from_this();
        boost::asio::post(http_io_context(),
                          [self, pending]
                          {
                              self->finish(pending,
                                           error{error_code::unavailable,
                                                 "too many calls in flight"},
                                           &agent_counters::over_limit);
                          });
        return false;
    }
    pending->client = this->client_for(*pending);
    return true;
}

http_client_ptr agent_client::core::client_for(pending_call& pending)
{
    agent_call const& call = pending.call;
    if (!std::holds_alternative<sync_order>(call.order))
    {
        return this->make_client(call.where, call.time_limit);
    }
    cached_client& cached = this->clients[call.agent];
    pending.reused = cached.client != nullptr && cached.where == call.where &&
                     cached.client->client_config().timeout<milliseconds>() >=
                         call.time_limit;
    if (!pending.reused)
    {
        cached = cached_client{call.where,
                               this->make_client(call.where, call.time_limit)};
    }
    return cached.client;
}

http_client_ptr agent_client::core::make_client(address const& where,
                                                milliseconds time_limit)
{
    ++this->counts.connections;
    web::http::client::http_client_config config;
    config.set_timeout(time_limit + http_library_timeout_margin);
    return std::make_shared<http_client>("http://" + to_string(where), config);
}

void agent_client::core::start_timer(pending_ptr const& pending)
{
    std::shared_ptr<core> const self = this->shared_from_this();
    pending->timer.expires_after(pending->call.time_limit);
    pending->timer.async_wait(
        [self, pending](boost::system::error_code const& aborted)
        {
            if (!aborted)
            {
                self->finish(pending,
                             error{error_code::unknown,
                                   "no complete answer within the time limit"},
                             &agent_counters::timeouts);
            }
        });
}

void agent_client::core::request(pending_ptr const& pending)
{
    std::shared_ptr<core> const self = this->shared_from_this();
    pending->client
        ->request(make_request(pending->call.order),
                  pending->cancel.get_token())
        .then(
            [](web::http::http_response const& response)
            {
                int const status = response.status_code();
                return response.extract_utf8string(true).then(
                    [status](std::string const& body)
                    {
                        return http_answer{status, body};
                    });
            })
        .then(
            [self, pending](pplx::task<http_answer> const& response_task)
            {
                self->handle_answer(pending, response_task);
            });
}

void agent_client::core::handle_answer(
    pending_ptr const& pending, pplx::task<http_answer> const& response_task)
{
    std::optional<error> failure;
    http_answer answer;
    try
    {
        answer = response_task.get();
    }
    catch (...)
    {
        failure = to_error(*pending, std::current_exception());
    }
    if (failure.has_value())
    {
        this->finish(pending, *failure, &agent_counters::failures);
        return;
    }
    this->finish(
        pending,
        interpret_answer(pending->call.order, answer.status, answer.body),
        nullptr);
}

void agent_client::core::finish(pending_ptr const& pending,
                                result<agent_answer> const& answer,
                                std::uint64_t agent_counters::*failure_counter)
{
    {
        std::lock_guard<std::mutex> const lock(this->mutex);
        if (pending->finished || this->stopped)
        {
            return;
        }
        pending->finished = true;
        this->in_flight_calls.erase(pending);
        ++this->running_handlers;
        if (failure_counter != nullptr)
        {
            ++(this->counts.*failure_counter);
            this->evict_client(*pending);
        }
    }
    pending->timer.cancel();
    if (failure_counter != nullptr)
    {
        pending->cancel.cancel();
    }
    pending->handler(answer);
    pending->handler = nullptr;
    std::lock_guard<std::mutex> const lock(this->mutex);
    --this->running_handlers;
    this->handlers_finished.notify_all();
}

void agent_client::core::evict_client(pending_call const& pending)
{
    std::map<std::string, cached_client>::iterator const found =
        this->clients.find(pending.call.agent);
    if (found != this->clients.end() && found->second.client == pending.client)
    {
        this->clients.erase(found);
    }
}

agent_counters agent_client::core::counters() const
{
    std::lock_guard<std::mutex> const lock(this->mutex);
    agent_counters out = this->counts;
    out.in_flight = this->in_flight_calls.size();
    return out;
}

void agent_client::core::stop()
{
    std::set<pending_ptr> dropped;
    {
        std::unique_lock<std::mutex> lock(this->mutex);
        this->stopped = true;
        dropped.swap(this->in_flight_calls);
        this->clients.clear();
        this->handlers_finished.wait(lock,
                                     [this]
                                     {
                                         return this->running_handlers == 0;
                                     });
    }
    for (pending_ptr const& pending : dropped)
    {
        pending->timer.cancel();
        pending->cancel.cancel();
    }
}

} // namespace cicada
