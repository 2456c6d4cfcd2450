#include "watch_cursor.hpp"

#include <algorithm>

namespace cicada::store_detail
{

namespace
{

watch_step take_compacted(watch_line const& line)
{
    watch_step step;
    step.cursor.next_revision = line.compacted + 1;
    step.events.push_back(watch_reset{line.compacted});
    step.ended = true;
    return step;
}

std::vector<key_change> unseen(watch_cursor const& cursor,
                               std::vector<key_change> const& changes)
{
    std::vector<key_change> fresh;
    std::copy_if(changes.begin(),
                 changes.end(),
                 std::back_inserter(fresh),
                 [&cursor](key_change const& each)
                 {
                     return each.now.mod_revision >= cursor.next_revision;
                 });
    return fresh;
}

watch_step take_changes(watch_cursor const& cursor, watch_line const& line)
{
    watch_step step;
    step.cursor = cursor;
    std::vector<key_change> fresh = unseen(cursor, line.changes);
    if (fresh.empty())
    {
        return step;
    }
    std::int64_t const last = fresh.back().now.mod_revision;
    step.cursor.next_revision = last + 1;
    step.events.push_back(watch_changes{last, std::move(fresh)});
    return step;
}

watch_step take_created(watch_cursor const& cursor, watch_line const& line)
{
    watch_step step;
    step.cursor = cursor;
    if (cursor.next_revision == 0)
    {
        step.cursor.next_revision = line.revision + 1;
    }
    step.events.push_back(watch_connected{line.revision});
    return step;
}

watch_step take_progress(watch_cursor const& cursor, watch_line const& line)
{
    watch_step step;
    step.cursor.next_revision =
        std::max(cursor.next_revision, line.revision + 1);
    return step;
}

} // namespace

watch_step take_line(watch_cursor const& cursor, watch_line const& line)
{
    if (line.compacted != 0)
    {
        return take_compacted(line);
    }
    if (line.canceled)
    {
        return {cursor, {}, true};
    }
    if (line.created)
    {
        return take_created(cursor, line);
    }
    return line.changes.empty() ? take_progress(cursor, line)
                                : take_changes(cursor, line);
}

} // namespace cicada::store_detail
