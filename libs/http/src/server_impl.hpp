#pragma once

#include "http/http.hpp"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>

#include <map>
#include <optional>
#include <set>

/** The server's state and its connections. */
namespace cicada
{

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace bhttp = boost::beast::http;
using failure = boost::system::error_code;

struct http_server::impl : std::enable_shared_from_this<http_server::impl>
{
    class connection;
    /** In the order in which they entered their phase. */
    using connection_list = std::map<std::uint64_t, connection*>;

    impl(asio::io_context& loop,
         http_server_settings given,
         http_handler given_handler);

    void accept();
    void accept_later();
    void start_connection(asio::ip::tcp::socket socket);
    void accept_pending();
    bool close_longest_waiting();
    /** Closes connections with unfinished requests, the oldest first, until the
     * limit holds or none is left. */
    void enforce_unfinished_bytes();
    bool exceeds_unfinished_bytes() const;

    asio::ip::tcp::acceptor acceptor;
    asio::steady_timer accept_timer;
    http_server_settings settings;
    http_handler handler;
    std::set<std::shared_ptr<connection>> open;
    connection_list idle;       //!< no byte of a request was read
    connection_list unfinished; //!< a part of a request was read
    std::uint64_t last_place = 0;
    std::size_t bytes = 0; //!< of all requests without a response
    http_closed_connections closed;
    std::size_t in_progress = 0;
    bool draining = false;
};

/** One accepted connection; handles one request at a time. */
class http_server::impl::connection
    : public std::enable_shared_from_this<connection>
{
public:
    connection(asio::ip::tcp::socket socket, std::shared_ptr<impl> server);

    /** Waits for the next request. */
    void read();
    void close();
    /** Closes unless a byte of a request was read or waits in the socket. */
    void close_if_idle();
    bool has_unread_bytes();

private:
    /** What the connection waits for. */
    enum class phase
    {
        idle,       //!< the first byte of a request
        unfinished, //!< the rest of a request
        answering,  //!< the response, or that it is sent
        closed
    };

    using request_parser = bhttp::request_parser<bhttp::string_body>;

    void enter(phase next);
    void set_charge(std::size_t now);
    std::size_t unfinished_bytes() const;
    void read_some();
    void on_read(failure const& problem, std::size_t count);
    void count_timeout();
    void begin_request();
    void parse(std::size_t new_bytes);
    void refuse(failure const& problem);
    void hand_over();
    void write(http_reply reply, bool keep, bool handled = false);

    beast::tcp_stream stream;
    std::shared_ptr<impl> owner;
    beast::flat_buffer buffer;
    std::optional<request_parser> parser;
    bhttp::response<bhttp::string_body> response;
    phase now = phase::closed;
    std::uint64_t place = 0; //!< key in the server's list of the phase
    std::size_t charge = 0;  //!< its part of the server's `bytes`
    std::size_t head_bytes = 0;
    std::size_t head_lines = 0;
    std::chrono::steady_clock::time_point began; //!< the first byte's arrival
};

} // namespace cicada
