#pragma once

#include "hello.hpp"
#include "websocket.hpp"

#include <chrono>
#include <map>
#include <random>

/** The state of the links; only the link's own thread touches it. */
namespace cicada
{

using link_time = std::chrono::steady_clock::time_point;

/** How far a connection has come. */
enum class session_stage
{
    dialing,  //!< not connected yet
    greeting, //!< waits for the peer's hello
    up        //!< is the one connection with its peer
};

/** One connection, dialed or accepted. */
struct session
{
    websocket::connection_ptr connection;
    std::string peer; //!< empty: accepted and not yet known
    bool dialed = false;
    bool opened = false; //!< is a websocket
    session_stage stage = session_stage::dialing;
    link_time began;
    link_time last_heard;
    link_time last_sent;    //!< a ping or a message
    std::uint64_t dial = 0; //!< this daemon's number of it, if dialed
    hello said;             //!< by the peer, when up
};

using session_id = std::uint64_t; //!< never used twice; 0: none

/** A peer that is wanted or was seen. */
struct peer_entry
{
    std::string host;
    std::uint16_t port = 0;
    bool wanted = false;
    bool seen = false;      //!< was up before
    session_id current = 0; //!< up
    session_id dialed = 0;  //!< under way
    link_time next_dial;
    std::chrono::milliseconds backoff{0};
};

/** The wait before the next dial: doubles up to `longest`, half is jitter. */
std::chrono::milliseconds next_backoff(peer_entry& peer,
                                       std::chrono::milliseconds first,
                                       std::chrono::milliseconds longest,
                                       std::mt19937& random);

} // namespace cicada
