#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>

/**
 * Connections between the daemons: one websocket for each pair, opaque bytes
 * in both directions. The library is built as C++17 and its header is clean in
 * C++17 and C++20, so it names peers by strings and knows no message.
 */
namespace cicada
{

/** What a link is told at its start and never changes. */
struct link_settings
{
    std::string name;                 //!< of this daemon
    std::uint64_t incarnation = 0;    //!< differs between starts
    std::uint64_t version = 1;        //!< of the messages it speaks
    std::uint64_t oldest_version = 1; //!< of a peer that is let in
    std::string token;                //!< shared by all daemons of a cell
    std::string host = "127.0.0.1";   //!< an IP number to listen on
    std::uint16_t port = 0;           //!< 0: any free one
    /** In both directions, unless a message was sent. */
    std::chrono::milliseconds ping_period{500};
    std::chrono::milliseconds silence_limit{2000}; //!< then it is closed
    std::chrono::milliseconds dial_limit{2000};    //!< until the peer's hello
    std::chrono::milliseconds first_backoff{100};
    std::chrono::milliseconds longest_backoff{2000};
    std::chrono::milliseconds stop_limit{500}; //!< to flush before stop()
    std::size_t max_message_bytes = std::size_t{4} << 20;
    std::size_t max_queued_bytes = std::size_t{8} << 20; //!< for each peer
    std::size_t max_strangers = 64; //!< accepted and not yet known
    std::uint32_t seed = 1;         //!< of the backoff's jitter
};

/** Called on the link's own thread; must neither block nor throw. */
struct link_handlers
{
    /** A peer is connected; it may be a new incarnation of it. */
    std::function<void(std::string const& peer)> up;

    /** It is no longer; what was sent lately may be lost. */
    std::function<void(std::string const& peer, std::string const& reason)>
        down;

    /** One message, whole and in the order of sending. */
    std::function<void(std::string const& peer, std::string const& bytes)>
        message;
};

/** How much went one way. */
struct link_traffic
{
    std::uint64_t messages = 0;
    std::uint64_t bytes = 0; //!< without the websocket's own framing
};

/** Counts since the start. */
struct link_counters
{
    std::map<std::string, link_traffic> sent; //!< by kind
    link_traffic received;
    std::uint64_t ups = 0;        //!< sessions that came up
    std::uint64_t reconnects = 0; //!< of them, after an earlier one
    std::uint64_t silent = 0;     //!< closed after the silence limit
    std::uint64_t overflows = 0;  //!< closed with a full queue
    std::uint64_t malformed = 0;  //!< closed for a frame or hello
    std::uint64_t refused = 0;    //!< wrong token, version or name
    std::uint64_t unsent = 0;     //!< messages to a peer that isn't up
    std::uint64_t failed_dials = 0;
};

/**
 * This daemon's end of the links to all its peers.
 *
 * Of two daemons the one whose name sorts lower dials and the other listens,
 * so a pair never has two connections to choose from. A session that is newer
 * replaces an older one of the same peer. All functions but stop() may be
 * called from any thread, stop() from any but the link's own.
 */
class peer_link
{
public:
    /** Takes the settings; does nothing yet. */
    peer_link(link_settings settings, link_handlers handlers);

    /** Calls stop(). */
    ~peer_link();

    peer_link(peer_link const&) = delete;
    peer_link& operator=(peer_link const&) = delete;

    /** Listens and starts the thread; the error's text, empty if none. */
    std::string start();

    /** The port it listens on; 0 before start(). */
    std::uint16_t port() const;

    /** Keeps a link to a peer up; calling again changes its address. */
    void connect(std::string const& peer,
                 std::string const& host,
                 std::uint16_t port);

    /** Drops the link to a peer and no longer dials it. */
    void disconnect(std::string const& peer);

    /** Sends to a peer that is up; lost, and counted, if it isn't. */
    void
    send(std::string const& peer, std::string bytes, std::string const& kind);

    link_counters counters() const;

    /** Closes all, what is queued first; returns within the stop limit. */
    void stop();

private:
    class core;
    std::shared_ptr<core> inner;
};

} // namespace cicada
