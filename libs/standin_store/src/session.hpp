#pragma once

#include "platform.hpp"

#include <utility>

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>

#include <deque>
#include <memory>

/** One connection of the stand-in; all on the server's thread. */
namespace cicada::standin
{

class session;

/** What a connection needs of its server. */
struct session_host
{
    platform_state platform;
    milliseconds progress_period{1000};

    session_host() = default;
    session_host(session_host const&) = delete;
    session_host& operator=(session_host const&) = delete;
    virtual ~session_host() = default;

    /** By the server's clock. */
    virtual instant now() const = 0;

    /** Keys may have changed: watches look. */
    virtual void keys_changed() = 0;

    /** Faults were set; `silence`: open connections go silent. */
    virtual void faults_changed(bool silence) = 0;

    /** The connection is over. */
    virtual void ended(std::shared_ptr<session> const& which) = 0;
};

/** Serves one connection until it closes. */
class session : public std::enable_shared_from_this<session>
{
public:
    /** The host outlives it. */
    session(boost::asio::ip::tcp::socket socket,
            session_host& host,
            bool control);

    /** Starts to read. */
    void run();

    /** Closes the connection at once. */
    void close();

    /** True if it came in at the control port. */
    bool serves_control() const;

    /** Never answers again. */
    void go_silent();

    /** If it is a watch: sends what it hasn't seen of its keys' changes. */
    void send_changes();

private:
    using request_parser =
        boost::beast::http::request_parser<boost::beast::http::string_body>;
    using string_response =
        boost::beast::http::response<boost::beast::http::string_body>;
    using empty_response =
        boost::beast::http::response<boost::beast::http::empty_body>;
    using empty_serializer =
        boost::beast::http::response_serializer<boost::beast::http::empty_body>;

    void read();
    void take();
    void act(platform_plan const& plan);
    void answer_later(platform_plan const& plan);
    void answer(platform_plan const& plan);
    void wrote(bool keep);
    void start_watch(std::string const& body);
    void watch_started(watch_call const& call);
    void await_close();
    void arm_progress();
    void send_progress();
    void send_line(std::string line);
    void write_line();
    void end();

    boost::beast::tcp_stream stream;
    session_host& host;
    bool control;
    boost::beast::flat_buffer buffer;
    std::optional<request_parser> parser;
    string_response response;
    empty_response watch_head;
    std::optional<empty_serializer> head_serializer;
    boost::asio::steady_timer timer;
    std::optional<key_range> watched;
    std::int64_t next_revision = 0; //!< of the watch
    std::deque<std::string> lines;  //!< of the watch, to be sent
    bool delaying = false;          //!< an answer waits for the timer
    bool silent = false;
    bool over = false;
};

} // namespace cicada::standin
