#pragma once

#include "batch/batch.hpp"

#include <map>
#include <set>
#include <string>
#include <vector>

/**
 * Checks the scheduler's invariants on a history of what workers, the store
 * and callers observed. It shares no code with the scheduler, so that a fault
 * there can't hide itself here. Times are those of the model's clock.
 */
namespace cicada::batch::model
{

/** A run of a task as its worker observed it. */
struct observed_run
{
    std::uint64_t run = 0;
    std::string worker;
    instant started_at;
    bool ended = false;
    bool acknowledged = false;   //!< the placer has acknowledged its end
    bool repeated = false;       //!< the task started again after its end
    run_end end = run_end::done; //!< valid if `ended`
};

class checker
{
public:
    /** Tasks may start up to `max_start_delay` after a cancellation. */
    explicit checker(milliseconds max_start_delay = milliseconds{3000});

    /** The job was sent; it may be accepted. */
    void submitted(job const& sent);
    /** A cancellation was requested; whether it takes effect is unknown. */
    void cancel_sent(std::string const& job);
    /** A cancellation was confirmed; the earliest `at` of a job counts. */
    void cancelled(std::string const& job, instant at);
    /** Every attempt to submit the job was rejected: it must never run. */
    void rejected(std::string const& job);
    /** The caller received no acceptance: the job need not end. */
    void acceptance_unconfirmed(std::string const& job);
    void started(instant at,
                 task_ref const& task,
                 std::uint64_t run,
                 std::string const& worker,
                 resources const& used,
                 resources const& capacity);
    void ended(task_ref const& task,
               std::uint64_t run,
               std::string const& worker,
               run_end end);
    /** The worker received the acknowledgement of this end within its lease. */
    void acknowledged(task_ref const& task, std::uint64_t run);
    /** Callers can read this state of the job from now on. */
    void state_reported(std::string const& job, job_state state);
    /** At the end of the history: every accepted job must have ended. */
    void check_all_ended();

    /** One message for each violated invariant, in the order of discovery. */
    std::vector<std::string> const& violations() const;

private:
    void add_violation(std::string const& text);
    /** True if the task, or any member of its gang, has run to success. */
    bool has_succeeded(task_ref const& task) const;

    milliseconds max_start_delay;
    // The next five are by job.
    std::map<std::string, job> jobs;
    std::map<std::string, instant> cancelled_at; //!< never, if unconfirmed
    std::set<std::string> rejected_jobs;
    std::set<std::string> unconfirmed_jobs;
    std::map<std::string, job_state> states;
    std::map<task_ref, std::vector<observed_run>> runs;
    std::vector<std::string> found_violations;
};

} // namespace cicada::batch::model
