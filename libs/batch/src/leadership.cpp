#include "state.hpp"

#include "event_numbers/event_numbers.hpp"

#include <algorithm>
#include <functional>

namespace cicada::batch
{

namespace
{

constexpr milliseconds claim_check_period{1000};
/** Between checks while workers wait for one, so that one serves several. */
constexpr milliseconds awaited_claim_check_pause{30};
constexpr milliseconds failed_claim_check_pause{300};
/** The store lists a live worker again this soon after an outage. */
constexpr milliseconds relisting_span{2500};

/** Returns how many of the recorded workers must answer a placer that leads
 * without the store. More than three quarters rather than half of them, so that
 * a quarter is enough for a successor: earlier jobs wait for those answers,
 * even if workers were lost together with their placer. */
std::size_t answers_to_lead(std::size_t recorded)
{
    return recorded * 3 / 4 + 1;
}

/** Returns how many of the recorded workers must answer a successor before no
 * earlier placer can have as many as it needs. */
std::size_t answers_to_succeed(std::size_t recorded)
{
    return recorded + 1 - std::min(recorded + 1, answers_to_lead(recorded));
}

/** The roster may name the worker, so a successor would ask it. */
bool may_be_recorded(worker_record const& w)
{
    return w.recorded_address || w.roster_save_pending ||
           w.roster_revision != 0 || w.roster_written;
}

/** Returns when the last poll was sent whose answer shows that the worker knows
 * no later placer; none if its answers don't count. */
std::optional<instant> answered_as_voter(scheduler const& s,
                                         worker_record const& w)
{
    return w.recorded_address && is_confirmed(s, w) ? w.answered_poll_sent
                                                    : std::nullopt;
}

/** Returns the latest time since which enough of the recorded workers have
 * answered to lead without the store; none if they haven't. */
std::optional<instant> quorum_answered_at(scheduler const& s)
{
    std::size_t recorded = 0;
    std::vector<instant> answers;
    for (auto const& entry : s.workers)
    {
        recorded += may_be_recorded(entry.second) ? 1 : 0;
        std::optional<instant> const answer =
            answered_as_voter(s, entry.second);
        if (answer)
        {
            answers.push_back(*answer);
        }
    }
    std::size_t const needed = answers_to_lead(recorded);
    if (answers.size() < needed)
    {
        return std::nullopt;
    }
    auto const last_needed =
        answers.begin() + static_cast<std::ptrdiff_t>(needed - 1);
    std::nth_element(
        answers.begin(), last_needed, answers.end(), std::greater<>());
    return *last_needed;
}

/** Returns whether a former placer may still rely on the worker's answers. */
bool is_elector(scheduler const& s, worker_record const& w)
{
    bool const gone =
        s.list_complete && !w.listed && s.now > s.started_at + relisting_span;
    return w.of_former_roster && !gone;
}

/**
 * Returns when the leases have ended that former placers may have extended on
 * the worker; none while one of them may lead.
 *
 * A placer stores that a worker is idle after it has succeeded all earlier
 * ones, and neither it nor its successors send an order while the record says
 * so. What others had sent counts from then.
 */
std::optional<instant> end_of_former_leases(scheduler const& s,
                                            worker_record const& w)
{
    std::optional<instant> const from =
        w.idle_since ? w.idle_since : s.succeeded_at;
    return from ? std::optional<instant>(*from + longest_leadership(s) +
                                         longest_lease(s))
                : std::nullopt;
}

/** The leases of a former placer on it have ended, but a successor that claimed
 * before may have read the ends. */
bool awaits_end_of_former_leases(scheduler const& s, worker_record const& w)
{
    std::optional<instant> const end = end_of_former_leases(s, w);
    return !s.settled && w.of_former_roster && !w.synced && end &&
           *end < s.now && s.claim_confirmed_at <= *end;
}

/** Its new incarnation can't be used, or its lapsed runs can't be dropped. */
bool waits_for_claim_check(scheduler const& s, worker_record const& w)
{
    bool const unconfirmed = w.answered_poll_sent && !is_confirmed(s, w);
    bool const lapsed = !w.runs.empty() && w.lease_end < s.now &&
                        w.lease_end >= s.claim_confirmed_at;
    return unconfirmed || lapsed || awaits_end_of_former_leases(s, w);
}

} // namespace

bool leads(scheduler const& s)
{
    return s.now < s.leads_until;
}

milliseconds longest_leadership(scheduler const& s)
{
    return milliseconds(static_cast<std::int64_t>(
        static_cast<double>(s.settings.leader_lease.count()) *
        clock_drift_factor));
}

void renew_leadership(scheduler& s)
{
    bool const before = s.led;
    instant confirmed = s.claim_confirmed_at;
    if (confirmed + s.settings.leader_lease <= s.now)
    {
        std::optional<instant> const answered = quorum_answered_at(s);
        confirmed = answered ? std::max(confirmed, *answered) : confirmed;
    }
    s.leads_until = confirmed + s.settings.leader_lease;
    s.led = leads(s);
    if (s.led != before)
    {
        s.placement_due = true;
        log(s,
            events::leadership_changed,
            "epoch=" + std::to_string(s.settings.epoch) + " leads=" +
                (s.led ? "yes" : "no") + " claim_confirmed_ms_ago=" +
                std::to_string((s.now - s.claim_confirmed_at).count()));
    }
}

void handle_claim_check(scheduler& s, claim_checked const& outcome)
{
    s.claim_check_pending = false;
    if (!outcome.confirmed)
    {
        s.next_claim_check = s.now + failed_claim_check_pause;
        s.next_awaited_claim_check = s.next_claim_check;
        return;
    }
    s.claim_confirmed_at = std::max(s.claim_confirmed_at, outcome.sent);
    s.next_claim_check = s.now + claim_check_period;
    s.next_awaited_claim_check = s.now + awaited_claim_check_pause;
    s.placement_due = true;
    renew_leadership(s);
    check_settled(s);
}

bool is_confirmed(scheduler const& s, worker_record const& w)
{
    return w.answered_poll_sent && w.incarnation_seen_at < s.claim_confirmed_at;
}

void check_claim(scheduler& s)
{
    bool const awaited =
        std::any_of(s.workers.begin(),
                    s.workers.end(),
                    [&s](auto const& entry)
                    {
                        return waits_for_claim_check(s, entry.second);
                    });
    instant const due =
        awaited ? s.next_awaited_claim_check : s.next_claim_check;
    if (s.claim_check_pending || s.now < due)
    {
        return;
    }
    s.claim_check_pending = true;
    s.effects.emplace_back(confirm_claim{});
}

void check_succession(scheduler& s)
{
    if (s.succeeded_at)
    {
        return;
    }
    std::size_t electors = 0;
    std::size_t answered = 0;
    for (auto const& entry : s.workers)
    {
        worker_record const& w = entry.second;
        electors += is_elector(s, w) ? 1 : 0;
        answered += is_elector(s, w) && w.answered_poll_sent ? 1 : 0;
    }
    if (answered >= answers_to_succeed(electors))
    {
        s.succeeded_at = s.now;
    }
}

instant latest_former_lease(scheduler const& s)
{
    bool const may_lead =
        !s.succeeded_at || s.now <= *s.succeeded_at + longest_leadership(s);
    return s.now + longest_lease(s) +
           (may_lead ? longest_leadership(s) : milliseconds{0});
}

bool former_leases_have_ended(scheduler const& s, worker_record const& w)
{
    // A successor of this placer may have read the ends on silent workers, and
    // acknowledged them, if it claimed before.
    std::optional<instant> const end = end_of_former_leases(s, w);
    return end && s.claim_confirmed_at > *end;
}

} // namespace cicada::batch
