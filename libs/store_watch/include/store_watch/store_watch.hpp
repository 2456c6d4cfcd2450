#pragma once

#include "base/base.hpp"

#include <optional>
#include <variant>
#include <vector>

/**
 * Keeps a copy of the items under a prefix of the store current: decides when
 * they are read as a whole, when they are watched, and when a call without a
 * response is given up. Holds no items. A pure state machine: no I/O, no clock.
 * Not thread-safe.
 */
namespace cicada::store_watch
{

struct watch_settings
{
    milliseconds wait{0};        //!< of the store, without a change
    milliseconds timeout{0};     //!< of a watch, with the wait
    milliseconds pause{0};       //!< between watches; changes accumulate
    milliseconds retry_delay{0}; //!< after a failed call

    bool operator==(watch_settings const&) const = default;
};

/** Shorter limits would leave too little time for a store's answer. */
constexpr milliseconds min_catch_up_limit{1000};

/**
 * Settings with which the copy is current at most `catch_up_limit` after the
 * store answers again, whenever the last call was sent: timeout, retry delay
 * and a fifth of the limit for the next call fit into it.
 */
watch_settings make_watch_settings(milliseconds catch_up_limit,
                                   milliseconds pause);

// ---- events; replies to calls other than the latest are ignored

/** Starts with a read of all items, or from the revision of an earlier one. */
struct watch_started
{
    std::optional<std::int64_t> from;
};

struct items_read
{
    std::uint64_t call = 0;
    std::int64_t at_revision = 0;
};

struct changes_read
{
    std::uint64_t call = 0;
    std::int64_t at_revision = 0;
    bool history_lost = false; //!< the store has discarded the changes
};

struct call_failed
{
    std::uint64_t call = 0;
};

/** After failures, another call to the store has been answered. */
struct store_recovered
{
    instant sent_at; //!< of that call
};

struct timer_fired
{
};

using event_body = std::variant<watch_started,
                                items_read,
                                changes_read,
                                call_failed,
                                store_recovered,
                                timer_fired>;

struct event
{
    instant at;
    event_body body;
};

// ---- effects

struct read_items
{
    std::uint64_t call = 0;
};

struct watch_items
{
    std::uint64_t call = 0;
    std::int64_t after = 0; //!< revision
    milliseconds wait{0};
    milliseconds timeout{0};
};

/** A timer_fired event is due after the delay. */
struct set_timer
{
    milliseconds delay{0};
};

using effect = std::variant<read_items, watch_items, set_timer>;

// ---- the state

struct watch_state
{
    watch_settings settings;
    std::int64_t revision = 0; //!< that the copy corresponds to
    bool has_items = false;    //!< if not, the next call reads all of them
    std::uint64_t call = 0;    //!< number of the latest call
    bool call_in_flight = false;
    instant sent_at;            //!< of the latest call
    bool retrying = false;      //!< the latest call failed; the next one is due
    std::optional<instant> due; //!< of the next call
};

watch_state make_watch(watch_settings const& settings);

/** True if the reply to the call is awaited. */
bool is_awaited(watch_state const& state, std::uint64_t call);

/** Applies the event and returns what to do, in order. */
std::vector<effect> step(watch_state& state, event const& input);

} // namespace cicada::store_watch
