#pragma once

#include "protocol/protocol.hpp"

#include <memory>

/**
 * Sends orders to workers and endpoints over HTTP. docs/CONTRACTS.md specifies
 * the protocol that they implement.
 */
namespace cicada
{

/** An order and the agent to send it to. */
struct agent_call
{
    std::string agent; //!< the instance's name
    address where;
    agent_order order;
    milliseconds time_limit{0}; //!< until the answer is complete

    bool operator==(agent_call const&) const = default;
};

/**
 * Receives the agent's answer, which may be a refusal. Errors: unavailable, the
 * agent has not accepted the order; unknown, the agent may have accepted it or
 * may still do so; refused, the agent doesn't support the order.
 */
using agent_handler = std::function<void(result<agent_answer> const& answer)>;

/** Counters since construction; `in_flight` is the current value. */
struct agent_counters
{
    std::uint64_t calls = 0;
    std::uint64_t in_flight = 0;
    std::uint64_t over_limit = 0;  //!< not sent: max_in_flight reached
    std::uint64_t timeouts = 0;    //!< no complete answer within the limit
    std::uint64_t failures = 0;    //!< other errors
    std::uint64_t connections = 0; //!< HTTP clients created

    bool operator==(agent_counters const&) const = default;
};

/**
 * Sends calls to all agents. Syncs to one agent share a persistent connection,
 * which is dropped once a call on it fails or times out, because the connection
 * may be dead. Each start or cancel uses a new connection, because the HTTP
 * library retries requests by itself on a connection that it reuses.
 *
 * Thread-safe. Each handler is called at most once, on a thread of the HTTP
 * library, and must neither block nor throw.
 */
class agent_client
{
public:
    /** Calls beyond `max_in_flight` at a time fail with `unavailable`. */
    explicit agent_client(std::size_t max_in_flight = 1000);

    /** Calls stop(). */
    ~agent_client();

    agent_client(agent_client const&) = delete;
    agent_client& operator=(agent_client const&) = delete;

    /** Sends an order. The handler is called unless stop() comes first. */
    void send(agent_call const& call, agent_handler handler);

    agent_counters counters() const;

    /** Drops all calls in flight. No handler runs after it has returned. */
    void stop();

private:
    class core;
    std::shared_ptr<core> implementation;
};

} // namespace cicada
