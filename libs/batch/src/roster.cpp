#include "state.hpp"

#include "event_numbers/event_numbers.hpp"

namespace cicada::batch
{

namespace
{

/** A transaction has up to 32 entries: the condition on the epoch, and for each
 * change its write and the condition on its revision. */
constexpr std::size_t max_changes_per_save = 15;
constexpr std::size_t max_concurrent_roster_saves = 4;
constexpr milliseconds roster_save_interval{25};
constexpr milliseconds idle_after_silence{500};

/** Returns whether the worker's record is to say that it is idle: it is silent
 * and gets no order with a lease anyway. While its lease lasts the record
 * stays, since an answer must extend the lease at once. */
bool goes_idle(scheduler const& s, worker_record const& w)
{
    return w.recorded_address && !w.may_be_idle && w.silent_since &&
           *w.silent_since + idle_after_silence <= s.now && w.lease_end < s.now;
}

std::optional<roster_change> change_of(scheduler const& s,
                                       worker_record const& w)
{
    if (!w.listed && !has_open_runs(s, w))
    {
        return w.roster_revision == 0
                   ? std::nullopt
                   : std::optional<roster_change>(
                         {w.offer.id, std::nullopt, w.roster_revision});
    }
    if (goes_idle(s, w))
    {
        return roster_change{
            w.offer.id, w.recorded_address, w.roster_revision, true};
    }
    // A worker that has never answered has had no orders, so a successor
    // needn't ask it. It may be the entry of another writer.
    bool const answers = w.answered_at == w.offer.where && !w.silent_since;
    return is_recorded(w) || !answers
               ? std::nullopt
               : std::optional<roster_change>(
                     {w.offer.id, w.offer.where, w.roster_revision});
}

void log_roster_change(scheduler& s,
                       roster_saved const& outcome,
                       std::vector<roster_change> const& changes)
{
    std::string recorded;
    std::string idle;
    std::string removed;
    for (roster_change const& change : changes)
    {
        std::string& names = !change.where ? removed
                             : change.idle ? idle
                                           : recorded;
        names += (names.empty() ? "" : ",") + change.worker;
    }
    log(s,
        events::roster_changed,
        "save=" + std::to_string(outcome.save) +
            " outcome=" + name_of(outcome.outcome) + " recorded=" + recorded +
            " idle=" + idle + " removed=" + removed);
}

} // namespace

bool has_open_runs(scheduler const& s, worker_record const& w)
{
    return !w.runs.empty() || !w.unsaved_ends.empty() || w.truncated ||
           (w.of_former_roster && !w.synced && !s.settled);
}

bool is_recorded(worker_record const& w)
{
    return w.recorded_address == w.offer.where && !w.may_be_idle;
}

void record_worker(scheduler& s, worker_recorded const& given)
{
    bool const known = s.workers.count(given.worker) != 0;
    worker_offer offer;
    offer.id = given.worker;
    offer.where = given.where;
    worker_record& w = add_worker(s, offer);
    w.listed = known && w.listed;
    w.of_former_roster = true;
    w.recorded_address = given.where;
    w.roster_revision = given.revision;
    w.idle_since = given.idle_since;
    w.may_be_idle = given.idle_since.has_value();
}

void save_roster_changes(scheduler& s)
{
    // Until then, the former placer counts the workers of the same roster.
    if (s.stopped || s.now < s.next_roster_save || !s.succeeded_at)
    {
        return;
    }
    auto next = s.workers.begin();
    while (next != s.workers.end() &&
           s.roster_saves.size() < max_concurrent_roster_saves)
    {
        save_roster call;
        for (; next != s.workers.end() &&
               call.changes.size() < max_changes_per_save;
             ++next)
        {
            std::optional<roster_change> const change =
                change_of(s, next->second);
            if (change && !next->second.roster_save_pending)
            {
                // Until the answer, the stored record is not known.
                next->second.roster_save_pending = true;
                next->second.recorded_address.reset();
                next->second.roster_written =
                    next->second.roster_written || change->where;
                next->second.may_be_idle =
                    next->second.may_be_idle || change->idle;
                call.changes.push_back(*change);
            }
        }
        if (call.changes.empty())
        {
            return;
        }
        call.save = ++s.last_roster_save;
        s.next_roster_save = s.now + roster_save_interval;
        s.roster_saves[call.save] = call.changes;
        s.effects.emplace_back(std::move(call));
    }
}

void handle_roster_outcome(scheduler& s, roster_saved const& outcome)
{
    auto const found = s.roster_saves.find(outcome.save);
    if (found == s.roster_saves.end())
    {
        return;
    }
    log_roster_change(s, outcome, found->second);
    for (roster_change const& change : found->second)
    {
        worker_record& w = s.workers.at(change.worker);
        w.roster_save_pending = false;
        if (outcome.outcome == save_outcome::stored)
        {
            w.recorded_address = change.where;
            w.roster_revision = change.where ? outcome.revision : 0;
            w.roster_written = change.where.has_value();
            w.may_be_idle = change.idle;
            s.placement_due = true;
        }
        auto const now_there = outcome.found.find(change.worker);
        if (now_there != outcome.found.end())
        {
            // The record was changed by a save without an answer.
            w.roster_revision = now_there->second;
        }
    }
    if (outcome.outcome != save_outcome::stored)
    {
        s.next_roster_save = s.now + s.settings.resend_interval;
    }
    s.roster_saves.erase(found);
}

} // namespace cicada::batch
