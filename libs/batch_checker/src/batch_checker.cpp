#include "batch_checker/batch_checker.hpp"

#include <algorithm>

namespace cicada::batch::model
{

namespace
{

std::string name(task_ref const& task)
{
    return task.job + "." + std::to_string(task.step) + "." +
           std::to_string(task.index);
}

} // namespace

checker::checker(milliseconds cancel_limit) : limit(cancel_limit) {}

void checker::breach(std::string const& what)
{
    this->found.push_back(what);
}

std::vector<std::string> const& checker::violations() const
{
    return this->found;
}

void checker::submitted(job const& accepted)
{
    this->jobs.emplace(accepted.id, accepted);
}

void checker::cancelled(std::string const& job, instant at)
{
    auto const known = this->cancels.emplace(job, at);
    known.first->second = std::min(known.first->second, at);
}

void checker::cancel_sent(std::string const& job)
{
    this->cancels.emplace(job, instant::max() - this->limit);
}

void checker::rejected(std::string const& job)
{
    this->refused.insert(job);
    for (auto const& entry : this->runs)
    {
        if (entry.first.job == job && !entry.second.empty())
        {
            this->breach("refused, and it ran: " + name(entry.first));
        }
    }
}

void checker::acceptance_unconfirmed(std::string const& job)
{
    this->unaccepted.insert(job);
}

bool checker::ended_done(task_ref const& task) const
{
    job const& of = this->jobs.at(task.job);
    bool const gang = of.steps[static_cast<std::size_t>(task.step)].gang;
    for (auto const& entry : this->runs)
    {
        bool const same =
            gang ? entry.first.job == task.job && entry.first.step == task.step
                 : entry.first == task;
        if (!same)
        {
            continue;
        }
        for (seen_run const& run : entry.second)
        {
            if (run.over && run.how == run_end::done)
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
        this->breach("over capacity: " + worker + " by " + name(task));
    }
    auto const found = this->jobs.find(task.job);
    if (found == this->jobs.end())
    {
        this->breach("started and never handed in: " + name(task));
        return;
    }
    if (this->refused.count(task.job) != 0)
    {
        this->breach("refused, and it ran: " + name(task));
    }
    job const& of = found->second;
    auto const cancel = this->cancels.find(task.job);
    if (cancel != this->cancels.end() && at > cancel->second + this->limit)
    {
        this->breach("started after its cancellation: " + name(task));
    }
    int failures = 0;
    for (seen_run const& before : this->runs[task])
    {
        if (!before.over)
        {
            this->breach("two runs at once: " + name(task));
        }
        else if (before.how == run_end::done && before.acknowledged)
        {
            this->breach("started after its end was acknowledged: " +
                         name(task));
        }
        failures +=
            before.over && before.how == run_end::failed && before.acknowledged
                ? 1
                : 0;
    }
    if (failures >= of.queue.max_attempts)
    {
        this->breach("started too often: " + name(task));
    }
    for (int earlier : of.steps[static_cast<std::size_t>(task.step)].after)
    {
        int const count = of.steps[static_cast<std::size_t>(earlier)].count;
        for (int k = 0; k < count; ++k)
        {
            if (!this->ended_done({task.job, earlier, k}))
            {
                this->breach("started before its predecessors: " + name(task));
            }
        }
    }
    this->runs[task].push_back({run, worker, at});
}

void checker::ended(task_ref const& task,
                    std::uint64_t run,
                    std::string const& worker,
                    run_end how)
{
    for (seen_run& each : this->runs[task])
    {
        if (each.run == run && each.worker == worker)
        {
            each.over = true;
            each.how = how;
        }
    }
}

void checker::acknowledged(task_ref const& task, std::uint64_t run)
{
    for (seen_run& each : this->runs[task])
    {
        each.acknowledged = each.acknowledged || each.run == run;
    }
}

void checker::state_reported(std::string const& id, job_state state)
{
    this->states[id] = state;
    auto const found = this->jobs.find(id);
    if (found == this->jobs.end())
    {
        this->breach("shown and never handed in: " + id);
        return;
    }
    job const& of = found->second;
    if (state == job_state::completed)
    {
        for (std::size_t i = 0; i < of.steps.size(); ++i)
        {
            for (int k = 0; k < of.steps[i].count; ++k)
            {
                if (!this->ended_done({id, static_cast<int>(i), k}))
                {
                    this->breach("shown as completed too early: " + id);
                    return;
                }
            }
        }
    }
    if (state == job_state::cancelled && this->cancels.count(id) == 0)
    {
        this->breach("shown as cancelled without cause: " + id);
    }
    if (state == job_state::failed)
    {
        std::map<task_ref, int> failures; // by task, by gang under member 0
        int most = 0;
        for (auto const& entry : this->runs)
        {
            if (entry.first.job != id)
            {
                continue;
            }
            task_ref counted = entry.first;
            bool const gang =
                of.steps[static_cast<std::size_t>(counted.step)].gang;
            counted.index = gang ? 0 : counted.index;
            for (seen_run const& run : entry.second)
            {
                failures[counted] +=
                    run.over && run.how == run_end::failed ? 1 : 0;
            }
            most = std::max(most, failures[counted]);
        }
        if (most < of.queue.max_attempts)
        {
            this->breach("shown as failed too early: " + id);
        }
    }
}

void checker::check_all_ended()
{
    for (auto const& entry : this->jobs)
    {
        if (this->unaccepted.count(entry.first) != 0)
        {
            continue;
        }
        auto const state = this->states.find(entry.first);
        bool const over = state != this->states.end() &&
                          state->second != job_state::queued &&
                          state->second != job_state::running;
        if (!over)
        {
            this->breach("never ended: " + entry.first);
        }
    }
}

} // namespace cicada::batch::model
