#pragma once

#include "base/base.hpp"

#include <string>
#include <vector>

/**
 * Numbered log events over glog. Every line that a program logs is an event
 * of the catalogue, which docs/EVENTS.md explains. Writing may be done from
 * any thread; open_log() and close_log() once each, from main.
 */
namespace cicada
{

/** How bad an event is. */
enum class event_level
{
    info,
    warning,
    error
};

/** "info", "warning" or "error". */
char const* to_string(event_level level);

/** One kind of event. */
struct event_entry
{
    int number = 0; //!< never given to another kind
    event_level level = event_level::info;
    std::string text;

    bool operator==(event_entry const&) const = default;
};

/** All kinds, by number. */
std::vector<event_entry> const& event_catalogue();

/** Where events go. */
struct log_settings
{
    std::string program;
    std::string directory; //!< empty: the standard error stream
    event_level min_level = event_level::info;

    bool operator==(log_settings const&) const = default;
};

/** Sets the log up. */
void open_log(log_settings const& settings);

/** Writes out what is buffered. */
void close_log();

/**
 * Writes "NUMBER text: detail" as one line of at most about 1 KiB. A number
 * that the catalogue lacks is written as event 1.
 */
void write_event(int number, std::string const& detail);

} // namespace cicada
