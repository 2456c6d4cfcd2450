#include "state.hpp"

#include "event_numbers/event_numbers.hpp"

#include <algorithm>

namespace cicada::batch
{

namespace
{

constexpr milliseconds poll_interval{20}; //!< lets one answer list several ends
constexpr milliseconds failed_poll_interval{200};
constexpr milliseconds unconfirmed_poll_interval{50};

void begin_incarnation(scheduler& s, worker_record& w, std::int64_t incarnation)
{
    w.incarnation = incarnation;
    w.speed.samples = std::min(w.speed.samples, 1);
    w.incarnations += 1;
    w.token = s.settings.epoch * incarnations_per_epoch + w.incarnations;
    w.synced = false;
    w.answered_poll_sent.reset();
    w.processed = 0;
    w.acknowledged = 0;
    w.unsaved_ends.clear();
    w.unknown_ends.clear();
    note_success(w); // the failures were those of the former incarnation
    w.truncated = false;
    w.clock_ms = 0;
    if (w.incarnations > 1)
    {
        log(s,
            events::worker_state_changed,
            "worker=" + w.offer.id +
                " state=restarted incarnation=" + std::to_string(incarnation) +
                " runs=" + std::to_string(w.runs.size()));
    }
}

void drop_run(scheduler& s,
              worker_record& w,
              task_ref const& which,
              std::string const& why)
{
    task_ref const task = which; // `which` may refer into the erased entry
    run_record const lost = w.runs.at(task);
    log(s,
        events::run_lost,
        "job=" + task.job + " task=" + to_string(task) + " run=" +
            std::to_string(lost.run) + " worker=" + w.offer.id + " why=" + why);
    release_run(s, w, task);
    requeue_task(s, task, lost.run, lost.checkpoint);
}

/** Returns when the run must have ended if its worker doesn't answer. */
instant
latest_end(scheduler const& s, worker_record const& w, run_record const& run)
{
    if (run.reported)
    {
        return w.lease_end;
    }
    // An incarnation that the placer doesn't know of may have taken the start
    // and extended the lease with any order since.
    return std::max(w.lease_end, w.lease_sent_at + longest_lease(s));
}

/** Drops the runs that must have ended because the lease has expired. A
 * successor may have extended it if it claimed before the lease's end. */
void drop_lapsed_runs(scheduler& s, worker_record& w)
{
    std::vector<task_ref> lapsed;
    for (auto const& entry : w.runs)
    {
        if (latest_end(s, w, entry.second) < s.claim_confirmed_at)
        {
            lapsed.push_back(entry.first);
        }
    }
    for (task_ref const& task : lapsed)
    {
        drop_run(s, w, task, "lease_lapsed");
    }
}

void handle_active_run(scheduler& s, worker_record& w, active_run const& seen)
{
    auto const found = w.runs.find(seen.task);
    if (found == w.runs.end())
    {
        adopt_run(s, w, seen);
        return;
    }
    run_record& record = found->second;
    if (record.run != seen.run)
    {
        return;
    }
    record.reported = true;
    if (record.phase == run_phase::starting)
    {
        record.phase = run_phase::running;
        record.started = s.now;
    }
    mark_started(s, seen.task);
    record.checkpoint = seen.checkpoint;
}

char const* name_of(run_end how)
{
    switch (how)
    {
    case run_end::done:
        return "done";
    case run_end::failed:
        return "failed";
    case run_end::stopped:
        return "stopped";
    case run_end::lapsed:
        return "lapsed";
    case run_end::broken:
        return "broken";
    case run_end::alone:
        return "alone";
    }
    return "";
}

void handle_run_end(scheduler& s, worker_record& w, finished_run const& end)
{
    auto const found = w.runs.find(end.task);
    bool const held = found != w.runs.end() && found->second.run == end.run;
    bool const job_ended = held && job_has_ended(s, found->second);
    bool const known = find_step(s, end.task) != nullptr;
    if (held)
    {
        if (known && end.how == run_end::done)
        {
            note_run_time(s, w, end.task, found->second);
        }
        release_run(s, w, end.task);
    }
    log(s,
        events::run_ended,
        "job=" + end.task.job + " task=" + to_string(end.task) +
            " run=" + std::to_string(end.run) + " worker=" + w.offer.id +
            " end=" + std::to_string(end.number) + " how=" + name_of(end.how) +
            " known=" + (known ? "yes" : "no"));
    if (!known)
    {
        if (!job_ended)
        {
            keep_unknown_end(s, w, end);
        }
        return;
    }
    apply_run_end(s, w, end);
}

/** Drops runs that are missing from the report although it should list them. */
void drop_vanished_runs(scheduler& s,
                        worker_record& w,
                        poll_answered const& answer)
{
    std::set<task_ref> seen;
    for (active_run const& each : answer.report.active)
    {
        seen.insert(each.task);
    }
    std::vector<task_ref> vanished;
    for (auto const& entry : w.runs)
    {
        run_record const& r = entry.second;
        bool const settled =
            (r.phase == run_phase::running && r.started < answer.sent) ||
            (r.stop_confirmed_at && *r.stop_confirmed_at < answer.sent);
        if (settled && seen.count(entry.first) == 0)
        {
            vanished.push_back(entry.first);
        }
    }
    for (task_ref const& task : vanished)
    {
        run_record const record = w.runs.at(task);
        release_run(s, w, task);
        requeue_task(s, task, record.run, record.checkpoint);
    }
}

/**
 * Handles the first answer to a raised token. The worker now refuses orders
 * with the old token, so runs that it doesn't list will never start. Listed
 * runs may have been ordered before the placer noticed the restart.
 */
void drop_unlisted_runs(scheduler& s,
                        worker_record& w,
                        worker_report const& report)
{
    std::map<task_ref, std::uint64_t> listed;
    for (active_run const& each : report.active)
    {
        listed[each.task] = each.run;
    }
    std::vector<task_ref> lost;
    for (auto& entry : w.runs)
    {
        auto const here = listed.find(entry.first);
        if (here == listed.end() || here->second != entry.second.run)
        {
            lost.push_back(entry.first);
        }
        entry.second.stop_confirmed_at.reset();
    }
    for (task_ref const& task : lost)
    {
        drop_run(s, w, task, "restarted");
    }
    for (active_run const& each : report.active)
    {
        handle_active_run(s, w, each);
    }
}

} // namespace

void check_settled(scheduler& s)
{
    if (s.settled || !s.list_complete)
    {
        return;
    }
    // A worker that isn't listed may be running, with its entry lost: it counts
    // until it answers or its lease must have expired. One that no earlier
    // placer has recorded has had no orders. A successor may have read the ends
    // of a worker that has restarted since, if it claimed before the answer.
    bool all_answered = true;
    for (auto const& entry : s.workers)
    {
        worker_record const& w = entry.second;
        if (!w.of_former_roster || (w.synced && is_confirmed(s, w)))
        {
            continue;
        }
        all_answered = false;
        if (!former_leases_have_ended(s, w))
        {
            return;
        }
    }
    s.settled = true;
    s.placement_due = true;
    // Here the event means that the runs of all workers are known, or that
    // every lease from an earlier placer has expired.
    log(s,
        events::shard_ready,
        "epoch=" + std::to_string(s.settings.epoch) +
            " workers=" + std::to_string(s.workers.size()) +
            " all_answered=" + (all_answered ? "yes" : "no"));
}

bool usable(scheduler const& s, worker_record const& w)
{
    // The entry of an earlier incarnation may name another kind and capacity.
    // Entries without an incarnation hold for any.
    bool const current_offer =
        w.offer.incarnation == 0 || w.offer.incarnation == w.incarnation;
    return w.listed && w.synced && is_confirmed(s, w) && current_offer &&
           !w.offer.draining && is_recorded(w) && w.unknown_sizes == 0 &&
           !w.unresponsive && w.busy_until <= s.now &&
           s.now < w.clock_read_at + s.settings.poll_wait * 2;
}

std::int64_t lease_deadline(scheduler& s, worker_record& w)
{
    milliseconds const since =
        std::chrono::duration_cast<milliseconds>(s.now - w.clock_read_at);
    milliseconds const span = since + s.settings.lease;
    milliseconds const slow(static_cast<std::int64_t>(
        static_cast<double>(span.count()) * clock_drift_factor));
    w.lease_end = std::max(w.lease_end, w.clock_read_at + slow + lease_margin);
    w.lease_sent_at = s.now;
    return w.clock_ms + span.count();
}

worker_record& add_worker(scheduler& s, worker_offer const& offer)
{
    std::uint32_t const number = static_cast<std::uint32_t>(s.workers.size());
    auto const added = s.workers.emplace(offer.id, worker_record{});
    worker_record& w = added.first->second;
    if (added.second)
    {
        w.number = number;
        w.offer = offer;
        w.next_poll = s.now;
        begin_incarnation(s, w, offer.incarnation);
    }
    return w;
}

void list_worker(scheduler& s, worker_offer const& offer)
{
    worker_record& w = add_worker(s, offer);
    if (offer.draining && !w.offer.draining)
    {
        log(s,
            events::worker_state_changed,
            "worker=" + offer.id + " state=draining");
    }
    bool const moved = !(w.offer.where == offer.where);
    std::int64_t const incarnation = offer.incarnation;
    w.offer = offer;
    w.listed = true;
    if (incarnation > w.incarnation)
    {
        begin_incarnation(s, w, incarnation);
    }
    if (moved)
    {
        w.next_poll = s.now;
    }
    s.placement_due = true;
}

void unlist_worker(scheduler& s, std::string const& id)
{
    auto const found = s.workers.find(id);
    if (found != s.workers.end())
    {
        found->second.listed = false;
        log(s,
            events::worker_state_changed,
            "worker=" + id + " state=unlisted");
    }
}

void handle_poll_answer(scheduler& s, poll_answered const& answer)
{
    auto const found = s.workers.find(answer.worker);
    if (found == s.workers.end())
    {
        return;
    }
    worker_record& w = found->second;
    w.poll_pending = false;
    w.answered_at = w.polled_at;
    s.placement_due = s.placement_due || w.unresponsive;
    w.unresponsive = false;
    w.silent_since.reset();
    if (answer.report.incarnation < w.incarnation)
    {
        w.next_poll = s.now + failed_poll_interval;
        return;
    }
    w.next_poll = s.now + poll_interval;
    if (answer.report.incarnation > w.incarnation)
    {
        begin_incarnation(s, w, answer.report.incarnation);
        w.next_poll = s.now;
        return;
    }
    if (!w.answered_poll_sent)
    {
        w.incarnation_seen_at = s.now;
    }
    w.answered_poll_sent =
        std::max(w.answered_poll_sent.value_or(answer.sent), answer.sent);
    w.clock_ms = answer.report.clock_ms;
    w.clock_read_at = s.now;
    w.truncated = answer.report.more_finished;
    // Ends that a truncated report leaves out may be of runs that this placer
    // would start again.
    bool const complete =
        answer.token == w.token && !w.synced && !answer.report.more_finished;
    // A successor may have taken the ends of the former incarnation's runs, if
    // it claimed before this one began.
    bool const newly_synced =
        complete && (w.runs.empty() || is_confirmed(s, w));
    if (complete)
    {
        // Before it, orders with another token may have extended the lease.
        w.lease_end = std::max(w.lease_end, latest_former_lease(s));
        w.next_poll = s.now + (newly_synced ? milliseconds{0}
                                            : unconfirmed_poll_interval);
    }
    if (newly_synced)
    {
        w.synced = true;
        s.placement_due = true;
    }
    for (finished_run const& end : answer.report.finished)
    {
        if (end.number <= w.processed)
        {
            continue;
        }
        w.processed = end.number;
        handle_run_end(s, w, end);
        w.unsaved_ends.emplace_back(end.number, s.changes);
    }
    for (active_run const& each : answer.report.active)
    {
        handle_active_run(s, w, each);
    }
    if (newly_synced)
    {
        drop_unlisted_runs(s, w, answer.report);
    }
    else if (w.synced && !answer.report.more_finished)
    {
        drop_vanished_runs(s, w, answer);
    }
    acknowledge_ends(s, w);
    check_settled(s);
}

void handle_poll_failure(scheduler& s, poll_failed const& failure)
{
    auto const found = s.workers.find(failure.worker);
    if (found == s.workers.end())
    {
        return;
    }
    worker_record& w = found->second;
    w.poll_pending = false;
    w.unresponsive = true;
    w.silent_since = w.silent_since.value_or(s.now);
    w.next_poll = s.now + failed_poll_interval;
    if (failure.why == order_outcome::fenced && failure.token == w.token)
    {
        s.stopped = true;
        s.effects.emplace_back(stop_placing{});
    }
}

void poll_if_due(scheduler& s, worker_record& w)
{
    if (w.poll_pending || w.next_poll > s.now ||
        (!w.listed && !has_open_runs(s, w)))
    {
        return;
    }
    w.poll_pending = true;
    w.polled_at = w.offer.where;
    poll_worker poll;
    poll.worker = w.offer.id;
    poll.where = w.offer.where;
    poll.token = w.token;
    // An unresponsive worker may have restarted, which restarts the numbering
    // of its ends.
    poll.acknowledged = w.unresponsive ? 0 : w.acknowledged;
    poll.wait = w.synced ? s.settings.poll_wait : milliseconds{0};
    if (w.synced && !w.unresponsive && !w.may_be_idle && leads(s))
    {
        poll.lease_until = lease_deadline(s, w);
    }
    s.effects.emplace_back(std::move(poll));
}

void expire_leases(scheduler& s)
{
    for (auto& entry : s.workers)
    {
        worker_record& w = entry.second;
        if (!w.runs.empty() && w.lease_end < s.claim_confirmed_at)
        {
            drop_lapsed_runs(s, w);
        }
    }
    check_succession(s);
    check_settled(s);
}

} // namespace cicada::batch
