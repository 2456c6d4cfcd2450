#include "state.hpp"

#include "event_numbers/event_numbers.hpp"

#include <algorithm>
#include <cmath>

namespace cicada::batch
{

namespace
{

/** Calls above this duration don't use the requesters for short calls. */
constexpr double long_call_ms = 100.0;
/** Network time to the requester and the advisor. */
constexpr milliseconds call_overhead{12};
constexpr milliseconds retry_delay{50};
/** A daemon that is busy for longer gets no further call, so that the most
 * urgent step is next when it becomes free. Covers two passes over all steps,
 * so that a daemon always has its next call queued. */
constexpr milliseconds max_requester_wait{120};
/** One daemon in this many is reserved for short calls. */
constexpr std::size_t short_call_divisor = 4;
/** Requester time that steps of `worthless_rank` are due for each millisecond
 * that other steps use: accepted steps must start in the end, even if more
 * valuable ones always wait. */
constexpr double worthless_time_ratio = 0.5;
constexpr double max_worthless_credit_ms = 1000.0;
/** Expected time of a first call in units of its fixed time. */
constexpr double first_call_factor = 1.25;
constexpr double prior_allowed_share = 0.4; //!< estimate before any answer
constexpr double prior_weight = 20.0;       //!< workers the estimate counts as

/** Returns how many daemons are reserved for short calls. */
std::size_t reserved_for_short_calls(scheduler const& s)
{
    return s.requesters.size() < 2
               ? 0
               : (s.requesters.size() + short_call_divisor - 1) /
                     short_call_divisor;
}

/**
 * Chooses the daemon that makes the call. The advisor serves one call of a
 * daemon at a time, and in bursts of wide steps a call takes most of a second,
 * so some daemons are reserved for short calls. A long call for a step that
 * will be late anyway is made only while half of the daemons are idle.
 */
std::map<std::string, requester_record>::iterator
choose_requester(scheduler& s, bool long_call, bool late)
{
    auto best = s.requesters.end();
    milliseconds best_wait = max_requester_wait;
    std::size_t const reserved = reserved_for_short_calls(s);
    std::size_t at = 0;
    std::size_t idle = 0;
    for (auto each = s.requesters.begin(); each != s.requesters.end();
         ++each, ++at)
    {
        bool const for_short = at < reserved;
        if (long_call && for_short)
        {
            continue;
        }
        milliseconds wait = std::max(milliseconds{0},
                                     std::chrono::duration_cast<milliseconds>(
                                         each->second.free_at - s.now));
        idle += wait.count() == 0 ? 1 : 0;
        if (!long_call && !for_short)
        {
            wait += call_overhead;
        }
        if (wait < best_wait)
        {
            best = each;
            best_wait = wait;
        }
    }
    if (!long_call)
    {
        s.short_call_denied = s.short_call_denied || best == s.requesters.end();
        return best;
    }
    // Steps come in the order of placement: a long call must not take what an
    // earlier step with a short call waits for.
    bool const busy = idle * 2 < s.requesters.size() - reserved;
    return s.short_call_denied || (late && busy) ? s.requesters.end() : best;
}

} // namespace

bool may_call_advisor(scheduler const& s, step_record const& record)
{
    return record.advice_call == 0 && record.next_advice_call <= s.now;
}

double allowed_share(scheduler const& s, job_record const& j)
{
    auto const found = s.advice_shares.find(j.accepted.queue.name);
    advice_share const seen =
        found == s.advice_shares.end() ? advice_share{} : found->second;
    return (prior_allowed_share * prior_weight + seen.allowed) /
           (prior_weight + seen.asked);
}

double first_call_ms(job_record const& j)
{
    return j.terms.advice ? j.terms.advice->decision_ms * first_call_factor
                          : 0.0;
}

bool call_advisor(scheduler& s,
                  job_record& j,
                  int step,
                  std::vector<worker_record const*> const& workers,
                  bool late)
{
    step_record& record = j.steps[static_cast<std::size_t>(step)];
    if (!may_call_advisor(s, record))
    {
        return false;
    }
    advice_terms const& terms = *j.terms.advice;
    double const cost =
        terms.decision_ms +
        terms.per_worker_ms * static_cast<double>(workers.size());
    auto const requester = choose_requester(s, cost > long_call_ms, late);
    if (requester == s.requesters.end())
    {
        return false;
    }
    int const rank = placement_rank(j, static_cast<std::size_t>(step), s.now);
    s.worthless_call_credit_ms =
        rank == worthless_rank
            ? std::max(0.0, s.worthless_call_credit_ms - cost)
            : std::min(max_worthless_credit_ms,
                       s.worthless_call_credit_ms +
                           cost * worthless_time_ratio);
    milliseconds const span(static_cast<std::int64_t>(std::ceil(cost)));
    requester->second.free_at =
        std::max(requester->second.free_at, s.now) + span;
    s.advice_calls += 1;
    record.advice_call = s.advice_calls;
    request_advice call;
    call.call = record.advice_call;
    call.requester = requester->first;
    call.job = j.accepted.id;
    call.step = step;
    record.advice_workers.clear();
    for (worker_record const* each : workers)
    {
        call.workers.push_back(each->offer.id);
        record.advice_workers.push_back(each->number);
    }
    call.expected = std::chrono::duration_cast<milliseconds>(
        requester->second.free_at - s.now);
    s.effects.emplace_back(std::move(call));
    return true;
}

void handle_advice(scheduler& s, advice_answered const& answer)
{
    auto const found = s.jobs.find(answer.job);
    if (found == s.jobs.end() || answer.step < 0 ||
        answer.step >= static_cast<int>(found->second.steps.size()))
    {
        return;
    }
    step_record& record =
        found->second.steps[static_cast<std::size_t>(answer.step)];
    if (record.advice_call != answer.call)
    {
        return;
    }
    record.advice_call = 0;
    record.advice_workers.clear();
    s.placement_due = true;
    record.tickets_until = s.now + answer.validity;
    if (!answer.answered)
    {
        record.next_advice_call = s.now + retry_delay;
        log(s,
            events::advice_failed,
            "job=" + answer.job + " asker=" + answer.requester);
        return;
    }
    advice_share& share = s.advice_shares[found->second.accepted.queue.name];
    share.asked += static_cast<double>(answer.requested.size());
    share.allowed += static_cast<double>(answer.allowed.size());
    for (std::string const& name : answer.requested)
    {
        auto const w = s.workers.find(name);
        if (w != s.workers.end())
        {
            advice_record& advice = record.advice[w->second.number];
            advice = {};
            advice.incarnation = w->second.incarnation;
        }
    }
    for (advised_worker const& each : answer.allowed)
    {
        auto const w = s.workers.find(each.worker);
        if (w == s.workers.end())
        {
            continue;
        }
        auto const advice = record.advice.find(w->second.number);
        if (advice != record.advice.end())
        {
            advice->second.allowed = true;
            advice->second.ticket = each.ticket;
            advice->second.valid_until = s.now + answer.validity;
        }
    }
}

} // namespace cicada::batch
