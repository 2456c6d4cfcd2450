#include "judge.h"

#include <algorithm>
#include <iomanip>
#include <sstream>

namespace review
{

std::optional<task_name> read_task(std::string const& text)
{
    std::size_t const dot = text.find('.');
    task_name out;
    int occurrence = 0;
    if (dot == std::string::npos || std::sscanf(text.c_str() + dot,
                                                ".%d.%d.%d",
                                                &occurrence,
                                                &out.step,
                                                &out.index) != 3)
    {
        return std::nullopt;
    }
    out.job = text.substr(0, dot);
    return out;
}

namespace
{

std::string to_text(task_name const& task)
{
    return task.job + ".0." + std::to_string(task.step) + "." +
           std::to_string(task.index);
}

} // namespace

judge::judge(std::string const& file) : out(file) {}

void judge::note(std::string const& line)
{
    std::ostringstream text;
    text << std::fixed << std::setprecision(3)
         << std::chrono::duration<double>(clock::now() - this->began).count()
         << " " << line << "\n";
    this->out << text.str() << std::flush;
}

void judge::broken(std::string const& rule, std::string const& what)
{
    this->broken_rules[rule] += 1;
    this->first_broken.emplace(rule, what);
    this->note("BROKEN " + rule + ": " + what);
}

void judge::started(task_name const& task,
                    std::uint64_t run,
                    std::string const& executor,
                    std::string const& spec)
{
    this->starts += 1;
    std::string const name = to_text(task);
    this->note("start " + name + " run " + std::to_string(run) + " on " +
               executor);
    auto const job = this->jobs.find(task.job);
    if (job == this->jobs.end() || job->second.spec != spec ||
        task.step >= static_cast<int>(job->second.steps.size()) ||
        task.index >=
            job->second.steps[static_cast<std::size_t>(task.step)].count)
    {
        this->broken("UNASKED", name + " was started and nobody sent it");
        return;
    }
    task_history& history = this->tasks[task];
    for (auto const& other : history.running)
    {
        this->broken("TWICE",
                     name + " run " + std::to_string(run) + " starts on " +
                         executor + " while run " +
                         std::to_string(other.first) + " runs on " +
                         other.second);
    }
    if (history.done_noted)
    {
        this->broken("TWICE",
                     name + " starts on " + executor +
                         " after an end done that was taken note of");
    }
    for (auto& done : history.starts_after)
    {
        done.second.push_back(executor);
    }
    history.running[run] = executor;
    if (static_cast<int>(history.failed_noted.size()) >= this->max_attempts)
    {
        this->broken("BUDGET", name + " starts after its last attempt");
    }
    step_shape const& shape =
        job->second.steps[static_cast<std::size_t>(task.step)];
    for (int earlier : shape.after)
    {
        step_shape const& before =
            job->second.steps[static_cast<std::size_t>(earlier)];
        for (int k = 0; k < (before.gang ? 1 : before.count); ++k)
        {
            if (!this->tasks[{task.job, earlier, k}].done)
            {
                this->broken("ORDER", name + " starts before its step's turn");
            }
        }
    }
    if (job->second.cancelled &&
        clock::now() > job->second.cancelled_at + milliseconds(3000))
    {
        this->broken("UNASKED", name + " starts after its cancelling");
    }
}

void judge::ended(task_name const& task,
                  std::uint64_t run,
                  std::string const& executor,
                  std::string const& how)
{
    this->ends[how] += 1;
    this->note("end " + to_text(task) + " run " + std::to_string(run) + " on " +
               executor + " " + how);
    task_history& history = this->tasks[task];
    history.running.erase(run);
    if (how == "done")
    {
        history.done = true;
        history.starts_after[run]; // from now on
        auto const job = this->jobs.find(task.job);
        if (job != this->jobs.end() &&
            job->second.steps[static_cast<std::size_t>(task.step)].gang)
        {
            this->tasks[{task.job, task.step, 0}].done = true;
        }
    }
}

void judge::taken_note(task_name const& task,
                       std::uint64_t run,
                       std::string const& how)
{
    task_history& history = this->tasks[task];
    if (how == "failed")
    {
        history.failed_noted.insert(run);
    }
    if (how != "done")
    {
        return;
    }
    history.done_noted = true;
    for (std::string const& each : history.starts_after[run])
    {
        this->broken("TWICE",
                     to_text(task) + " was started on " + each +
                         " after an end done that was taken note of later");
    }
}

bool judge::step_done(job_record const& job, int step) const
{
    step_shape const& shape = job.steps[static_cast<std::size_t>(step)];
    for (int k = 0; k < (shape.gang ? 1 : shape.count); ++k)
    {
        auto const found = this->tasks.find({job.id, step, k});
        if (found == this->tasks.end() || !found->second.done)
        {
            return false;
        }
    }
    return true;
}

int judge::running(job_record const& job) const
{
    int sum = 0;
    for (auto each = this->tasks.lower_bound({job.id, 0, 0});
         each != this->tasks.end() && each->first.job == job.id;
         ++each)
    {
        sum += static_cast<int>(each->second.running.size());
    }
    return sum;
}

int judge::step_due(job_record const& job) const
{
    for (std::size_t k = 0; k < job.steps.size(); ++k)
    {
        std::vector<int> const& after = job.steps[k].after;
        bool const ready = std::all_of(after.begin(),
                                       after.end(),
                                       [this, &job](int earlier)
                                       {
                                           return this->step_done(job, earlier);
                                       });
        if (ready && !this->step_done(job, static_cast<int>(k)))
        {
            return static_cast<int>(k);
        }
    }
    return -1;
}

bool judge::failed(job_record const& job) const
{
    for (auto each = this->tasks.lower_bound({job.id, 0, 0});
         each != this->tasks.end() && each->first.job == job.id;
         ++each)
    {
        if (static_cast<int>(each->second.failed_noted.size()) >=
            this->max_attempts)
        {
            return true;
        }
    }
    return false;
}

} // namespace review
