#pragma once

#include "base/base.hpp"

#include <functional>
#include <memory>
#include <optional>
#include <variant>
#include <vector>

/**
 * Client of the platform's key-value service, over etcd v3's JSON mapping.
 *
 * Requests and answers are values. Every call is asynchronous: its handler is
 * called once, on the client's own thread, and must neither block nor throw;
 * it may make further calls. Independent transactions that arrive while one
 * is under way travel together in one call, each with its own outcome.
 */
namespace cicada
{

// ---- values --------------------------------------------------------------

/** A lease of the service; zero: none. */
struct lease_id
{
    std::int64_t value = 0;

    bool operator==(lease_id const&) const = default;
};

/** One key as the service has it. */
struct key_value
{
    std::string key;
    std::string value;
    std::int64_t mod_revision = 0; //!< of its last write
    lease_id lease;

    bool operator==(key_value const&) const = default;
};

/** Reads one key, or all that begin with it, in the keys' order. */
struct range_request
{
    std::string key;
    bool prefix = false;
    std::int64_t limit = 0; //!< 0: all of them
    std::string after;      //!< with `prefix`: only keys greater than this

    bool operator==(range_request const&) const = default;
};

/** What a range found. */
struct range_answer
{
    std::int64_t revision = 0; //!< of the service when it was read
    std::vector<key_value> values;
    bool more = false; //!< the limit cut it short

    bool operator==(range_answer const&) const = default;
};

/** True in the service if the key's last write has this revision. */
struct key_compare
{
    std::string key;
    std::int64_t mod_revision = 0; //!< 0: the key isn't there

    bool operator==(key_compare const&) const = default;
};

/** A key to write. */
struct key_put
{
    std::string key;
    std::string value;
    lease_id lease;

    bool operator==(key_put const&) const = default;
};

/**
 * Writes all or nothing: if every compare holds, the puts and deletes take
 * effect; else `otherwise` is read. A key is written at most once in it.
 */
struct txn
{
    std::vector<key_compare> compares;
    std::vector<key_put> puts;
    std::vector<std::string> deletes;
    std::vector<range_request> otherwise;

    bool operator==(txn const&) const = default;
};

/** A txn that creates a key, and if it is there reads it. */
txn create_key(key_put const& wanted);

/** A txn that replaces a key last written at `mod_revision`, else reads it. */
txn replace_key(key_put const& wanted, std::int64_t mod_revision);

/** A txn that deletes a key last written at `mod_revision`, else reads it. */
txn delete_key(std::string const& key, std::int64_t mod_revision);

/** How a txn ended. */
enum class txn_outcome
{
    done,
    refused, //!< a compare didn't hold; nothing was written
    failed,  //!< known not to have taken effect
    unknown  //!< may have taken effect, then or later
};

/** "done", "refused", "failed" or "unknown". */
char const* to_string(txn_outcome outcome);

/** The answer to a txn. */
struct txn_answer
{
    txn_outcome outcome = txn_outcome::unknown;
    std::int64_t revision = 0;       //!< of the service; `done`: of the writes
    std::vector<key_value> existing; //!< when refused: what `otherwise` read
    std::string message;             //!< why, when failed or unknown

    bool operator==(txn_answer const&) const = default;
};

/** A granted or renewed lease. */
struct lease_answer
{
    lease_id lease;
    milliseconds ttl{0}; //!< from when it was asked for

    bool operator==(lease_answer const&) const = default;
};

// ---- watches -------------------------------------------------------------

/** One change to a key. */
struct key_change
{
    key_value now; //!< of a deleted key only the name and mod_revision
    bool deleted = false;

    bool operator==(key_change const&) const = default;
};

/** The watch is up: changes from here on will come. */
struct watch_connected
{
    std::int64_t revision = 0; //!< of the service

    bool operator==(watch_connected const&) const = default;
};

/** The watch is down or went silent; it is being resumed. */
struct watch_disconnected
{
    std::string message;

    bool operator==(watch_disconnected const&) const = default;
};

/** Changes, in order, each once. */
struct watch_changes
{
    std::int64_t revision = 0; //!< of the last of them
    std::vector<key_change> changes;

    bool operator==(watch_changes const&) const = default;
};

/** Changes were lost to compaction: read everything anew. */
struct watch_reset
{
    std::int64_t revision = 0; //!< the watch goes on after this one

    bool operator==(watch_reset const&) const = default;
};

using watch_event = std::
    variant<watch_connected, watch_disconnected, watch_changes, watch_reset>;

// ---- settings and counts -------------------------------------------------

/** How failed attempts are spaced. */
struct backoff_settings
{
    milliseconds first{50};
    milliseconds longest{2'000};

    bool operator==(backoff_settings const&) const = default;
};

/** How many calls of a kind the whole cell may make. */
struct budget_settings
{
    double calls_per_second = 0.0;
    double burst = 0.0; //!< calls at once after a pause

    bool operator==(budget_settings const&) const = default;
};

/** How independent txns are gathered into one call. */
struct batch_settings
{
    int most_txns = 100;                     //!< in a call; the service caps it
    std::size_t most_bytes = 512UL * 1024UL; //!< of keys and values in a call
    std::size_t most_waiting = 10'000;       //!< txns; more are failed at once
    int most_calls = 4;                      //!< under way at once
    milliseconds patience{20}; //!< what fills no call waits so long for the
                               //!< answer to the last

    bool operator==(batch_settings const&) const = default;
};

/** What a client is told at its start. */
struct store_settings
{
    std::vector<address> endpoints;
    milliseconds watch_silence{3'000}; //!< without a line: resumed elsewhere
    backoff_settings backoff;
    budget_settings read_budget{1'500.0, 400.0}; //!< ranges, watches
    budget_settings write_budget{300.0, 150.0};  //!< txns, lease calls
    int sharers = 9; //!< daemons that share the budgets, see share_with()
    batch_settings batch;
    std::uint64_t seed = 1; //!< of the backoff's jitter; differs by daemon

    bool operator==(store_settings const&) const = default;
};

/** What the client has asked of the service since its start. */
struct store_counts
{
    std::int64_t reads = 0;  //!< range calls
    std::int64_t writes = 0; //!< txn calls
    std::int64_t txns = 0;   //!< sent in those
    std::int64_t leases = 0; //!< grant, keepalive and revoke calls
    std::int64_t watches = 0;
    std::int64_t delayed = 0; //!< calls that waited for the budget
    milliseconds delay{0};    //!< of all of them together
    milliseconds longest_delay{0};

    bool operator==(store_counts const&) const = default;
};

// ---- the client ----------------------------------------------------------

using range_handler = std::function<void(result<range_answer> const&)>;
using txn_handler = std::function<void(txn_answer const&)>;
using lease_handler = std::function<void(result<lease_answer> const&)>;
using watch_handler = std::function<void(watch_event const&)>;

/** Names a watch of one client. */
struct watch_id
{
    std::uint64_t value = 0;

    bool operator==(watch_id const&) const = default;
};

/**
 * The client. All members may be called from any thread; handlers are called
 * on its own. A call's `limit` counts from the call, waiting for the budget
 * included; errors are unavailable (known not to have taken effect) and
 * unknown, and invalid_input for an answer that breaks its format.
 */
class store_client
{
public:
    /** Starts its thread; connects with the first call. */
    explicit store_client(store_settings const& settings);

    /** As stop(). */
    ~store_client();

    store_client(store_client const&) = delete;
    store_client& operator=(store_client const&) = delete;

    /**
     * Reads; tries the other endpoints on failure. Without an answer the error
     * is always unavailable, as a read has no effect.
     */
    void range(range_request const& request,
               milliseconds limit,
               range_handler const& handler);

    /**
     * Writes, together with its neighbours. Each call goes out on a connection
     * of its own and is sent at most once, unless it is known not to have been
     * sent.
     */
    void
    commit(txn const& request, milliseconds limit, txn_handler const& handler);

    /** Asks for a lease; `ttl` is rounded up to whole seconds. */
    void
    grant(milliseconds ttl, milliseconds limit, lease_handler const& handler);

    /**
     * Renews a lease; doesn't wait for the budget. Errors besides: refused,
     * when it has lapsed.
     */
    void keep_alive(lease_id lease,
                    milliseconds limit,
                    lease_handler const& handler);

    /** Ends a lease and deletes its keys; done too if it has lapsed. */
    void
    revoke(lease_id lease, milliseconds limit, lease_handler const& handler);

    /**
     * Tells of every change to keys that begin with `prefix`, from
     * `from_revision` on (0: from now on), until unwatch() or stop().
     */
    watch_id watch(std::string const& prefix,
                   std::int64_t from_revision,
                   watch_handler handler);

    /** Ends a watch; its handler isn't called after a moment. */
    void unwatch(watch_id which);

    /** From now on takes its part of the budgets among so many daemons. */
    void share_with(int sharers);

    store_counts counts() const;

    /**
     * Drops everything: handlers not called yet never are. Returns within a
     * second; not to be called from a handler. May be called again.
     */
    void stop();

private:
    struct impl;
    std::shared_ptr<impl> self;
};

} // namespace cicada
