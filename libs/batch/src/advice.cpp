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
constexpr milliseconds most_wait{1500}; //!< an asker that is busier is skipped

/**
 * Who asks. The advisor serves one call of a daemon at a time, so long calls
 * go to the first half of the daemons and short ones prefer the other half.
 */
std::map<std::string, asker_record>::iterator choose_asker(scheduler& s,
                                                           bool long_call)
{
    auto best = s.askers.end();
    milliseconds best_wait = most_wait;
    std::size_t const half = (s.askers.size() + 1) / 2;
    std::size_t at = 0;
    for (auto each = s.askers.begin(); each != s.askers.end(); ++each, ++at)
    {
        bool const for_long = at < half;
        if (long_call && !for_long)
        {
            continue;
        }
        milliseconds wait = std::max(milliseconds{0},
                                     std::chrono::duration_cast<milliseconds>(
                                         each->second.free_at - s.now));
        if (!long_call && for_long && s.askers.size() > 1)
        {
            wait += call_overhead;
        }
        if (wait < best_wait)
        {
            best = each;
            best_wait = wait;
        }
    }
    return best;
}

} // namespace

bool may_ask(scheduler const& s, step_record const& record)
{
    return record.asking == 0 && record.next_ask <= s.now;
}

void seek_advice(scheduler& s,
                 job_record& j,
                 int step,
                 std::vector<worker_record const*> const& workers)
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
    auto const asker = choose_asker(s, cost > long_call_ms);
    if (asker == s.askers.end())
    {
        return;
    }
    milliseconds const span(static_cast<std::int64_t>(std::ceil(cost)));
    asker->second.free_at = std::max(asker->second.free_at, s.now) + span;
    s.advice_calls += 1;
    record.asking = s.advice_calls;
    ask_advice call;
    call.call = record.asking;
    call.asker = asker->first;
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
        log(s, 614, "job=" + answer.job + " asker=" + answer.asker);
        return;
    }
    for (std::string const& name : answer.asked)
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
