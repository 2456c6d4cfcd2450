#pragma once

#include "base/base.hpp"

#include <optional>
#include <string>

#include <sys/types.h>

/** One daemon as a process that this program started and may signal. */
namespace cicada::soak
{

/** How a process ended. */
struct process_end
{
    int exit_code = 0; //!< -1: by a signal
    int signal = 0;

    bool operator==(process_end const&) const = default;
};

class process
{
public:
    process() = default;
    /** Kills and reaps what still runs. */
    ~process();

    process(process const&) = delete;
    process& operator=(process const&) = delete;

    /** Output goes to the end of `log`. Errors: unavailable. */
    result<void> start(std::string const& program,
                       std::string const& settings,
                       std::string const& log);

    bool is_running() const;
    /** 0: none runs. */
    pid_t id() const;
    void signal(int number);

    /** Set once, when the process has ended since the last call. */
    std::optional<process_end> reap();

private:
    pid_t pid = 0; //!< 0: none
};

} // namespace cicada::soak
