#pragma once

#include "protocol/protocol.hpp"

#include <memory>

/**
 * Small stand-ins for workers and endpoints, for tests and trials: many in one
 * process, each on a port of its own, all on one thread. They keep what
 * docs/CONTRACTS.md asks for and count what should never happen.
 *
 * Each serves POST /cicada/v1/{sync,start,cancel}, an endpoint also POST /run.
 * The control port serves GET /counts, GET /ran?key=KEY and POST /fault.
 */
namespace cicada
{

/** What the stand-ins are told at their start. */
struct standin_agents_settings
{
    std::string host = "127.0.0.1"; //!< an IP number
    std::uint16_t control_port = 0; //!< 0: any free one
    std::vector<instance> agents;   //!< their ports are set by start()
    std::map<pool_id, milliseconds> service_times;
    milliseconds service_time{10}; //!< of other pools
    std::size_t answer_bytes = 0;  //!< a run's answer is padded to it

    bool operator==(standin_agents_settings const&) const = default;
};

/** What an agent can be made to do. */
enum class agent_fault
{
    none,         //!< ends all the others
    delay,        //!< answers come `length` later
    drop,         //!< connections are closed as they come
    silent,       //!< connections of now are never answered again
    fail_all,     //!< attempts are answered with 500, tasks fail
    pause,        //!< nothing is read or answered until `none`
    drain,        //!< refuses new work as "draining"
    lose_answers, //!< runs and takes orders, then closes the connection
};

/** Counts over all agents since the start. */
struct standin_agent_counts
{
    std::uint64_t starts = 0;        //!< attempts and tasks that ran
    std::uint64_t started_twice = 0; //!< same run id, or same key, ran again
    std::uint64_t repeated = 0;      //!< a start of a known run, refused
    std::uint64_t over_capacity = 0; //!< refused for want of room
    std::uint64_t stale = 0;         //!< refused for a lower epoch
    std::uint64_t tombstones = 0;    //!< cancels that came before their start
    std::uint64_t tombstoned = 0;    //!< starts that found a tombstone
    std::uint64_t cut_off = 0;       //!< bodies that ended early
    std::uint64_t expired = 0;       //!< tasks whose lease ran out
    std::uint64_t syncs = 0;

    bool operator==(standin_agent_counts const&) const = default;
};

/**
 * The running stand-ins. All members may be called from any thread but
 * start(), stop() and the destructor, which belong to one thread.
 */
class standin_agents
{
public:
    standin_agents();

    /** As stop(). */
    ~standin_agents();

    standin_agents(standin_agents const&) = delete;
    standin_agents& operator=(standin_agents const&) = delete;

    /**
     * Listens and serves until stop(); returns the agents with their
     * addresses. Once only. Errors: unavailable, when a port can't be had.
     */
    result<std::vector<instance>>
    start(standin_agents_settings const& settings);

    /** Closes every connection and ends the thread. */
    void stop();

    std::uint16_t control_port() const;

    /** As `POST /fault`; `agent` empty: all. In force when this returns. */
    void set_fault(std::string const& agent,
                   agent_fault fault,
                   milliseconds length = milliseconds(0));

    standin_agent_counts counts() const;

    /** How many attempts with this Idempotency-Key ran. */
    std::uint64_t ran(std::string const& key) const;

private:
    class server;
    std::shared_ptr<server> inner;
};

} // namespace cicada
