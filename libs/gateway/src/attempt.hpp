#pragma once

#include "attempt_head.hpp"
#include "caller_io.hpp"
#include "digest.hpp"

#include <boost/beast/http/serializer.hpp>

/** One sending of a request to an endpoint, and its answer's way back. */
namespace cicada
{

using answer_parser = http::response_parser<http::buffer_body>;

/** What the parts of one attempt share. */
struct attempt
{
    attempt(gateway_ptr state,
            caller_ptr from,
            exchange_ptr request,
            start_attempt order);

    gateway_ptr state;
    caller_ptr from;
    exchange_ptr request;
    start_attempt order;
    clock_time deadline;
    std::shared_ptr<connection> endpoint;
    endpoint_head head;
    http::request_serializer<http::buffer_body> sender;
    answer_parser answer;
    running_digest digest; //!< of the body as it was sent
    bool pumping = false;
    bool pump_stopping = false;
    change_signal pumped;
    std::optional<answer_problem> caller_fault; //!< its body broke off
};

using attempt_ptr = std::shared_ptr<attempt>;

/** How an attempt ended, for the reducer and for the caller's connection. */
struct attempt_outcome
{
    attempt_ended ended;
    bool over = false;       //!< the caller has its answer, or never will
    bool keep_alive = false; //!< when `over`: another request may follow
};

/** Sends the request, and its answer to the caller. */
net::awaitable<attempt_outcome> run_attempt(gateway_ptr state,
                                            caller_ptr from,
                                            exchange_ptr request,
                                            start_attempt order);

/** Starts to send the rest of the body while the answer is read. */
void start_pump(attempt_ptr const& work);

/** After this nothing is read from the caller. */
net::awaitable<void> stop_pump(attempt_ptr work);

/** Passes a checked answer on; fills all but the ids of the outcome. */
net::awaitable<attempt_outcome> relay_answer(attempt_ptr work);

} // namespace cicada
