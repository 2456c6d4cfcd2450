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
    void handed_in(job const& accepted);
    void cancelled(std::string const& job, instant at);
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
    void shown(std::string const& job, job_state state);
    /** Nothing happens any more: every job must be over. */
    void settled();

    std::vector<std::string> const& broken() const;

private:
    void breach(std::string const& what);
    bool ended_done(task_ref const& task) const;

    std::map<std::string, job> jobs;
    std::map<std::string, instant> cancels;
    std::map<std::string, job_state> states;
    std::map<task_ref, std::vector<seen_run>> runs;
    std::vector<std::string> found;
};

} // namespace cicada::batch::model
