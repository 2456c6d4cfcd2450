#pragma once

#include "base/base.hpp"

#include <cstdint>
#include <map>
#include <string>

/**
 * A structured log on a file descriptor that never blocks the writer. Lines
 * are dropped and counted when the buffer is full because the reader is slow,
 * and above the rate limit of an event. docs/EVENTS.md lists the events. Not
 * thread-safe.
 */
namespace cicada
{

struct decision_log_settings
{
    int descriptor = 1;         //!< standard output
    std::string daemon;         //!< its name, in each line
    int lines_per_second = 400; //!< limit for each event number
    std::size_t max_buffered_bytes = std::size_t{64} << 10;

    bool operator==(decision_log_settings const&) const = default;
};

class decision_log
{
public:
    /** Makes the descriptor non-blocking. */
    explicit decision_log(decision_log_settings settings);

    /** Appends `at=MS daemon=NAME event=NUMBER name="..." DETAIL`. */
    void write(instant now, int number, std::string const& detail);

    /** Writes buffered lines until the descriptor would block. */
    void flush();

    /** Lines dropped since construction. */
    std::uint64_t dropped_lines() const;

private:
    void append(std::string const& line);
    void start_second_if_due(instant now);

    decision_log_settings settings;
    std::string buffer;
    instant second_start;               //!< of the current rate limit period
    std::map<int, int> lines_in_second; //!< by event number
    std::uint64_t dropped = 0;
    std::uint64_t reported_dropped = 0; //!< already logged as event 120
};

} // namespace cicada
