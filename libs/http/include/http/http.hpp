#pragma once

#include "base/base.hpp"

#include <boost/asio/io_context.hpp>

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

/**
 * HTTP/1.1 on one event loop, over Boost.Beast: a server that limits headers,
 * bodies and connections, and a client with a connection pool to one address.
 * Every function and callback runs on the thread of the io_context.
 */
namespace cicada
{

/** Header fields; names of received fields are in lower case. */
using http_fields = std::map<std::string, std::string>;

/** A request, received or to be sent. */
struct http_request
{
    std::string method;
    std::string target; //!< path and query
    http_fields fields;
    std::string body;

    bool operator==(http_request const&) const = default;
};

/** The response to a request. */
struct http_reply
{
    int status = 0;
    http_fields fields;
    std::string body;

    bool operator==(http_reply const&) const = default;
};

// ---- server --------------------------------------------------------------

/** Limits of a server. */
struct http_server_settings
{
    std::size_t header_bytes = std::size_t{16} << 10; //!< of one request
    std::size_t body_bytes = std::size_t{256} << 10;  //!< of one request
    /** Open at once. A further one takes the place of the one that has waited
     * longest for a request or, if none waits, for the rest of a request. */
    std::size_t connections = 1000;
    milliseconds idle_timeout{15'000};    //!< until a request's first byte
    milliseconds header_timeout{15'000};  //!< from it to the end of the header
    milliseconds request_timeout{15'000}; //!< from it to the end of the request
    std::size_t read_bytes = std::size_t{4} << 10; //!< of one read, at most
    /** Memory of all requests without a response; 0: no limit. Above it, the
     * connections whose requests have been unfinished longest are closed. */
    std::size_t unfinished_bytes = 0;
};

/** Connections that a server closed, by the limit that they exceeded. */
struct http_closed_connections
{
    std::uint64_t malformed = 0; //!< status 400
    std::uint64_t header_bytes = 0;
    std::uint64_t body_bytes = 0;
    std::uint64_t header_timeout = 0;
    std::uint64_t request_timeout = 0;
    std::uint64_t unfinished_bytes = 0;
    std::uint64_t connections = 0;

    bool operator==(http_closed_connections const&) const = default;
};

/** Sends the response to one request; called at most once. */
using http_responder = std::function<void(http_reply)>;
using http_handler = std::function<void(http_request, http_responder)>;

/**
 * Listens on one address. Malformed requests get status 400, 413 or 431; 503 if
 * `unfinished_bytes` leaves no room. The handler didn't get any of these. The
 * header's limit also holds for the trailers and for the extensions of a chunk.
 */
class http_server
{
public:
    http_server(boost::asio::io_context& loop,
                http_server_settings settings,
                http_handler handler);
    ~http_server();

    http_server(http_server const&) = delete;
    http_server& operator=(http_server const&) = delete;

    /** Binds and returns the bound address; port 0 selects a free port. Errors:
     * unavailable. */
    result<address> listen(address const& where);

    /** Changes the limits, in bytes, for requests read from now on. */
    void set_bounds(std::size_t header_bytes, std::size_t body_bytes);

    /** Changes the time limits, for waits that begin from now on. */
    void set_timeouts(milliseconds header_timeout, milliseconds idle_timeout);

    /**
     * Stops accepting. Idle connections close at once, the others after the
     * response in progress.
     */
    void drain();

    /** Requests that were read and whose response is not fully sent. */
    std::size_t in_progress() const;

    /** Since the start. */
    http_closed_connections const& closed_connections() const;

private:
    struct impl;
    std::shared_ptr<impl> self;
};

// ---- client --------------------------------------------------------------

/** Limits of a client. */
struct http_client_settings
{
    std::size_t connections = 4;        //!< open at once
    milliseconds connect_timeout{1000}; //!< then the call is `unavailable`
    std::size_t response_body_bytes = std::size_t{8} << 20;
    std::size_t read_bytes = std::size_t{4} << 10; //!< of one read, at most
};

using http_callback = std::function<void(result<http_reply>)>;

/**
 * Calls one address over pooled connections; calls that find no free
 * connection wait in order. Errors: `unavailable` if no byte of the request was
 * sent, `unknown` if the server may have handled it. A connection that failed
 * or timed out is not used again, nor are those that were idle all the while.
 * The destructor drops the calls in progress without calling back.
 */
class http_client
{
public:
    http_client(boost::asio::io_context& loop,
                address const& where,
                http_client_settings settings);
    ~http_client();

    http_client(http_client const&) = delete;
    http_client& operator=(http_client const&) = delete;

    /** `timeout` includes the wait for a free connection. */
    void
    call(http_request request, milliseconds timeout, http_callback callback);

private:
    struct impl;
    std::shared_ptr<impl> self;
};

} // namespace cicada
