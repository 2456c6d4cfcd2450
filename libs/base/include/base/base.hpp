#pragma once

#include <boost/outcome/policy/all_narrow.hpp>
#include <boost/outcome/result.hpp>

#include <chrono>
#include <compare>
#include <cstdint>
#include <functional>
#include <string>
#include <utility>

/**
 * What every library of the project shares: identifiers, time, resources,
 * errors. All are immutable values; all functions may be called from any
 * thread.
 */
namespace cicada
{

using milliseconds = std::chrono::milliseconds;
using seconds = std::chrono::seconds;

/** A point of the process's monotonic clock; never sent to other processes. */
using instant =
    std::chrono::time_point<std::chrono::steady_clock, milliseconds>;

/** A point of calendar time, UTC; shown to people, never used to decide. */
using wall_time =
    std::chrono::time_point<std::chrono::system_clock, milliseconds>;

/** A name of one kind of thing; names of two kinds don't mix. */
template <class Tag>
struct identifier
{
    std::string value; //!< never empty but in a default-made identifier

    bool empty() const
    {
        return this->value.empty();
    }

    bool operator==(identifier const&) const = default;
    std::strong_ordering operator<=>(identifier const&) const = default;
};

using daemon_id = identifier<struct daemon_tag>;
using worker_id = identifier<struct worker_tag>;
using endpoint_id = identifier<struct endpoint_tag>;
using zone_id = identifier<struct zone_tag>;
using shard_id = identifier<struct shard_tag>; //!< a rack, as "zone/rack"
using tenant_id = identifier<struct tenant_tag>;
using workload_id = identifier<struct workload_tag>;
using pool_id = identifier<struct pool_tag>; //!< of like endpoints
using request_id = identifier<struct request_tag>;
using attempt_id = identifier<struct attempt_tag>;
using job_id = identifier<struct job_tag>;
using task_id = identifier<struct task_tag>;

/** Grows each time a shard gets a new owner; zero: never owned. */
struct epoch
{
    std::uint64_t value = 0;

    bool operator==(epoch const&) const = default;
    std::strong_ordering operator<=>(epoch const&) const = default;
};

/** Where an HTTP service listens. */
struct address
{
    std::string host; //!< an IP number
    std::uint16_t port = 0;

    bool operator==(address const&) const = default;
    std::strong_ordering operator<=>(address const&) const = default;
};

/** "host:port". */
std::string to_string(address const& where);

/** What a worker has, or a task takes. */
struct resources
{
    std::int64_t milli_cores = 0;  //!< thousandths of a processor
    std::int64_t memory_mib = 0;   //!< mebibytes
    std::int64_t accelerators = 0; //!< whole devices

    bool operator==(resources const&) const = default;
};

resources operator+(resources const& left, resources const& right);
resources operator-(resources const& left, resources const& right);

/** `count` times as much of each. */
resources operator*(resources const& each, std::int64_t count);

/** True if each part of `needed` is at most that of `available`. */
bool fits(resources const& needed, resources const& available);

/** True if no part is below zero. */
bool non_negative(resources const& amount);

/** The kinds of failure; each has one stable name, see to_string(). */
enum class error_code
{
    invalid_input, //!< the text or message breaks its format
    refused,       //!< the other side understood and said no
    unavailable,   //!< known not to have taken effect
    unknown        //!< may have taken effect, then or later
};

/** "invalid_input", "refused", "unavailable" or "unknown". */
char const* to_string(error_code code);

/** Why something failed. */
struct error
{
    error_code code = error_code::invalid_input;
    std::string message; //!< for people; names the field where there is one

    bool operator==(error const&) const = default;
};

/** A value or an error; reading the wrong one is a broken invariant. */
template <class T>
using result = BOOST_OUTCOME_V2_NAMESPACE::
    basic_result<T, error, BOOST_OUTCOME_V2_NAMESPACE::policy::all_narrow>;

} // namespace cicada

template <class Tag>
struct std::hash<cicada::identifier<Tag>>
{
    std::size_t operator()(cicada::identifier<Tag> const& id) const noexcept
    {
        return std::hash<std::string>()(id.value);
    }
};
