#include "state.hpp"

#include "event_numbers/event_numbers.hpp"

#include <algorithm>
#include <tuple>

namespace cicada::batch
{

namespace
{

/** Added for each consecutive failure on the worker. */
constexpr milliseconds exclusion_per_failure{1000};
constexpr int min_failures = 2;
constexpr int max_failures = 5;
constexpr std::size_t max_failed_jobs = 5; //!< that a worker's record keeps
constexpr double min_evidence = 1.0;       //!< jobs that fail only there
/** Below the 3 s within which a job with free capacity must run again. */
constexpr milliseconds job_avoidance_per_failure{1000};
constexpr int max_failures_per_job = 2;
/** Of the workers of one service and kind. */
constexpr std::size_t excluded_share_divisor = 3;

/**
 * Returns how strongly the worker's failures speak against it, in jobs. Each
 * job counts once, and is shared by all workers on which its tasks failed: a
 * job that fails everywhere says little about any of them.
 */
double evidence_against(scheduler const& s, worker_record const& w)
{
    double sum = 0.0;
    for (std::string const& id : w.failed_jobs)
    {
        sum += 1.0 / static_cast<double>(s.jobs.at(id).failures.size());
    }
    return sum;
}

/** Returns how many of the workers may be excluded at the same time. */
std::size_t max_excluded(std::size_t workers)
{
    return workers / excluded_share_divisor;
}

struct doubted_worker
{
    worker_record const* w = nullptr;
    double evidence = 0.0;
};

struct worker_group
{
    std::size_t size = 0;
    std::vector<doubted_worker> doubted;
};

std::string kind_of(worker_record const& w)
{
    return w.offer.labels.empty() ? "" : w.offer.labels.front();
}

} // namespace

void note_failure(scheduler& s, worker_record& w, job_record& j)
{
    job_failures& here = j.failures[w.number];
    here.count = std::min(here.count + 1, max_failures_per_job);
    here.avoid_until = s.now + job_avoidance_per_failure * here.count;
    std::deque<std::string>& failed = w.failed_jobs;
    failed.erase(std::remove(failed.begin(), failed.end(), j.accepted.id),
                 failed.end());
    failed.push_back(j.accepted.id);
    if (failed.size() > max_failed_jobs)
    {
        failed.pop_front();
    }
    w.failures = std::min(w.failures + 1, max_failures);
    if (w.failures < min_failures)
    {
        return;
    }
    w.doubted_until = s.now + exclusion_per_failure * w.failures;
    if (is_doubted(s, w))
    {
        log(s,
            events::worker_state_changed,
            "worker=" + w.offer.id +
                " state=doubted failures=" + std::to_string(w.failures) +
                " failed_jobs=" + std::to_string(failed.size()) +
                " evidence=" + std::to_string(evidence_against(s, w)) +
                " for_ms=" + std::to_string((w.doubted_until - s.now).count()));
    }
}

void note_success(worker_record& w)
{
    w.failed_jobs.clear();
    w.failures = 0;
}

bool is_doubted(scheduler const& s, worker_record const& w)
{
    return s.now < w.doubted_until && evidence_against(s, w) >= min_evidence;
}

bool avoids(scheduler const& s, job_record const& j, worker_record const& w)
{
    auto const found = j.failures.find(w.number);
    return found != j.failures.end() && s.now < found->second.avoid_until;
}

std::set<std::uint32_t> excluded_workers(scheduler const& s)
{
    std::set<std::uint32_t> excluded;
    std::map<std::pair<std::string, std::string>, worker_group> groups;
    bool const any = std::any_of(s.workers.begin(),
                                 s.workers.end(),
                                 [&s](auto const& entry)
                                 {
                                     return s.now < entry.second.doubted_until;
                                 });
    if (!any)
    {
        return excluded;
    }
    for (auto const& entry : s.workers)
    {
        worker_record const& w = entry.second;
        if (!usable(s, w))
        {
            continue;
        }
        worker_group& group = groups[{w.offer.service, kind_of(w)}];
        group.size += 1;
        if (is_doubted(s, w))
        {
            group.doubted.push_back({&w, evidence_against(s, w)});
        }
    }
    for (auto& entry : groups)
    {
        std::vector<doubted_worker>& doubted = entry.second.doubted;
        std::sort(doubted.begin(),
                  doubted.end(),
                  [](doubted_worker const& left, doubted_worker const& right)
                  {
                      return std::tie(right.evidence, left.w->number) <
                             std::tie(left.evidence, right.w->number);
                  });
        std::size_t const count =
            std::min(doubted.size(), max_excluded(entry.second.size));
        for (std::size_t k = 0; k < count; ++k)
        {
            excluded.insert(doubted[k].w->number);
        }
    }
    return excluded;
}

} // namespace cicada::batch
