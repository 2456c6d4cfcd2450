#pragma once

#include "core/core.hpp"

/**
 * What callers, endpoints and workers observed, and checks of the guarantees
 * on it. Shares no code with the reducer.
 */
namespace cicada::failure_testing
{

/** The outcome reported to a caller for one try. */
enum class reported_outcome
{
    nothing, //!< its daemon died, or no answer yet
    answered,
    not_run,
    ran,
    unknown
};

/** One try of a caller at one daemon. */
struct try_history
{
    std::string key;
    int starts = 0; //!< at endpoints
    int answers = 0;
    reported_outcome last = reported_outcome::nothing;
    bool daemon_died = false;
};

/** One Idempotency-Key, over all its tries. */
struct key_history
{
    bool idempotent = true;
    int starts = 0;
};

/** One task, over all its attempts. */
struct task_history
{
    int running = 0;
    int finished = 0;
};

/** Everything observed in one simulation. */
struct history
{
    std::map<request_id, try_history> tries;
    std::map<std::string, key_history> keys;
    std::map<std::string, task_history> tasks; //!< by "job/index"
    std::map<job_id, int> accepted_jobs;       //!< number of tasks by job
    bool workers_lost = false; //!< a task's end may be missed: it may run twice
    std::vector<std::string> violations; //!< guarantees violated
};

/** Records a violated guarantee. */
void report_violation(history& h, std::string const& what);

/** Checks the guarantees that hold only once all faults are repaired. */
void check_final_history(history& h);

} // namespace cicada::failure_testing
