#pragma once

#include "protocol/protocol.hpp"

#include <vector>

/** What operators and tests can read of a daemon's state. Values, no I/O. */
namespace cicada
{

/** A peer, as of its last heartbeat. */
struct peer_view
{
    member info;
    std::uint64_t note_number = 0;
    bool linked = false;

    bool operator==(peer_view const&) const = default;
};

/** The part of a state that operators and tests can read. */
struct state_view
{
    std::uint64_t note_number = 0;
    std::uint64_t table_version = 0;
    std::vector<peer_view> peers;    //!< members other than this daemon
    std::vector<shard_id> owned;     //!< shards
    std::vector<shard_id> ready;     //!< owned; no agent still announcing
    std::vector<instance> workers;   //!< owned
    std::vector<instance> endpoints; //!< owned
    int requests_in_flight = 0;      //!< as entry daemon
    int requests_queued = 0;         //!< as owner
    int slots_taken = 0;             //!< as owner
    std::vector<job_record> jobs;    //!< owned, not final
    bool leaving = false;

    bool operator==(state_view const&) const = default;
};

} // namespace cicada
