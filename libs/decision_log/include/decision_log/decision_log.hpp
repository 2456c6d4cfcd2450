#pragma once

#include "base/base.hpp"

#include <cstdint>
#include <map>
#include <string>

/**
 * Structured lines on a file descriptor that never make the writer wait: what
 * the reader doesn't take is counted and left out, and so are lines of one
 * event beyond its budget. Events are those of docs/EVENTS.md. Not
 * thread-safe.
 */
namespace cicada
{

struct decision_log_settings
{
    int descriptor = 1;                                //!< standard output
    std::string daemon;                                //!< named in each line
    int lines_per_second = 400;                        //!< of one event number
    std::size_t most_buffered = std::size_t{64} << 10; //!< bytes

    bool operator==(decision_log_settings const&) const = default;
};

class decision_log
{
public:
    /** Makes the descriptor non-blocking. */
    explicit decision_log(decision_log_settings settings);

    /** `at=MS daemon=NAME event=NUMBER name="..." DETAIL`. */
    void write(instant now, int number, std::string const& detail);

    /** Writes what is buffered, as far as the reader takes it. */
    void flush();

    /** Lines left out since the start. */
    std::uint64_t dropped_lines() const;

private:
    void append(std::string const& line);
    void begin_second(instant now);

    decision_log_settings settings;
    std::string buffer;
    instant second;
    std::map<int, int> written; //!< in this second, by event
    std::uint64_t dropped = 0;
    std::uint64_t reported = 0;
};

} // namespace cicada
