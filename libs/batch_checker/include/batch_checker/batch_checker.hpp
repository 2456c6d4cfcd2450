#pragma once

#include "batch/batch.hpp"

#include <map>
#include <set>
#include <string>
#include <vector>

/**
 * Judges a history by what workers, the store and callers saw; shares no code
 * with the decisions. Times are those of the model, in milliseconds.
 */
namespace cicada::batch::model
{

/** A run as its worker saw it. */
struct seen_run
{
    std::uint64_t run = 0;
    std::string worker;
    instant began;
    bool over = false;
    bool acknowledged = false;
    run_end how = run_end::done;
};

class checker
{
public:
    /** `cancel_limit`: no start later than this after a cancellation. */
    explicit checker(milliseconds cancel_limit = milliseconds{3000});

    void submitted(job const& accepted);
    /** A cancellation may be in force from now on, or never. */
    void cancel_sent(std::string const& job);
    void cancelled(std::string const& job, instant at);
    /** Every attempt to hand it in was refused as not run. */
    void rejected(std::string const& job);
    /** Nobody was told that it is accepted: it need not end. */
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
               run_end how);
    /** The worker has been told to forget this end; its lease held. */
    void acknowledged(task_ref const& task, std::uint64_t run);
    /** What callers may be shown from now on. */
    void state_reported(std::string const& job, job_state state);
    /** Nothing happens any more: every job must be over. */
    void check_all_ended();

    std::vector<std::string> const& violations() const;

private:
    void breach(std::string const& what);
    bool ended_done(task_ref const& task) const;

    milliseconds limit;
    std::map<std::string, job> jobs;
    std::map<std::string, instant> cancels;
    std::set<std::string> refused;
    std::set<std::string> unaccepted;
    std::map<std::string, job_state> states;
    std::map<task_ref, std::vector<seen_run>> runs;
    std::vector<std::string> found;
};

} // namespace cicada::batch::model
