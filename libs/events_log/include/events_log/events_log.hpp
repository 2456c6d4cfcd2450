#pragma once

#include "base/base.hpp"

#include <string>
#include <vector>

/**
 * Numbered log events, written with glog. Every log line is an event of the
 * catalogue, which docs/EVENTS.md documents. write_event() may be called from
 * any thread; main() calls open_log() and close_log() once each.
 */
namespace cicada
{

enum class event_level
{
    info,
    warning,
    error
};

/** "info", "warning" or "error". */
char const* to_string(event_level level);

/** An entry of the catalogue. */
struct event_entry
{
    int number = 0; //!< unique; never reused
    event_level level = event_level::info;
    std::string text;

    bool operator==(event_entry const&) const = default;
};

/** All entries, sorted by number. */
std::vector<event_entry> const& event_catalogue();

struct log_settings
{
    std::string program;
    std::string directory; //!< of the log files; empty: standard error
    event_level min_level = event_level::info;

    bool operator==(log_settings const&) const = default;
};

/** Initialises glog. */
void open_log(log_settings const& settings);

/** Flushes the log and shuts glog down. */
void close_log();

/**
 * Writes "NUMBER text: detail" as one line. The detail is cut at 1000 bytes,
 * and its control characters become spaces. A number that isn't in the
 * catalogue is written as event 1.
 */
void write_event(int number, std::string const& detail);

} // namespace cicada
