#include "state.hpp"

#include <algorithm>

namespace cicada::batch
{

namespace
{

constexpr milliseconds job_read_interval{100}; //!< lets reports gather

bool waits_for_read(worker_record const& w)
{
    return !w.unknown_ends.empty() ||
           (w.unknown_sizes > 0 &&
            std::any_of(w.runs.begin(),
                        w.runs.end(),
                        [](auto const& entry)
                        {
                            return entry.second.unknown_size &&
                                   entry.second.phase != run_phase::stopping;
                        }));
}

/** Returns the job's runs on the worker. */
std::vector<active_run> runs_of(worker_record const& w, std::string const& job)
{
    std::vector<active_run> out;
    for (auto each = w.runs.lower_bound({job, 0, 0});
         each != w.runs.end() && each->first.job == job;
         ++each)
    {
        out.push_back({each->first, each->second.run, each->second.checkpoint});
    }
    return out;
}

/** Removes the job's ends from the worker's unknown ones and returns them. */
std::vector<finished_run> take_unknown_ends(worker_record& w,
                                            std::string const& job)
{
    std::vector<finished_run> taken;
    std::vector<unknown_end> kept;
    for (unknown_end const& each : w.unknown_ends)
    {
        if (each.end.task.job == job)
        {
            taken.push_back(each.end);
        }
        else
        {
            kept.push_back(each);
        }
    }
    w.unknown_ends = std::move(kept);
    return taken;
}

} // namespace

std::uint64_t next_job_read(scheduler const& s)
{
    return s.last_job_read + 1;
}

bool job_has_ended(scheduler const& s, run_record const& run)
{
    std::uint64_t const completed =
        s.last_job_read - (s.job_read_pending ? 1 : 0);
    return run.unknown_size && run.read <= completed;
}

void keep_unknown_end(scheduler& s, worker_record& w, finished_run const& end)
{
    w.unknown_ends.push_back({end, next_job_read(s)});
}

void read_unknown_jobs(scheduler& s)
{
    bool const due = !s.stopped && !s.job_read_pending &&
                     s.now >= s.next_job_read &&
                     std::any_of(s.workers.begin(),
                                 s.workers.end(),
                                 [](auto const& entry)
                                 {
                                     return waits_for_read(entry.second);
                                 });
    if (due)
    {
        s.job_read_pending = true;
        s.next_job_read = s.now + job_read_interval;
        s.last_job_read += 1;
        s.effects.emplace_back(read_jobs{s.last_job_read});
    }
}

void handle_jobs_read(scheduler& s, jobs_read const& outcome)
{
    s.job_read_pending = false;
    for (auto& entry : s.workers)
    {
        worker_record& w = entry.second;
        w.unknown_ends.erase(std::remove_if(w.unknown_ends.begin(),
                                            w.unknown_ends.end(),
                                            [&outcome](unknown_end const& each)
                                            {
                                                return each.read <=
                                                       outcome.read;
                                            }),
                             w.unknown_ends.end());
        for (auto& run : w.runs)
        {
            if (run.second.unknown_size && run.second.read <= outcome.read)
            {
                stop_run(s, w, run.first);
            }
        }
        acknowledge_ends(s, w);
    }
}

void apply_earlier_reports(scheduler& s, std::string const& job)
{
    for (auto& entry : s.workers)
    {
        worker_record& w = entry.second;
        for (active_run const& each : runs_of(w, job))
        {
            bool const stopping =
                w.runs.at(each.task).phase == run_phase::stopping;
            release_run(s, w, each.task);
            adopt_run(s, w, each);
            if (stopping)
            {
                stop_run(s, w, each.task);
            }
        }
        for (finished_run const& each : take_unknown_ends(w, job))
        {
            apply_run_end(s, w, each);
            for (auto& unsaved : w.unsaved_ends)
            {
                if (unsaved.first == each.number)
                {
                    unsaved.second = s.changes;
                }
            }
        }
    }
}

} // namespace cicada::batch
