#include "state.hpp"

#include <algorithm>

namespace cicada::batch
{

namespace
{

constexpr std::size_t records_per_save = 30; //!< a transaction has 32 entries

job_progress progress_of(job_record const& j)
{
    job_progress p;
    p.state = j.state;
    for (step_record const& step : j.steps)
    {
        std::vector<bool> done;
        std::vector<int> failures;
        for (task_record const& task : step.tasks)
        {
            done.push_back(task.phase == task_phase::done);
            failures.push_back(task.failures);
        }
        p.done.push_back(std::move(done));
        p.failures.push_back(std::move(failures));
    }
    return p;
}

/** All changes below it are stored. */
std::uint64_t first_unstored(scheduler const& s)
{
    std::uint64_t first = s.changes + 1;
    for (auto const* part : {&s.unsaved, &s.saving})
    {
        for (auto const& entry : *part)
        {
            first = std::min(first, entry.second);
        }
    }
    return first;
}

} // namespace

void save_changes(scheduler& s)
{
    if (s.save != 0 || s.unsaved.empty() || s.next_save > s.now || s.over)
    {
        return;
    }
    std::vector<std::pair<std::uint64_t, std::string>> oldest;
    for (auto const& entry : s.unsaved)
    {
        oldest.emplace_back(entry.second, entry.first);
    }
    std::sort(oldest.begin(), oldest.end());
    oldest.resize(std::min(oldest.size(), records_per_save));
    save_progress call;
    s.saves += 1;
    s.save = s.saves;
    call.save = s.save;
    for (auto const& each : oldest)
    {
        job_record const& j = s.jobs.at(each.second);
        job_progress const progress = progress_of(j);
        call.records.emplace_back(each.second, encode_progress(progress));
        s.saving.emplace(each.second, each.first);
        s.saving_state[each.second] = progress.state;
        s.unsaved.erase(each.second);
    }
    s.effects.emplace_back(std::move(call));
}

void take_saved(scheduler& s, progress_saved const& outcome)
{
    if (outcome.save != s.save)
    {
        return;
    }
    s.save = 0;
    s.next_save = s.now + s.settings.save_pause;
    for (auto const& entry : s.saving)
    {
        if (outcome.stored)
        {
            s.jobs.at(entry.first).stored_state =
                s.saving_state.at(entry.first);
            continue;
        }
        auto const kept = s.unsaved.emplace(entry.first, entry.second);
        kept.first->second = std::min(kept.first->second, entry.second);
    }
    s.saving.clear();
    s.saving_state.clear();
    acknowledge_ends(s);
}

void acknowledge_ends(scheduler& s)
{
    std::uint64_t const first = first_unstored(s);
    for (auto& entry : s.workers)
    {
        worker_record& w = entry.second;
        while (!w.unsaved.empty() && w.unsaved.front().second < first)
        {
            w.acknowledged = w.unsaved.front().first;
            w.unsaved.pop_front();
        }
    }
}

} // namespace cicada::batch
