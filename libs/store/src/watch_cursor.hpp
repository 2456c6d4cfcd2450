#pragma once

#include "codec.hpp"

/**
 * How far a watch has come, over any number of streams: what each line means
 * to the handler, and where the next stream must start. Pure.
 */
namespace cicada::store_detail
{

/** Where a watch is. */
struct watch_cursor
{
    std::int64_t next_revision = 0; //!< 0: not known yet, from now on

    bool operator==(watch_cursor const&) const = default;
};

/** What a line did. */
struct watch_step
{
    watch_cursor cursor;
    std::vector<watch_event> events; //!< for the handler
    bool ended = false;              //!< the stream must be opened anew

    bool operator==(watch_step const&) const = default;
};

/** Takes one line of the stream in. */
watch_step take_line(watch_cursor const& cursor, watch_line const& line);

} // namespace cicada::store_detail
