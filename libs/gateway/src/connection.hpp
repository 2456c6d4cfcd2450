#pragma once

#include "base/base.hpp"

#include <utility>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core/flat_buffer.hpp>

#include <cstdint>
#include <memory>

/** A socket with bounds on the time of what is done on it. */
namespace cicada
{

namespace net = boost::asio;
namespace beast = boost::beast;
using io_error = boost::system::error_code;
using tcp = net::ip::tcp;
using clock_time = std::chrono::steady_clock::time_point;

/** What a time limit does to its connection. */
enum class on_expiry
{
    cancel, //!< what is pending fails; the socket can still be written to
    close   //!< the socket is closed
};

/** One time limit of a connection. */
struct time_guard
{
    explicit time_guard(net::io_context& context);

    net::steady_timer timer;
    std::uint64_t generation = 0; //!< of the limit in force
    bool expired = false;
};

/** A socket, what was read too far, and the time limits. */
struct connection
{
    connection(net::io_context& context, std::size_t buffer_bytes);
    connection(net::io_context& context,
               tcp::socket accepted,
               std::size_t buffer_bytes);

    tcp::socket socket;
    beast::flat_buffer buffer;
    time_guard read_limit;
    time_guard write_limit;
};

/** Puts a time limit in force, in place of the one before. */
void arm(std::shared_ptr<connection> const& owner,
         time_guard connection::*guard,
         clock_time when,
         on_expiry action);

/** Ends a time limit; `expired` keeps its value until it is armed again. */
void disarm(connection& owner, time_guard connection::*guard);

/** Closes the socket; what is pending on it fails. */
void close_now(connection& owner);

/** Wakes the one coroutine that waits for a change of some state. */
struct change_signal
{
    explicit change_signal(net::io_context& context);

    net::steady_timer timer; //!< never expires

    void notify();
};

} // namespace cicada
