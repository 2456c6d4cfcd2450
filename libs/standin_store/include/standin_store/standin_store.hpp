#pragma once

#include "base/base.hpp"

#include <memory>
#include <optional>

/**
 * A small stand-in for the platform's key-value service and its lagging
 * instance list, for tests and trials: one process keeps all of it in memory
 * and serves it over HTTP on one thread. It speaks as much of etcd v3's JSON
 * mapping as the project uses.
 *
 * Paths: POST /v3/kv/{range,put,deleterange,txn,compaction},
 * /v3/lease/{grant,keepalive,revoke} (also below /v3/kv/lease/), /v3/watch;
 * GET and PUT /instances; POST /fault; GET /calls.
 */
namespace cicada
{

/** What a stand-in is told at its start. */
struct standin_settings
{
    std::string host = "127.0.0.1";     //!< an IP number
    std::uint16_t port = 0;             //!< 0: any free one
    std::uint16_t control_port = 0;     //!< 0: any free one
    milliseconds progress_period{1000}; //!< between a watch's progress lines
    milliseconds instance_lag{0};       //!< until a new list is shown
    std::uint64_t seed = 1;             //!< of lost answers, while no other
                                        //!< is given

    bool operator==(standin_settings const&) const = default;
};

/**
 * Faults, as `POST /fault` sets them; a member that isn't given stays as it
 * is. JSON: {"down": bool, "slow_ms": int, "lose_answers": int,
 * "lose_probability": number, "seed": int, "silent": true,
 * "instance_lag_ms": int}.
 */
struct standin_faults
{
    std::optional<bool> down;               //!< connections refused and closed
    std::optional<milliseconds> slow;       //!< takes effect, answers later
    std::optional<int> lose_answers;        //!< of so many next writes
    std::optional<double> lose_probability; //!< of a write's answer, 0..1
    std::optional<std::uint64_t> seed;      //!< for `lose_probability`
    std::optional<milliseconds> instance_lag;
    bool silent = false; //!< open connections are never answered again

    bool operator==(standin_faults const&) const = default;
};

/** Calls that have arrived since the start; a watch counts once. */
struct standin_calls
{
    std::int64_t reads = 0;  //!< range
    std::int64_t writes = 0; //!< txn, put, deleterange, compaction
    std::int64_t leases = 0; //!< grant, keepalive, revoke
    std::int64_t watches = 0;
    std::int64_t instances = 0; //!< GET of the list

    bool operator==(standin_calls const&) const = default;
};

/**
 * The running stand-in. All members may be called from any thread but
 * start(), stop() and the destructor, which belong to one thread.
 */
class standin_store
{
public:
    standin_store();

    /** As stop(). */
    ~standin_store();

    standin_store(standin_store const&) = delete;
    standin_store& operator=(standin_store const&) = delete;

    /**
     * Listens and serves until stop(); returns the port. Once only.
     * Errors: unavailable, when the port can't be had.
     */
    result<std::uint16_t> start(standin_settings const& settings);

    /** Closes every connection and ends the thread; may be called again. */
    void stop();

    /** Of the service; 0 before start(). */
    std::uint16_t port() const;

    /** Serves /fault, /instances and /calls alone, also while down. */
    std::uint16_t control_port() const;

    /** Replaces the instance list, as `PUT /instances`; shown after its lag. */
    void set_instances(std::string const& json);

    /** As `POST /fault`; in force when this returns. */
    void set_faults(standin_faults const& faults);

    /** Forgets the history of the keys, as POST /v3/kv/compaction does. */
    void compact();

    standin_calls calls() const;

private:
    struct impl;
    std::shared_ptr<impl> self;
};

} // namespace cicada
