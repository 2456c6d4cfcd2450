#include "entry_attempts.hpp"

#include "entry.hpp"
#include "entry_request.hpp"
#include "event_numbers/event_numbers.hpp"
#include "intents.hpp"
#include "routing.hpp"

#include <algorithm>

namespace cicada
{
namespace
{

constexpr milliseconds initial_retry_delay{20};
constexpr milliseconds max_retry_delay{500};
constexpr milliseconds settle_retry_period{500};
constexpr milliseconds settle_time_limit{3'000};

bool may_retry(state& s, request_state const& r, bool body_consumed)
{
    bool const sendable = r.head.replayable || !body_consumed;
    if (!sendable || r.attempts >= s.config.policies.retry_attempts)
    {
        return false;
    }
    return remaining_time(s, r) > milliseconds{0};
}

/** Schedules a retry. The previous attempt must be known to be over. */
void back_off(state& s, request_state& r, effects& out)
{
    if (!consume_retry(s, r.head.tenant))
    {
        finish_with_problem(
            s,
            r,
            not_run_problem(503,
                            "retry_budget",
                            "The tenant's retries are used up for now.",
                            no_endpoint_retry_after),
            out);
        return;
    }
    r.phase = request_phase::backoff;
    int const doublings = std::min(r.slot_requests, 5);
    milliseconds const whole =
        std::min(initial_retry_delay * (1 << doublings), max_retry_delay);
    std::uint64_t const mix =
        stable_hash(r.head.request.value + std::to_string(r.slot_requests));
    milliseconds const jitter{static_cast<std::int64_t>(
        mix % static_cast<std::uint64_t>(whole.count() / 2 + 1))};
    schedule(
        s, timer_kind::request_retry, whole / 2 + jitter, r.head.request.value);
}

void after_not_run(state& s, request_state& r, bool body_consumed, effects& out)
{
    r.grant.reset();
    if (r.caller_left)
    {
        store_not_run(s, r, out);
        s.requests.erase(request_id{r.head.request});
        return;
    }
    if (may_retry(s, r, body_consumed))
    {
        back_off(s, r, out);
        return;
    }
    store_not_run(s, r, out);
    finish_with_problem(
        s,
        r,
        not_run_problem(
            503,
            "not_run",
            "No endpoint ran the request in the time and attempts given.",
            no_endpoint_retry_after),
        out);
}

void start_settle(state& s, request_state& r, effects& out)
{
    r.phase = request_phase::settling;
    return_slot(s, r, attempt_result::unknown, out);
    schedule(s,
             timer_kind::settle_request,
             settle_retry_period,
             r.head.request.value);
}

void finish_unknown(state& s, request_state const& r, effects& out)
{
    out.push_back(
        log_event{events::request_outcome_unknown, r.head.request.value});
    finish_with_problem(
        s,
        r,
        outcome_problem(
            504,
            "outcome_unknown",
            "The endpoint was sent the request and can't be asked now.",
            request_outcome::unknown),
        out);
}

void finish_answered(state& s,
                     request_state& r,
                     attempt_ended const& e,
                     effects& out)
{
    milliseconds const took = s.now - r.arrived;
    return_slot(s,
                r,
                attempt_result::answered,
                out,
                took,
                e.status >= http_server_error);
    observe observation;
    observation.kind = observe::what::service_time;
    observation.tenant = r.head.tenant;
    observation.urgency = r.urgency;
    observation.length = took;
    out.push_back(std::move(observation));
    observe_outcome(r, "ran", out);
    store_ran(s, r, e.status, out);
    s.requests.erase(request_id{r.head.request});
}

} // namespace

void start_granted(state& s, request_state& r, effects& out)
{
    if (r.attempts == 0)
    {
        observe observation;
        observation.kind = observe::what::wait;
        observation.tenant = r.head.tenant;
        observation.urgency = r.urgency;
        observation.length = s.now - r.arrived;
        out.push_back(std::move(observation));
    }
    r.phase = request_phase::running;
    r.attempts += 1;
    start_attempt start;
    start.request = r.head.request;
    start.grant = *r.grant;
    start.time_limit = remaining_time(s, r);
    out.push_back(std::move(start));
}

void on_attempt_ended(state& s, attempt_ended const& e, effects& out)
{
    request_state* const r = find_request(s, e.request);
    bool const present = r != nullptr && r->grant &&
                         r->grant->attempt == e.attempt &&
                         r->phase == request_phase::running;
    if (!present)
    {
        return;
    }
    switch (e.result)
    {
    case attempt_result::answered:
        finish_answered(s, *r, e, out);
        return;
    case attempt_result::not_run:
    case attempt_result::draining:
        return_slot(s, *r, e.result, out);
        after_not_run(s, *r, e.body_consumed, out);
        return;
    case attempt_result::unknown:
        r->caller_left = r->caller_left || e.answer_started;
        r->head.replayable = r->head.replayable && !e.answer_started;
        start_settle(s, *r, out);
        return;
    }
}

void on_attempt_settled(state& s, attempt_settled const& e, effects& out)
{
    for (auto& [id, r] : s.requests)
    {
        bool const matches = r.phase == request_phase::settling && r.grant &&
                             r.grant->attempt == e.attempt;
        if (!matches)
        {
            continue;
        }
        if (!e.ran)
        {
            after_not_run(s, r, true, out);
            return;
        }
        store_ran(s, r, 0, out);
        if (r.idempotent && !r.caller_left && may_retry(s, r, true))
        {
            r.grant.reset();
            back_off(s, r, out);
            return;
        }
        finish_with_problem(
            s,
            r,
            outcome_problem(502,
                            "answer_lost",
                            "The endpoint ran the request; its answer is lost.",
                            request_outcome::ran),
            out);
        return;
    }
}

void on_settle_request(state& s, request_id const& id, effects& out)
{
    request_state* const r = find_request(s, id);
    if (r == nullptr || r->phase != request_phase::settling)
    {
        return;
    }
    if (s.now >= r->deadline + settle_time_limit)
    {
        finish_unknown(s, *r, out);
        return;
    }
    return_slot(s, *r, attempt_result::unknown, out);
    schedule(s, timer_kind::settle_request, settle_retry_period, id.value);
}

} // namespace cicada
