#pragma once

#include "store/store.hpp"

/**
 * The client's calls and their answers in etcd v3's JSON mapping. Pure.
 * Decoders' errors: invalid_input.
 */
namespace cicada::store_detail
{

constexpr char const* range_path = "/v3/kv/range";
constexpr char const* txn_path = "/v3/kv/txn";
constexpr char const* grant_path = "/v3/lease/grant";
constexpr char const* keep_alive_path = "/v3/lease/keepalive";
constexpr char const* revoke_path = "/v3/lease/revoke";
constexpr char const* watch_path = "/v3/watch";

/** The end of the range of all keys that begin with `prefix`. */
std::string prefix_end(std::string const& prefix);

std::string encode_range(range_request const& request);
result<range_answer> decode_range(std::string const& text);

/** One txn goes as it is; several each as a txn nested in one without
 * compares, so that each succeeds or not on its own. */
std::string encode_txns(std::vector<txn> const& requests);

/** The answers of as many txns as were encoded together. */
result<std::vector<txn_answer>> decode_txns(std::string const& text,
                                            std::size_t count);

std::string encode_grant(milliseconds ttl);
result<lease_answer> decode_grant(std::string const& text);

std::string encode_lease(lease_id lease);

/** Errors besides: refused, when the lease has lapsed. */
result<lease_answer> decode_keep_alive(std::string const& text);

std::string encode_watch(std::string const& prefix, std::int64_t from_revision);

/** One line of a watch's stream. */
struct watch_line
{
    std::int64_t revision = 0; //!< of the service
    bool created = false;
    bool canceled = false;
    std::int64_t compacted = 0; //!< not 0: what was asked for is gone
    std::vector<key_change> changes;
    std::string message; //!< why it was canceled

    bool operator==(watch_line const&) const = default;
};

result<watch_line> decode_watch_line(std::string const& text);

/** The service's own words for an error answer, else the text itself. */
std::string decode_message(std::string const& text);

} // namespace cicada::store_detail
