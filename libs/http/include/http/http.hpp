#pragma once

#include "base/base.hpp"

#include <boost/asio/io_context.hpp>

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

/**
 * HTTP/1.1 on one event loop, over Boost.Beast: a server with bounds on heads,
 * bodies and connections, and a client that keeps a few connections to one
 * address. Every function and callback runs on the thread of the io_context.
 */
namespace cicada
{

/** Header fields by lower-case name. */
using http_fields = std::map<std::string, std::string>;

/** A request as it arrived, or as it is to be sent. */
struct http_request
{
    std::string method;
    std::string target; //!< path and query
    http_fields fields;
    std::string body;

    bool operator==(http_request const&) const = default;
};

/** The answer to a request. */
struct http_reply
{
    int status = 0;
    http_fields fields;
    std::string body;

    bool operator==(http_reply const&) const = default;
};

// ---- server --------------------------------------------------------------

/** Bounds of a server. */
struct http_server_settings
{
    std::size_t header_bytes = std::size_t{16} << 10; //!< of one request
    std::size_t body_bytes = std::size_t{256} << 10;  //!< of one request
    std::size_t connections = 1000; //!< beyond it, new ones are closed
    milliseconds idle{15'000};      //!< without a whole request
    std::size_t read_bytes = std::size_t{4} << 10; //!< of one read, at most
};

/** Sends the answer to one request; called once, or never if dropped. */
using http_responder = std::function<void(http_reply)>;
using http_handler = std::function<void(http_request, http_responder)>;

/** Listens on one address. Malformed requests are answered 400, 413 or 431. */
class http_server
{
public:
    http_server(boost::asio::io_context& loop,
                http_server_settings settings,
                http_handler handler);
    ~http_server();

    http_server(http_server const&) = delete;
    http_server& operator=(http_server const&) = delete;

    /** Starts to listen; errors: unavailable. Port 0 takes any free one. */
    result<address> listen(address const& where);

    /** Changes the bounds for requests that are read from now on. */
    void set_bounds(std::size_t header_bytes, std::size_t body_bytes);

    /**
     * Takes no new connection; open ones end after the answer in progress,
     * idle ones at once.
     */
    void drain();

    /** Requests that were read and not yet answered whole. */
    std::size_t in_progress() const;

private:
    struct impl;
    std::shared_ptr<impl> self;
};

// ---- client --------------------------------------------------------------

/** Bounds of a client. */
struct http_client_settings
{
    std::size_t connections = 4;      //!< to the address, at most
    milliseconds connect_limit{1000}; //!< then the call is `unavailable`
    std::size_t answer_bytes = std::size_t{8} << 20;
    std::size_t read_bytes = std::size_t{4} << 10; //!< of one read, at most
};

using http_callback = std::function<void(result<http_reply>)>;

/**
 * Calls one address over kept connections; calls beyond the bound wait in
 * order. Errors: `unavailable` if no byte of the request was sent, `unknown`
 * if it may have been carried out. A connection that failed or timed out is
 * not used again. Destruction drops the calls in progress without outcome.
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

    /** `limit` counts from the call, waiting for a connection included. */
    void call(http_request request, milliseconds limit, http_callback outcome);

private:
    struct impl;
    std::shared_ptr<impl> self;
};

} // namespace cicada
