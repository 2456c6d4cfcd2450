#pragma once

#include "core/core.hpp"

#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace boost::asio
{
class io_context;
}

/**
 * The callers' HTTP interface (docs/API.md). It turns requests into the
 * reducer's events and carries out the effects that concern callers: a body
 * goes from the caller's socket to the endpoint's, and the answer back, in
 * bounded pieces. Everything runs on the thread of the one io_context passed
 * in; no function here may be called from another thread.
 */
namespace cicada
{

/** A body up to this size is held, and can be sent a second time. */
constexpr std::size_t replay_limit_bytes = 64UL * 1024;

/** An answer up to this size is read whole before the caller sees it. */
constexpr std::size_t held_answer_bytes = 64UL * 1024;

/** What callers may use of memory, descriptors and time. */
struct gateway_limits
{
    std::uint64_t body_bytes = 256ULL * 1024 * 1024; //!< of requests to run
    std::uint64_t answer_bytes = 256ULL * 1024 * 1024;
    std::uint32_t head_bytes = 16 * 1024;
    std::size_t other_body_bytes = 256UL * 1024; //!< of all other calls
    std::size_t held_bytes = 64UL * 1024 * 1024; //!< of all held bodies
    int connections = 4096;
    int connections_per_address = 4096;
    milliseconds head_time{10'000};       //!< first to last byte of a head
    milliseconds body_idle{10'000};       //!< between two pieces of a body
    milliseconds held_body_time{30'000};  //!< for a body that is held
    milliseconds keep_alive_idle{60'000}; //!< between two requests
    milliseconds connect_time{1'000};     //!< to an endpoint
    milliseconds other_answer_time{30'000};
    milliseconds linger_time{2'000}; //!< for a body that nobody reads
    std::size_t linger_bytes = 1024UL * 1024;

    bool operator==(gateway_limits const&) const = default;
};

/** What a gateway is told at its start. */
struct gateway_settings
{
    daemon_id self;
    std::uint64_t incarnation = 0; //!< differs between starts
    address listen;                //!< port 0: any free one
    gateway_limits limits;

    bool operator==(gateway_settings const&) const = default;
};

/** A call that is not a request to run: jobs and health. */
struct other_request
{
    std::string method;
    std::string path;  //!< without the query
    std::string query; //!< without the question mark
    tenant_id tenant;  //!< empty: no such header
    std::string key;   //!< Idempotency-Key, may be empty
    std::string body;

    bool operator==(other_request const&) const = default;
};

/** One header of an answer. */
struct header_field
{
    std::string name;
    std::string value;

    bool operator==(header_field const&) const = default;
};

/** The answer to an other_request. */
struct other_answer
{
    int status = 200;
    std::string content_type;
    std::string body;
    std::vector<header_field> headers;

    bool operator==(other_answer const&) const = default;
};

struct other_exchange;

/**
 * Answers one other_request, once; later answers are dropped. Copies answer
 * the same call. May outlive the caller's connection and the gateway.
 */
class responder
{
public:
    explicit responder(std::shared_ptr<other_exchange> exchange);

    void reply(other_answer answer) const;

private:
    std::shared_ptr<other_exchange> exchange;
};

/**
 * Where the gateway's events go. Called on the io_context's thread, never
 * from inside a function of the gateway; may call the gateway back.
 */
struct gateway_handlers
{
    /** request_arrived, caller_gone and attempt_ended. */
    std::function<void(event_body const&)> on_event;
    std::function<void(other_request const&, responder)> on_other;
};

struct gateway_state;

/** A listening gateway; closed when destroyed. */
class gateway
{
public:
    /** Listens. Errors: unavailable, if the address can't be had. */
    static result<std::unique_ptr<gateway>>
    open(boost::asio::io_context& context,
         gateway_settings const& settings,
         gateway_handlers handlers);

    gateway(gateway const&) = delete;
    gateway& operator=(gateway const&) = delete;
    ~gateway();

    /** Where it listens, with the port that was free. */
    address where() const;

    /**
     * Sends the request to the granted endpoint over a new connection. Ends
     * with exactly one attempt_ended event, also for unknown requests.
     */
    void start(start_attempt const& order);

    /**
     * Answers the caller; the request is over. Of several answers the first
     * counts; a body that broke its rules while it was sent is one.
     */
    void answer(answer_problem const& problem);

    /** Drops the endpoint's connection; attempt_ended follows. */
    void abort(abort_attempt const& order);

    /**
     * Closes the listener and idle connections. Requests under way go on,
     * and their answers close the connection.
     */
    void stop_accepting();

    /** Connections with a request under way. */
    int in_flight() const;

    /** Drops all connections; no event follows. */
    void close();

private:
    explicit gateway(std::shared_ptr<gateway_state> state);

    std::shared_ptr<gateway_state> state;
};

} // namespace cicada
