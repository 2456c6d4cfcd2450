#pragma once

#include "base/base.hpp"

#include <map>
#include <variant>
#include <vector>

/**
 * The stand-in's key-value state and every operation on it, as etcd v3
 * defines them. Pure: no I/O, thread or clock; the caller gives the time and
 * uses a state from one thread.
 */
namespace cicada::standin
{

/** One key as stored. */
struct record
{
    std::string value;
    std::int64_t create_revision = 0;
    std::int64_t mod_revision = 0;
    std::int64_t version = 0; //!< writes since it was created
    std::int64_t lease = 0;   //!< 0: none

    bool operator==(record const&) const = default;
};

/** A key and what is stored under it. */
struct entry
{
    std::string key;
    record stored;

    bool operator==(entry const&) const = default;
};

/** A lease that lives. */
struct lease_record
{
    seconds ttl{0};
    instant ends;

    bool operator==(lease_record const&) const = default;
};

/** A change, as watches see it; of a deletion only key and mod_revision. */
struct change
{
    bool deleted = false;
    entry now;

    bool operator==(change const&) const = default;
};

/**
 * A key (`end` empty), all keys from it on (`end` a single zero byte), or the
 * keys from it up to but without `end`.
 */
struct key_range
{
    std::string key;
    std::string end;

    bool operator==(key_range const&) const = default;
};

/** True if the range holds the key. */
bool contains(key_range const& range, std::string const& key);

// ---- operations ----------------------------------------------------------

/** Reads a range. */
struct range_op
{
    key_range keys;
    std::int64_t limit = 0; //!< 0: all
};

/** Writes a key. */
struct put_op
{
    std::string key;
    std::string value;
    std::int64_t lease = 0;
};

/** Deletes a range. */
struct delete_op
{
    key_range keys;
};

/** What a compare looks at. */
enum class compare_target
{
    version,
    create_revision,
    mod_revision,
    value,
    lease
};

/** How a compare looks at it. */
enum class compare_result
{
    equal,
    greater,
    less,
    not_equal
};

/** One compare of a txn. */
struct compare_op
{
    std::string key;
    compare_target target = compare_target::version;
    compare_result wanted = compare_result::equal;
    std::int64_t number = 0; //!< for every target but `value`
    std::string text;        //!< for `value`
};

struct txn_op;
using request_op = std::variant<range_op, put_op, delete_op, txn_op>;

/** Compares, and one of two lists of operations, nested ones included. */
struct txn_op
{
    std::vector<compare_op> compares;
    std::vector<request_op> success;
    std::vector<request_op> failure;
};

// ---- answers -------------------------------------------------------------

/** What a range read. */
struct range_reply
{
    std::vector<entry> entries;
    std::int64_t count = 0; //!< without the limit
    bool more = false;
};

/** A put was made. */
struct put_reply
{
};

/** A delete was made. */
struct delete_reply
{
    std::int64_t deleted = 0;
};

struct txn_reply;
using reply_op = std::variant<range_reply, put_reply, delete_reply, txn_reply>;

/** Which list was run, and the answers of its operations. */
struct txn_reply
{
    bool succeeded = false;
    std::vector<reply_op> replies;
};

/** The whole state. */
struct kv_state
{
    std::int64_t revision = 1;
    std::int64_t compacted = 0; //!< changes up to here are forgotten
    std::int64_t last_lease = 7000;
    std::map<std::string, record> keys;
    std::map<std::int64_t, lease_record> leases;
    std::vector<change> history; //!< by revision
};

/** Reads a range. */
range_reply read_range(kv_state const& state, range_op const& op);

/**
 * Runs a txn; all its writes share one revision. Errors: invalid_input for a
 * key written twice or too many operations, refused for a lease that isn't
 * there; then nothing is changed.
 */
result<txn_reply> run_txn(kv_state& state, txn_op const& op);

/** Grants a lease and returns its id. */
std::int64_t grant_lease(kv_state& state, seconds ttl, instant now);

/** Renews a lease; false if it isn't there. */
bool renew_lease(kv_state& state, std::int64_t lease, instant now);

/** Ends a lease and deletes its keys; false if it isn't there. */
bool end_lease(kv_state& state, std::int64_t lease);

/** Ends every lease whose time is over. */
void expire_leases(kv_state& state, instant now);

/** Forgets changes up to `revision`; false if there is none such. */
bool compact(kv_state& state, std::int64_t revision);

/** The changes to a range from `from_revision` on. */
std::vector<change> changes_since(kv_state const& state,
                                  key_range const& keys,
                                  std::int64_t from_revision);

} // namespace cicada::standin
