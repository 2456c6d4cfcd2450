#include "state.hpp"

#include <algorithm>
#include <cmath>

namespace cicada::batch
{

namespace
{

constexpr double long_call_ms = 100.0;    //!< longer calls are kept apart
constexpr milliseconds call_overhead{12}; //!< the ways to asker and advisor
constexpr milliseconds retry_pause{50};
/** A daemon that is busy for longer gets no further call: what waits, waits
 * here, where the most urgent step is next. Two passes over all steps, so that
 * it always has the next call. */
constexpr milliseconds most_wait{120};
constexpr std::size_t short_call_part = 4; //!< of the daemons, one in so many
constexpr double first_share = 0.4;        //!< allowed, before any answer
constexpr double first_weight = 20.0;      //!< workers that it counts as

/** The daemons that long calls leave to short ones. */
std::size_t kept_for_short(scheduler const& s)
{
    return s.askers.size() < 2
               ? 0
               : (s.askers.size() + short_call_part - 1) / short_call_part;
}

/**
 * Who asks. The advisor serves one call of a daemon at a time, so long calls
 * leave some daemons to short ones. Load: bursts of wide steps, whose calls
 * take most of a second. A long call for a step that will be late anyway is
 * made only while half of the daemons have nothing to ask.
 */
std::map<std::string, asker_record>::iterator
choose_asker(scheduler& s, bool long_call, bool late)
{
    auto best = s.askers.end();
    milliseconds best_wait = most_wait;
    std::size_t const kept = kept_for_short(s);
    std::size_t at = 0;
    std::size_t idle = 0;
    for (auto each = s.askers.begin(); each != s.askers.end(); ++each, ++at)
    {
        bool const for_short = at < kept;
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
    bool const busy = idle * 2 < s.askers.size() - kept;
    return late && long_call && busy ? s.askers.end() : best;
}

} // namespace

bool may_ask(scheduler const& s, step_record const& record)
{
    return record.asking == 0 && record.next_ask <= s.now;
}

double allowed_share(scheduler const& s, job_record const& j)
{
    auto const found = s.learned.find(j.accepted.queue.name);
    learned_share const seen =
        found == s.learned.end() ? learned_share{} : found->second;
    return (first_share * first_weight + seen.allowed) /
           (first_weight + seen.asked);
}

void seek_advice(scheduler& s,
                 job_record& j,
                 int step,
                 std::vector<worker_record const*> const& workers,
                 bool late)
{
    step_record& record = j.steps[static_cast<std::size_t>(step)];
    if (!may_ask(s, record))
    {
        return;
    }
    advice_terms const& terms = *j.accepted.queue.advice;
    double const cost =
        terms.decision_ms +
        terms.per_worker_ms * static_cast<double>(workers.size());
    auto const asker = choose_asker(s, cost > long_call_ms, late);
    if (asker == s.askers.end())
    {
        return;
    }
    milliseconds const span(static_cast<std::int64_t>(std::ceil(cost)));
    asker->second.free_at = std::max(asker->second.free_at, s.now) + span;
    s.advice_calls += 1;
    record.asking = s.advice_calls;
    request_advice call;
    call.call = record.asking;
    call.requester = asker->first;
    call.job = j.accepted.id;
    call.step = step;
    record.asked.clear();
    for (worker_record const* each : workers)
    {
        call.workers.push_back(each->offer.id);
        record.asked.push_back(each->number);
    }
    call.expected =
        std::chrono::duration_cast<milliseconds>(asker->second.free_at - s.now);
    s.effects.emplace_back(std::move(call));
}

void take_advice(scheduler& s, advice_answered const& answer)
{
    auto const found = s.jobs.find(answer.job);
    if (found == s.jobs.end() || answer.step < 0 ||
        answer.step >= static_cast<int>(found->second.steps.size()))
    {
        return;
    }
    step_record& record =
        found->second.steps[static_cast<std::size_t>(answer.step)];
    if (record.asking != answer.call)
    {
        return;
    }
    record.asking = 0;
    record.asked.clear();
    s.place_wanted = true;
    if (!answer.answered)
    {
        record.next_ask = s.now + retry_pause;
        log(s, 614, "job=" + answer.job + " asker=" + answer.requester);
        return;
    }
    learned_share& share = s.learned[found->second.accepted.queue.name];
    share.asked += static_cast<double>(answer.requested.size());
    share.allowed += static_cast<double>(answer.allowed.size());
    for (std::string const& name : answer.requested)
    {
        auto const w = s.workers.find(name);
        if (w != s.workers.end())
        {
            advice_record& advice = record.advice[w->second.number];
            advice = {};
            advice.life = w->second.life;
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
