#pragma once

#include "agents/agents.hpp"

#include <boost/asio/steady_timer.hpp>
#include <cpprest/http_client.h>

#include <condition_variable>
#include <mutex>

namespace cicada
{

using http_client = web::http::client::http_client;
using http_client_ptr = std::shared_ptr<http_client>;

/** An HTTP response with its complete body. */
struct http_answer
{
    int status = 0;
    std::string body;
};

/** A call in flight. */
struct pending_call
{
    pending_call(boost::asio::io_context& io,
                 agent_call call,
                 agent_handler handler)
        : call(std::move(call)), handler(std::move(handler)), timer(io)
    {
    }

    agent_call call;
    agent_handler handler;
    http_client_ptr client;
    bool reused = false; //!< the HTTP client has sent earlier calls
    pplx::cancellation_token_source cancel;
    boost::asio::steady_timer timer; //!< expires at the call's time limit
    bool finished = false;           //!< guarded by core::mutex
};

using pending_ptr = std::shared_ptr<pending_call>;

/**
 * The implementation of agent_client. Callbacks of calls in flight share its
 * ownership.
 */
class agent_client::core
    : public std::enable_shared_from_this<agent_client::core>
{
public:
    explicit core(std::size_t max_in_flight);

    void send(agent_call const& call, agent_handler handler);
    agent_counters counters() const;
    void stop();

private:
    struct cached_client
    {
        address where;
        http_client_ptr client;
    };

    /** Registers the call, unless stopped; false if it must not be sent. */
    bool admit(pending_ptr const& pending);
    http_client_ptr client_for(pending_call& pending);
    http_client_ptr make_client(address const& where, milliseconds time_limit);
    void start_timer(pending_ptr const& pending);
    void request(pending_ptr const& pending);
    void handle_answer(pending_ptr const& pending,
                       pplx::task<http_answer> const& response_task);
    /**
     * Ends the call and runs its handler, unless the call has finished or the
     * client has stopped. `failure_counter` is null on success.
     */
    void finish(pending_ptr const& pending,
                result<agent_answer> const& answer,
                std::uint64_t agent_counters::*failure_counter);
    void evict_client(pending_call const& pending);

    std::size_t const max_in_flight;
    mutable std::mutex mutex;
    std::condition_variable handlers_finished;
    agent_counters counts;
    std::map<std::string, cached_client> clients; //!< by agent; syncs only
    std::set<pending_ptr> in_flight_calls;
    int running_handlers = 0;
    bool stopped = false;
};

} // namespace cicada
