#include "batch_checker/batch_checker.hpp"

#include <algorithm>

namespace cicada::batch::model
{

namespace
{

std::string task_name(task_ref const& task)
{
    return task.job + "." + std::to_string(task.step) + "." +
           std::to_string(task.index);
}

} // namespace

checker::checker(milliseconds given) : max_start_delay(given) {}

void checker::add_violation(std::string const& text)
{
    this->found_violations.push_back(text);
}

std::vector<std::string> const& checker::violations() const
{
    return this->found_violations;
}

void checker::submitted(job const& sent)
{
    this->jobs.emplace(sent.id, sent);
}

void checker::cancelled(std::string const& job, instant at)
{
    auto const entry = this->cancelled_at.emplace(job, at);
    entry.first->second = std::min(entry.first->second, at);
}

void checker::cancel_sent(std::string const& job)
{
    // started() adds the limit to this time, which must not overflow.
    this->cancelled_at.emplace(job, instant::max() - this->max_start_delay);
}

void checker::rejected(std::string const& job)
{
    this->rejected_jobs.insert(job);
    for (auto const& entry : this->runs)
    {
        if (entry.first.job == job && !entry.second.empty())
        {
            this->add_violation("task of a rejected job ran: " +
                                task_name(entry.first));
        }
    }
}

void checker::acceptance_unconfirmed(std::string const& job)
{
    this->unconfirmed_jobs.insert(job);
}

bool checker::has_succeeded(task_ref const& task) const
{
    job const& its_job = this->jobs.at(task.job);
    bool const gang = its_job.steps[static_cast<std::size_t>(task.step)].gang;
    for (auto const& entry : this->runs)
    {
        bool const counts =
            gang ? entry.first.job == task.job && entry.first.step == task.step
                 : entry.first == task;
        if (!counts)
        {
            continue;
        }
        for (observed_run const& run : entry.second)
        {
            if (run.ended && run.end == run_end::done)
            {
                return true;
            }
        }
    }
    return false;
}

void checker::started(instant at,
                      task_ref const& task,
                      std::uint64_t run,
                      std::string const& worker,
                      resources const& used,
                      resources const& capacity)
{
    if (!fits(used, capacity))
    {
        this->add_violation("worker " + worker +
                            " over its capacity with task " + task_name(task));
    }
    auto const found = this->jobs.find(task.job);
    if (found == this->jobs.end())
    {
        this->add_violation("task of an unknown job started: " +
                            task_name(task));
        return;
    }
    if (this->rejected_jobs.count(task.job) != 0)
    {
        this->add_violation("task of a rejected job ran: " + task_name(task));
    }
    job const& its_job = found->second;
    auto const cancel = this->cancelled_at.find(task.job);
    if (cancel != this->cancelled_at.end() &&
        at > cancel->second + this->max_start_delay)
    {
        this->add_violation("task started after its job's cancellation: " +
                            task_name(task));
    }
    int failures = 0;
    for (observed_run& earlier_run : this->runs[task])
    {
        earlier_run.repeated = earlier_run.repeated || earlier_run.ended;
        if (!earlier_run.ended)
        {
            this->add_violation(
                "task started while an earlier run was active: " +
                task_name(task));
        }
        else if (earlier_run.end == run_end::done && earlier_run.acknowledged)
        {
            this->add_violation(
                "task started after its success was acknowledged: " +
                task_name(task));
        }
        failures += earlier_run.ended && earlier_run.end == run_end::failed &&
                            earlier_run.acknowledged
                        ? 1
                        : 0;
    }
    if (failures >= its_job.queue.max_attempts)
    {
        this->add_violation("task started after its last allowed attempt: " +
                            task_name(task));
    }
    for (int predecessor :
         its_job.steps[static_cast<std::size_t>(task.step)].after)
    {
        int const count =
            its_job.steps[static_cast<std::size_t>(predecessor)].count;
        for (int k = 0; k < count; ++k)
        {
            if (!this->has_succeeded({task.job, predecessor, k}))
            {
                this->add_violation(
                    "task started before its predecessors succeeded: " +
                    task_name(task));
            }
        }
    }
    this->runs[task].push_back({run, worker, at});
}

void checker::ended(task_ref const& task,
                    std::uint64_t run,
                    std::string const& worker,
                    run_end end)
{
    for (observed_run& each : this->runs[task])
    {
        // A restarted worker may start the same run again.
        if (each.run == run && each.worker == worker && !each.ended)
        {
            each.ended = true;
            each.end = end;
        }
    }
}

void checker::acknowledged(task_ref const& task, std::uint64_t run)
{
    for (observed_run& each : this->runs[task])
    {
        if (each.run != run || each.acknowledged)
        {
            continue;
        }
        each.acknowledged = true;
        if (each.repeated && each.end == run_end::done)
        {
            this->add_violation("task started again after a success that was "
                                "acknowledged later: " +
                                task_name(task));
        }
    }
}

void checker::state_reported(std::string const& id, job_state state)
{
    this->states[id] = state;
    auto const found = this->jobs.find(id);
    if (found == this->jobs.end())
    {
        this->add_violation("state reported of an unknown job: " + id);
        return;
    }
    job const& its_job = found->second;
    if (state == job_state::completed)
    {
        for (std::size_t i = 0; i < its_job.steps.size(); ++i)
        {
            for (int k = 0; k < its_job.steps[i].count; ++k)
            {
                if (!this->has_succeeded({id, static_cast<int>(i), k}))
                {
                    this->add_violation("job reported as completed before its "
                                        "tasks succeeded: " +
                                        id);
                    return;
                }
            }
        }
    }
    if (state == job_state::cancelled && this->cancelled_at.count(id) == 0)
    {
        this->add_violation(
            "job reported as cancelled without a cancellation: " + id);
    }
    if (state == job_state::failed)
    {
        std::map<task_ref, int> failures; // a gang counts as its member 0
        int max_failures = 0;
        for (auto const& entry : this->runs)
        {
            if (entry.first.job != id)
            {
                continue;
            }
            task_ref counted = entry.first;
            bool const gang =
                its_job.steps[static_cast<std::size_t>(counted.step)].gang;
            counted.index = gang ? 0 : counted.index;
            for (observed_run const& run : entry.second)
            {
                failures[counted] +=
                    run.ended && run.end == run_end::failed ? 1 : 0;
            }
            max_failures = std::max(max_failures, failures[counted]);
        }
        if (max_failures < its_job.queue.max_attempts)
        {
            this->add_violation(
                "job reported as failed before its last allowed attempt: " +
                id);
        }
    }
}

void checker::check_all_ended()
{
    for (auto const& entry : this->jobs)
    {
        if (this->unconfirmed_jobs.count(entry.first) != 0)
        {
            continue;
        }
        auto const state = this->states.find(entry.first);
        bool const ended = state != this->states.end() &&
                           state->second != job_state::queued &&
                           state->second != job_state::running;
        if (!ended)
        {
            this->add_violation("never ended: " + entry.first);
        }
    }
}

} // namespace cicada::batch::model
