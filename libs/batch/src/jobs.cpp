#include "state.hpp"

#include "event_numbers/event_numbers.hpp"

#include <algorithm>

namespace cicada::batch
{

bool has_ended(job_state state)
{
    return state == job_state::completed || state == job_state::failed ||
           state == job_state::cancelled;
}

instant latest_start(job_record const& j, std::size_t step)
{
    return j.objective - j.steps[step].remaining_chain;
}

int placement_rank(job_record const& j, std::size_t step, instant now)
{
    // Late work is placed after less urgent work that is in time. Past three
    // times its objective it has no value.
    constexpr int max_late_spans = 2;
    milliseconds const overdue =
        std::chrono::duration_cast<milliseconds>(now - latest_start(j, step));
    milliseconds const span =
        std::chrono::duration_cast<milliseconds>(j.objective - j.arrived);
    // What a customer sends beyond its share comes after the work within the
    // shares of all.
    int const priority = j.accepted.queue.priority +
                         (j.beyond_share ? beyond_share_demotion : 0);
    if (overdue.count() <= 0)
    {
        return priority;
    }
    return overdue <= span * max_late_spans ? priority + late_demotion
                                            : worthless_rank;
}

bool step_ready(job_record const& j, std::size_t step)
{
    std::vector<int> const& after = j.accepted.steps[step].after;
    return std::all_of(after.begin(),
                       after.end(),
                       [&j](int earlier)
                       {
                           return is_done(
                               j.steps[static_cast<std::size_t>(earlier)]);
                       });
}

step_record* find_step(scheduler& s, task_ref const& task)
{
    auto const found = s.jobs.find(task.job);
    if (found == s.jobs.end() || task.step < 0 || task.index < 0 ||
        task.step >= static_cast<int>(found->second.steps.size()))
    {
        return nullptr;
    }
    step_record& step =
        found->second.steps[static_cast<std::size_t>(task.step)];
    return task.index < step.count ? &step : nullptr;
}

bool is_done(step_record const& step)
{
    return step.done == step.count;
}

task_phase phase_of(step_record const& step, int index)
{
    if (!step.done_tasks.empty() &&
        step.done_tasks[static_cast<std::size_t>(index)])
    {
        return task_phase::done;
    }
    return find_placed(step, index) != nullptr ? task_phase::placed
                                               : task_phase::waiting;
}

task_record const* find_placed(step_record const& step, int index)
{
    auto const found = step.tasks.find(index);
    return found != step.tasks.end() && found->second.placed ? &found->second
                                                             : nullptr;
}

task_record& mark_placed(step_record& step,
                         int index,
                         std::string const& worker,
                         std::uint64_t run)
{
    task_record& record = step.tasks[index];
    record.placed = true;
    record.worker = worker;
    record.run = run;
    step.waiting -= 1;
    step.placed += 1;
    step.gang_run = run;
    return record;
}

void mark_changed(scheduler& s, job_record& j)
{
    s.changes += 1;
    s.unsaved_jobs.emplace(j.accepted.id, s.changes);
}

void mark_started(scheduler& s, task_ref const& task)
{
    auto const found = s.jobs.find(task.job);
    if (found != s.jobs.end())
    {
        found->second.has_started = true;
    }
}

namespace
{

/** Marks a task as done that isn't. */
void mark_done(step_record& step, int index)
{
    (find_placed(step, index) != nullptr ? step.placed : step.waiting) -= 1;
    step.done += 1;
    step.tasks.erase(index);
    step.done_tasks.resize(static_cast<std::size_t>(step.count));
    step.done_tasks[static_cast<std::size_t>(index)] = true;
}

/** Returns a placed task to waiting. */
void mark_waiting(step_record& step, int index, std::string const& checkpoint)
{
    auto const found = step.tasks.find(index);
    task_record& record = found->second;
    record.placed = false;
    record.worker.clear();
    if (!checkpoint.empty())
    {
        record.checkpoint = checkpoint;
    }
    step.placed -= 1;
    step.waiting += 1;
    if (record.checkpoint.empty() && record.failed_runs.empty())
    {
        step.tasks.erase(found);
    }
}

/** Returns whether the progress lists steps or tasks that the job lacks. */
bool lists_unknown_tasks(job_record const& j, job_progress const& progress)
{
    std::size_t const steps = j.steps.size();
    if (progress.done.size() > steps || progress.failed_runs.size() > steps)
    {
        return true;
    }
    for (std::size_t i = 0; i < progress.done.size(); ++i)
    {
        if (progress.done[i].size() >
            static_cast<std::size_t>(j.steps[i].count))
        {
            return true;
        }
    }
    for (std::size_t i = 0; i < progress.failed_runs.size(); ++i)
    {
        auto const& failed = progress.failed_runs[i];
        if (!failed.empty() && (failed.begin()->first < 0 ||
                                failed.rbegin()->first >= j.steps[i].count))
        {
            return true;
        }
    }
    return false;
}

void restore_done(step_record& step, std::vector<bool> const& done)
{
    int const listed = std::min(step.count, static_cast<int>(done.size()));
    for (int k = 0; k < listed; ++k)
    {
        if (done[static_cast<std::size_t>(k)])
        {
            mark_done(step, k);
        }
    }
}

void restore_failed_runs(
    step_record& step,
    std::map<int, std::set<std::uint64_t>> const& failed_runs)
{
    for (auto const& failed : failed_runs)
    {
        if (failed.first >= 0 && failed.first < step.count &&
            phase_of(step, failed.first) != task_phase::done)
        {
            step.tasks[failed.first].failed_runs = failed.second;
        }
    }
}

/** Continues from the progress, as far as it lists the job's tasks. */
void restore(scheduler& s, job_record& j, job_progress const& progress)
{
    if (lists_unknown_tasks(j, progress))
    {
        log(s,
            events::malformed_answer,
            "job=" + j.accepted.id +
                " why=\"its progress lists tasks that it lacks\"");
    }
    j.state = progress.state;
    j.stored_state = progress.state;
    j.has_started = progress.state != job_state::queued;
    for (std::size_t i = 0; i < j.steps.size(); ++i)
    {
        if (i < progress.done.size())
        {
            restore_done(j.steps[i], progress.done[i]);
        }
        if (i < progress.failed_runs.size())
        {
            restore_failed_runs(j.steps[i], progress.failed_runs[i]);
        }
    }
}

void end_job(scheduler& s, job_record& j, job_state state)
{
    j.state = state;
    mark_changed(s, j);
    s.active_jobs.erase(j.accepted.id);
    for (std::size_t i = 0; i < j.steps.size(); ++i)
    {
        step_record& step = j.steps[i];
        for (auto const& task : step.tasks)
        {
            auto const w = s.workers.find(task.second.worker);
            if (task.second.placed && w != s.workers.end())
            {
                stop_run(s,
                         w->second,
                         {j.accepted.id, static_cast<int>(i), task.first});
            }
        }
        step.advice.clear();
    }
    s.placement_due = true;
}

void complete_if_done(scheduler& s, job_record& j)
{
    bool const all = std::all_of(j.steps.begin(), j.steps.end(), is_done);
    if (all && !has_ended(j.state))
    {
        end_job(s, j, job_state::completed);
        log(s,
            events::job_finished,
            "job=" + j.accepted.id + " outcome=completed");
    }
}

} // namespace

void handle_job(scheduler& s, job_stored const& given)
{
    bool const of_successor = given.accepted.epoch > s.settings.epoch;
    if (s.jobs.count(given.accepted.id) != 0 || of_successor)
    {
        return;
    }
    job_record& j = s.jobs[given.accepted.id];
    j.accepted = given.accepted;
    j.terms = {j.accepted.queue.service, j.accepted.queue.advice};
    apply_queue_terms(s, j);
    j.adopted = given.accepted.epoch < s.settings.epoch;
    j.beyond_share = !j.adopted && !take_share(s, j.accepted.customer);
    j.arrived = s.now;
    j.chain = longest_chain(j.accepted);
    j.objective = s.now + j.accepted.queue.target +
                  milliseconds(static_cast<std::int64_t>(
                      static_cast<double>(j.chain.count()) *
                      j.accepted.queue.slack_factor));
    j.next_run = s.settings.epoch * runs_per_epoch + 1;
    for (task_step const& step : j.accepted.steps)
    {
        step_record record;
        record.count = step.count;
        record.waiting = step.count;
        j.steps.push_back(std::move(record));
    }
    note_work(s, j);
    for (std::size_t i = j.steps.size(); i-- > 0;)
    {
        // Steps depend only on earlier ones, so the chains of this step's
        // dependents are already computed.
        j.steps[i].remaining_chain += j.accepted.steps[i].estimate;
        for (int earlier : j.accepted.steps[i].after)
        {
            step_record& before = j.steps[static_cast<std::size_t>(earlier)];
            before.remaining_chain =
                std::max(before.remaining_chain, j.steps[i].remaining_chain);
        }
    }
    if (given.progress)
    {
        restore(s, j, *given.progress);
        j.saved_revision = given.progress_revision;
    }
    if (!has_ended(j.state))
    {
        s.active_jobs.insert(j.accepted.id);
        s.placement_due = true;
    }
    if (!j.adopted)
    {
        log(s,
            events::job_accepted,
            "job=" + j.accepted.id + " queue=" + j.accepted.queue.name);
    }
    if (j.adopted)
    {
        apply_earlier_reports(s, j.accepted.id);
    }
    if (s.cancelled_early.erase(j.accepted.id) != 0)
    {
        cancel_job(s, j.accepted.id);
    }
}

void cancel_job(scheduler& s, std::string const& id)
{
    auto const found = s.jobs.find(id);
    if (found == s.jobs.end())
    {
        s.cancelled_early.insert(id);
        return;
    }
    if (!has_ended(found->second.state))
    {
        end_job(s, found->second, job_state::cancelled);
        log(s, events::job_finished, "job=" + id + " outcome=cancelled");
    }
}

void finish_task(scheduler& s, task_ref const& task)
{
    step_record* const step = find_step(s, task);
    if (step == nullptr || phase_of(*step, task.index) == task_phase::done)
    {
        return;
    }
    job_record& j = s.jobs.at(task.job);
    mark_done(*step, task.index);
    if (is_done(*step))
    {
        learn_speeds(s, *step);
    }
    mark_changed(s, j);
    s.placement_due = true;
    complete_if_done(s, j);
}

void fail_task(scheduler& s, task_ref const& task, std::uint64_t run)
{
    step_record* const step = find_step(s, task);
    if (step == nullptr || phase_of(*step, task.index) == task_phase::done)
    {
        return;
    }
    std::set<std::uint64_t>& failed_runs = step->tasks[task.index].failed_runs;
    if (!failed_runs.insert(run).second)
    {
        return;
    }
    job_record& j = s.jobs.at(task.job);
    int const failures = static_cast<int>(failed_runs.size());
    mark_changed(s, j);
    log(s,
        events::task_failed,
        "job=" + task.job + " task=" + to_string(task) + " run=" +
            std::to_string(run) + " failures=" + std::to_string(failures) +
            " of=" + std::to_string(j.accepted.queue.max_attempts));
    if (failures >= j.accepted.queue.max_attempts && !has_ended(j.state))
    {
        end_job(s, j, job_state::failed);
        log(s, events::job_finished, "job=" + task.job + " outcome=failed");
    }
}

void requeue_task(scheduler& s,
                  task_ref const& task,
                  std::uint64_t run,
                  std::string const& checkpoint)
{
    step_record* const step = find_step(s, task);
    task_record const* const record =
        step == nullptr ? nullptr : find_placed(*step, task.index);
    if (record == nullptr || record->run != run)
    {
        return;
    }
    mark_waiting(*step, task.index, checkpoint);
    s.placement_due = true;
    if (!s.jobs.at(task.job)
             .accepted.steps[static_cast<std::size_t>(task.step)]
             .gang)
    {
        return;
    }
    // A gang can't run in part: stops the other members of this run.
    for (auto const& member : step->tasks)
    {
        auto const w = s.workers.find(member.second.worker);
        if (member.second.placed && member.second.run == run &&
            w != s.workers.end())
        {
            stop_run(s, w->second, {task.job, task.step, member.first});
        }
    }
}

} // namespace cicada::batch
