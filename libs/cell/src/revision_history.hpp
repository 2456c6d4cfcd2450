#pragma once

#include "base/base.hpp"

#include <algorithm>
#include <cstdint>
#include <deque>
#include <optional>

namespace cicada::cell
{

/** A revision of the store, and a time at which the store had reached it. */
struct seen_revision
{
    std::int64_t revision = 0;
    instant at;

    bool operator==(seen_revision const&) const = default;
};

/** The revisions that a daemon has seen in answers of the store. */
struct revision_history
{
    std::deque<seen_revision> seen; //!< both members rise

    bool operator==(revision_history const&) const = default;
};

inline void
note_revision(revision_history& history, std::int64_t revision, instant at)
{
    constexpr milliseconds interval{200};
    constexpr std::size_t most = 300; // a minute at least
    std::deque<seen_revision>& seen = history.seen;
    bool const too_soon = !seen.empty() && at < seen.back().at + interval;
    if (too_soon || (!seen.empty() && revision <= seen.back().revision))
    {
        return;
    }
    seen.push_back({revision, at});
    if (seen.size() > most)
    {
        seen.pop_front();
    }
}

/** Returns the earliest known time at which a change with this revision was
 * stored already; none if it may be later than all that was seen. */
inline std::optional<instant> stored_by(revision_history const& history,
                                        std::int64_t revision)
{
    auto const found =
        std::lower_bound(history.seen.begin(),
                         history.seen.end(),
                         revision,
                         [](seen_revision const& each, std::int64_t wanted)
                         {
                             return each.revision < wanted;
                         });
    return found == history.seen.end() ? std::nullopt
                                       : std::optional<instant>(found->at);
}

} // namespace cicada::cell
