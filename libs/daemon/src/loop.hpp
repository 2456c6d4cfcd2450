#pragma once

#include "core/core.hpp"

#include <functional>

/**
 * The daemon's one decision thread, as its parts see it. Parts hand events in
 * from that thread only; other threads post functions to it.
 */
namespace cicada
{

/** What a part may ask of the loop; outlives all parts. */
struct loop
{
    /** Runs a function on the decision thread; any thread may call it. */
    std::function<void(std::function<void()>)> post;

    /** Runs a function on the decision thread after a delay. */
    std::function<void(milliseconds, std::function<void()>)> after;

    /** Feeds the reducer; on the decision thread only. */
    std::function<void(event_body)> feed;

    /** Logs a numbered event; on the decision thread only. */
    std::function<void(int, std::string const&)> log;
};

/** The monotonic clock. */
instant clock_now();

} // namespace cicada
