#pragma once

#include "kv_state.hpp"

/**
 * The stand-in's calls and answers as etcd v3's JSON mapping writes them:
 * keys and values in base64, 64-bit numbers as strings, fields that are zero
 * left out. Reads both camelCase and snake_case names. Pure.
 */
namespace cicada::standin
{

/** What a watch asks for. */
struct watch_call
{
    key_range keys;
    std::int64_t start_revision = 0; //!< 0: from now on
};

/** An answer over HTTP. */
struct http_reply
{
    int status = 200;
    std::string body; //!< JSON

    bool operator==(http_reply const&) const = default;
};

/** How a call counts. */
enum class call_kind
{
    read,
    write,
    lease,
    other
};

/** The kind of the call at that path. */
call_kind kind_of(std::string const& path);

/** True if the path is one that answer_call() serves. */
bool is_call(std::string const& path);

/** Runs one call, but not a watch, on the state. */
http_reply answer_call(kv_state& state,
                       instant now,
                       std::string const& path,
                       std::string const& body);

/** Errors: invalid_input. */
result<watch_call> decode_watch(std::string const& body);

/** A watch's first line. */
std::string encode_created(std::int64_t revision);

/** A watch's line of changes; without any, its progress line. */
std::string encode_changes(std::int64_t revision,
                           std::vector<change> const& changes);

/** A watch's last line: what it asked for was compacted. */
std::string encode_compacted(std::int64_t revision, std::int64_t compacted);

} // namespace cicada::standin
