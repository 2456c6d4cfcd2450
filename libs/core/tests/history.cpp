#include "history.hpp"

namespace cicada::failure_testing
{
namespace
{

void check_try(history& h, request_id const& id, try_history const& t)
{
    if (t.answers > 1)
    {
        report_violation(h, id.value + " was answered twice");
    }
    if (t.answers == 0 && !t.daemon_died)
    {
        report_violation(h, id.value + " was never answered");
    }
    if (t.last == reported_outcome::not_run && t.starts > 0)
    {
        report_violation(h, id.value + " was told not run, and ran");
    }
    if (t.last == reported_outcome::answered && t.starts == 0)
    {
        report_violation(h, id.value + " was answered, and never ran");
    }
    bool const ran = h.keys.at(t.key).starts > 0;
    if (t.last == reported_outcome::ran && !ran)
    {
        report_violation(h, id.value + " was told ran, and never ran");
    }
}

void check_job_history(history& h, job_id const& job, int tasks)
{
    for (int i = 0; i < tasks; ++i)
    {
        std::string const name = job.value + "/" + std::to_string(i);
        int const finished = h.tasks[name].finished;
        if (finished < 1 || (finished > 1 && !h.workers_lost))
        {
            report_violation(h, name + " finished " + std::to_string(finished));
        }
    }
}

} // namespace

void report_violation(history& h, std::string const& what)
{
    h.violations.push_back(what);
}

void check_final_history(history& h)
{
    for (auto const& [id, t] : h.tries)
    {
        check_try(h, id, t);
    }
    for (auto const& [key, k] : h.keys)
    {
        if (!k.idempotent && k.starts > 1)
        {
            report_violation(h, key + " is non-idempotent and started twice");
        }
    }
    for (auto const& [job, tasks] : h.accepted_jobs)
    {
        check_job_history(h, job, tasks);
    }
}

} // namespace cicada::failure_testing
