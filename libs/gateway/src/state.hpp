#pragma once

#include "connection.hpp"
#include "gateway/gateway.hpp"
#include "head.hpp"

#include <boost/beast/http/buffer_body.hpp>
#include <boost/beast/http/parser.hpp>

#include <map>
#include <optional>
#include <set>
#include <unordered_map>

/** What a gateway keeps of its listener, callers and requests. */
namespace cicada
{

namespace http = boost::beast::http;
using body_parser = http::request_parser<http::buffer_body>;

/** How far a caller's connection has come. */
enum class caller_phase
{
    fresh, //!< no byte of a first request yet
    idle,  //!< between two requests
    busy   //!< from the first byte of a head to the end of its answer
};

/** A caller's connection and the request that is read from it. */
struct caller : connection
{
    caller(net::io_context& context,
           tcp::socket accepted,
           std::size_t buffer_bytes);

    net::ip::address address;
    caller_phase phase = caller_phase::fresh;
    std::optional<body_parser> parser; //!< of the request under way
};

/** Watches a caller's socket for its end while nothing is read from it. */
struct caller_watch
{
    explicit caller_watch(net::io_context& context);

    bool running = false;
    bool stopping = false;
    change_signal ended;
};

/** One request to run, from its arrival to its answer. */
struct exchange
{
    explicit exchange(net::io_context& context);

    run_head head;
    std::string held;        //!< the body, or its beginning
    bool held_whole = false; //!< nothing of the body is left in the socket
    bool body_consumed = false;
    bool caller_gone = false;
    std::optional<start_attempt> start;   //!< ordered, not yet begun
    std::optional<answer_problem> answer; //!< ordered, not yet written
    std::optional<attempt_id> running;
    bool aborted = false;                 //!< the attempt that is running
    std::shared_ptr<connection> endpoint; //!< while an attempt runs
    change_signal changed;
    caller_watch watch;
};

/** One other_request, from its arrival to its answer. */
struct other_exchange
{
    explicit other_exchange(net::io_context& context);

    std::optional<other_answer> answer;
    bool caller_gone = false;
    change_signal changed;
};

/** A gateway's whole state; lives as long as any of its coroutines. */
struct gateway_state
{
    gateway_state(net::io_context& context,
                  gateway_settings const& settings,
                  gateway_handlers handlers);

    net::io_context& context;
    gateway_settings settings;
    gateway_handlers handlers;
    tcp::acceptor acceptor;
    bool accepting = true;
    bool closed = false;
    std::uint64_t last_request = 0;
    std::size_t held_bytes = 0; //!< reserved for bodies
    std::set<std::shared_ptr<caller>> callers;
    std::map<net::ip::address, int> per_address;
    std::unordered_map<request_id, std::shared_ptr<exchange>> exchanges;
};

using gateway_ptr = std::shared_ptr<gateway_state>;
using caller_ptr = std::shared_ptr<caller>;
using exchange_ptr = std::shared_ptr<exchange>;

/** A share of what all held bodies may take; given back at its end. */
class held_share
{
public:
    held_share(gateway_ptr state, std::size_t bytes);
    ~held_share();

    held_share(held_share const&) = delete;
    held_share& operator=(held_share const&) = delete;

    /** False: there is no room, and nothing was taken. */
    bool granted() const;

private:
    gateway_ptr state;
    std::size_t bytes;
};

/** Hands an event on, unless the gateway is closed. */
void tell(gateway_state& state, event_body const& happened);

/** Marks the caller gone and says so, the first time. */
void tell_caller_gone(gateway_state& state, exchange& request);

/** Accepts callers until the gateway stops; returns at once. */
void spawn_listener(gateway_ptr const& state);

/** Takes in a new connection, or turns it away; returns at once. */
void admit(gateway_ptr const& state, tcp::socket accepted);

/** Serves a caller until its connection ends; returns at once. */
void spawn_session(gateway_ptr const& state, caller_ptr const& from);

} // namespace cicada
