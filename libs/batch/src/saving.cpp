#include "state.hpp"

#include "event_numbers/event_numbers.hpp"

#include <algorithm>
#include <limits>

namespace cicada::batch
{

namespace
{

/** A transaction has up to 32 entries; the condition on the epoch takes one. */
constexpr std::size_t max_entries_per_save = 31;

job_progress progress_of(job_record const& j)
{
    job_progress p;
    p.state = j.state;
    for (step_record const& step : j.steps)
    {
        std::map<int, std::set<std::uint64_t>> failed_runs;
        for (auto const& task : step.tasks)
        {
            if (!task.second.failed_runs.empty())
            {
                failed_runs.emplace(task.first, task.second.failed_runs);
            }
        }
        p.done.push_back(step.done_tasks);
        p.failed_runs.push_back(std::move(failed_runs));
    }
    return p;
}

/** Returns the first change number that isn't stored; all lower ones are. */
std::uint64_t first_unstored(scheduler const& s)
{
    std::uint64_t first = s.changes + 1;
    for (auto const& entry : s.unsaved_jobs)
    {
        first = std::min(first, entry.second);
    }
    for (auto const& entry : s.saving_jobs)
    {
        first = std::min(first, entry.second.change);
    }
    return first;
}

} // namespace

namespace
{

/** Returns how many entries of a transaction the record takes. */
std::size_t entries_of(progress_record const& record)
{
    if (!record.ended)
    {
        return 2; // the record and the condition on its revision
    }
    return 2 + (record.cancelled ? 1 : 0) + (record.expected != 0 ? 1 : 0);
}

/** Returns the changed jobs that aren't being saved, oldest change first. */
std::vector<std::pair<std::uint64_t, std::string>>
oldest_changes(scheduler const& s)
{
    std::vector<std::pair<std::uint64_t, std::string>> oldest;
    for (auto const& entry : s.unsaved_jobs)
    {
        if (s.saving_jobs.count(entry.first) == 0)
        {
            oldest.emplace_back(entry.second, entry.first);
        }
    }
    std::sort(oldest.begin(), oldest.end());
    return oldest;
}

char const* name_of(job_state state)
{
    switch (state)
    {
    case job_state::queued:
        return "queued";
    case job_state::running:
        return "running";
    case job_state::completed:
        return "completed";
    case job_state::failed:
        return "failed";
    case job_state::cancelled:
        return "cancelled";
    }
    return "";
}

void log_save(scheduler& s,
              progress_saved const& outcome,
              std::vector<std::string> const& saved)
{
    std::string jobs;
    for (std::string const& id : saved)
    {
        jobs += (jobs.empty() ? "" : ",") + id + ":" +
                name_of(s.saving_jobs.at(id).state);
    }
    log(s,
        events::progress_saved,
        "save=" + std::to_string(outcome.save) +
            " outcome=" + name_of(outcome.outcome) +
            " revision=" + std::to_string(outcome.revision) + " jobs=" + jobs);
}

progress_record make_record(job_record const& j)
{
    progress_record record;
    record.job = j.accepted.id;
    record.ended = has_ended(j.state);
    record.cancelled = j.state == job_state::cancelled;
    record.expected = j.saved_revision;
    record.bytes = encode_progress(progress_of(j));
    return record;
}

} // namespace

void save_changes(scheduler& s)
{
    if (s.stopped || s.unsaved_jobs.empty() || s.next_save > s.now ||
        s.jobs_by_save.size() >= s.settings.max_concurrent_saves)
    {
        return;
    }
    save_progress call;
    call.save = s.last_save + 1;
    std::size_t entries = 0;
    for (auto const& each : oldest_changes(s))
    {
        job_record const& j = s.jobs.at(each.second);
        progress_record record = make_record(j);
        entries += entries_of(record);
        if (entries > max_entries_per_save)
        {
            break;
        }
        call.records.push_back(std::move(record));
        s.saving_jobs[each.second] = {each.first, j.state};
        s.unsaved_jobs.erase(each.second);
        s.jobs_by_save[call.save].push_back(each.second);
    }
    if (call.records.empty())
    {
        return;
    }
    s.last_save = call.save;
    s.next_save = s.now + s.settings.save_interval;
    s.effects.emplace_back(std::move(call));
}

void handle_save_outcome(scheduler& s, progress_saved const& outcome)
{
    auto const found = s.jobs_by_save.find(outcome.save);
    if (found == s.jobs_by_save.end())
    {
        return;
    }
    log_save(s, outcome, found->second);
    for (std::string const& id : found->second)
    {
        saving_record const record = s.saving_jobs.at(id);
        s.saving_jobs.erase(id);
        if (outcome.outcome == save_outcome::stored)
        {
            job_record& j = s.jobs.at(id);
            j.stored_state = record.state;
            j.saved_revision = outcome.revision;
            continue;
        }
        auto const now_there = outcome.found.find(id);
        if (now_there != outcome.found.end())
        {
            s.jobs.at(id).saved_revision = now_there->second;
        }
        auto const entry = s.unsaved_jobs.emplace(id, record.change);
        entry.first->second = std::min(entry.first->second, record.change);
    }
    s.jobs_by_save.erase(found);
    for (auto& entry : s.workers)
    {
        acknowledge_ends(s, entry.second);
    }
}

void acknowledge_ends(scheduler& s, worker_record& w)
{
    if (w.unsaved_ends.empty())
    {
        return;
    }
    std::uint64_t const before = w.acknowledged;
    std::uint64_t const first = first_unstored(s);
    std::uint64_t const first_unknown =
        w.unknown_ends.empty() ? std::numeric_limits<std::uint64_t>::max()
                               : w.unknown_ends.front().end.number;
    while (!w.unsaved_ends.empty() && w.unsaved_ends.front().second < first &&
           w.unsaved_ends.front().first < first_unknown)
    {
        w.acknowledged = w.unsaved_ends.front().first;
        w.unsaved_ends.pop_front();
    }
    if (w.acknowledged != before)
    {
        log(s,
            events::ends_acknowledged,
            "worker=" + w.offer.id +
                " through=" + std::to_string(w.acknowledged));
    }
}

char const* name_of(save_outcome outcome)
{
    switch (outcome)
    {
    case save_outcome::stored:
        return "stored";
    case save_outcome::conflict:
        return "conflict";
    case save_outcome::unknown:
        return "unknown";
    }
    return "";
}

} // namespace cicada::batch
