#pragma once

#include "base/base.hpp"

#include <algorithm>

namespace cicada::cell
{

/** What the outcomes of calls say about the store. */
struct store_health
{
    instant answered_at;      //!< the last answer
    instant answered_sent_at; //!< the latest call that was answered
    instant failed_sent_at;   //!< the latest call that failed

    bool operator==(store_health const&) const = default;
};

/** Calls that were sent before one that was answered tell nothing new. */
inline bool is_failing(store_health const& health)
{
    return health.failed_sent_at > health.answered_sent_at;
}

inline void
record_call(store_health& health, instant sent_at, instant at, bool answered)
{
    if (!answered)
    {
        health.failed_sent_at = std::max(health.failed_sent_at, sent_at);
        return;
    }
    health.answered_at = at;
    health.answered_sent_at = std::max(health.answered_sent_at, sent_at);
}

} // namespace cicada::cell
