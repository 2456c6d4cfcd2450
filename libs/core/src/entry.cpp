#include "entry.hpp"

#include "event_numbers/event_numbers.hpp"
#include "intents.hpp"
#include "routing.hpp"

#include <algorithm>

namespace cicada
{
namespace
{

constexpr int max_slot_requests = 6; //!< before a delay
constexpr milliseconds no_owner_retry_delay{100};
constexpr milliseconds no_owner_time_limit{6'000};
constexpr milliseconds no_endpoint_retry_after{1'000};
constexpr milliseconds initial_retry_delay{20};
constexpr milliseconds max_retry_delay{500};
constexpr milliseconds settle_retry_period{500};
constexpr milliseconds settle_time_limit{3'000};
constexpr milliseconds intent_rejection_time{1'000};
constexpr int max_failed_intent_writes = 3;
constexpr int http_server_error = 500;
constexpr char store_detail[] =
    "The intent of a non-idempotent request can't be kept now.";

milliseconds remaining_time(state const& s, request_state const& r)
{
    return std::max(milliseconds{0}, r.deadline - s.now);
}

request_state* find_request(state& s, request_id const& id)
{
    auto const found = s.requests.find(id);
    return found == s.requests.end() ? nullptr : &found->second;
}

void reject_request(request_arrived const& e,
                    int status,
                    std::string code,
                    std::string detail,
                    effects& out)
{
    answer_problem problem;
    problem.request = e.request;
    problem.status = status;
    problem.code = std::move(code);
    problem.detail = std::move(detail);
    if (status >= http_server_error)
    {
        problem.retry_after = no_endpoint_retry_after;
    }
    out.push_back(std::move(problem));
}

/** Returns true if `e` is admitted; otherwise answers the caller. */
bool admit(state const& s, request_arrived const& e, effects& out)
{
    if (s.leaving)
    {
        reject_request(e, 503, "shutting_down", "This instance leaves.", out);
        return false;
    }
    if (s.config.note_number == 0)
    {
        reject_request(e, 503, "no_note", "No release note is known yet.", out);
        return false;
    }
    if (s.config.tenants.count(e.tenant) == 0)
    {
        reject_request(e,
                       403,
                       "unknown_tenant",
                       "No note in force names the tenant " + e.tenant.value +
                           ".",
                       out);
        return false;
    }
    auto const found = s.config.workloads.find(e.workload);
    if (found == s.config.workloads.end() ||
        found->second.kind != workload_kind::request)
    {
        reject_request(e,
                       404,
                       "unknown_workload",
                       "No note in force names a request workload " +
                           e.workload.value + ".",
                       out);
        return false;
    }
    bool const idempotent =
        found->second.idempotent && e.idempotent.value_or(true);
    if (!idempotent && e.key.empty())
    {
        reject_request(e,
                       400,
                       "idempotency_key_required",
                       "A non-idempotent request needs an Idempotency-Key.",
                       out);
        return false;
    }
    if (!idempotent && e.body_digest.empty())
    {
        reject_request(
            e,
            400,
            "body_digest_required",
            "A large non-idempotent request needs a Cicada-Body-Digest.",
            out);
        return false;
    }
    if (!idempotent && s.now < s.intents_rejected_until)
    {
        reject_request(e, 503, "store_unavailable", store_detail, out);
        return false;
    }
    return true;
}

request_state make_request(state const& s, request_arrived const& e)
{
    workload const& w = s.config.workloads.at(e.workload);
    request_state r;
    r.head = e;
    r.pool = pool_of(w);
    r.urgency = e.urgency.value_or(w.urgency);
    r.idempotent = w.idempotent && e.idempotent.value_or(true);
    r.arrived = s.now;
    r.deadline = s.now + std::min(e.deadline.value_or(w.deadline), w.deadline);
    return r;
}

void return_slot(state& s,
                 request_state& r,
                 attempt_result result,
                 effects& out,
                 milliseconds service_time = milliseconds{0},
                 bool endpoint_error = false)
{
    if (!r.grant)
    {
        return;
    }
    std::optional<shard_owner> const owner = owner_of(s, r.grant->shard);
    slot_return back;
    back.attempt = r.grant->attempt;
    back.endpoint = r.grant->endpoint;
    back.result = result;
    back.service_time = service_time;
    back.endpoint_error = endpoint_error;
    if (owner)
    {
        send_to(s, owner->owner, back, out);
    }
}

void observe_outcome(request_state const& r, std::string what, effects& out)
{
    observe observation;
    observation.kind = observe::what::outcome;
    observation.tenant = r.head.tenant;
    observation.urgency = r.urgency;
    observation.detail = std::move(what);
    out.push_back(std::move(observation));
}

/** Answers the caller and removes the request. */
void finish_with_problem(state& s,
                         request_state const& r,
                         answer_problem problem,
                         effects& out)
{
    problem.request = r.head.request;
    observe_outcome(r, to_string(problem.outcome), out);
    if (!r.caller_left)
    {
        out.push_back(std::move(problem));
    }
    s.requests.erase(request_id{r.head.request});
}

answer_problem not_run_problem(int status,
                               std::string code,
                               std::string detail,
                               milliseconds retry_after)
{
    answer_problem problem;
    problem.status = status;
    problem.code = std::move(code);
    problem.detail = std::move(detail);
    problem.outcome = request_outcome::not_run;
    problem.retry_after = retry_after;
    return problem;
}

void ask_for_slot(state& s, request_state& r, effects& out)
{
    std::optional<daemon_id> const owner =
        r.slot_requests < max_slot_requests ? choose_owner(s, r) : std::nullopt;
    if (!owner && s.now - r.arrived < no_owner_time_limit)
    {
        r.phase = request_phase::backoff;
        r.slot_requests = 0;
        schedule(s,
                 timer_kind::request_retry,
                 no_owner_retry_delay,
                 r.head.request.value);
        return;
    }
    if (!owner)
    {
        finish_with_problem(
            s,
            r,
            not_run_problem(503,
                            "no_endpoint",
                            "No endpoint of this workload is within reach now.",
                            no_endpoint_retry_after),
            out);
        return;
    }
    r.phase = request_phase::waiting_slot;
    r.owner = *owner;
    r.slot_requests += 1;
    r.grant.reset();
    slot_request ask;
    ask.request = r.head.request;
    ask.pool = r.pool;
    ask.workload = r.head.workload;
    ask.tenant = r.head.tenant;
    ask.urgency = r.urgency;
    ask.remaining = remaining_time(s, r);
    count_slot_request(s, *owner, r.pool);
    send_to(s, *owner, ask, out);
}

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

answer_problem outcome_problem(int status,
                               std::string code,
                               std::string detail,
                               request_outcome outcome)
{
    answer_problem problem;
    problem.status = status;
    problem.code = std::move(code);
    problem.detail = std::move(detail);
    problem.outcome = outcome;
    return problem;
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

/** Ends a request whose intent isn't known to be stored; nothing was sent. */
void reject_unstored_intent(state& s, request_state& r, effects& out)
{
    s.failed_intent_writes += 1;
    if (s.failed_intent_writes >= max_failed_intent_writes)
    {
        s.intents_rejected_until = s.now + intent_rejection_time;
    }
    return_slot(s, r, attempt_result::not_run, out);
    finish_with_problem(
        s,
        r,
        not_run_problem(
            503, "store_unavailable", store_detail, no_endpoint_retry_after),
        out);
}

/** Handles an intent that an earlier request stored under the same key. */
void handle_earlier_intent(state& s,
                           request_state& r,
                           intent const& earlier,
                           effects& out)
{
    r.earlier = earlier;
    if (earlier.body_digest != r.head.body_digest ||
        earlier.workload != r.head.workload)
    {
        return_slot(s, r, attempt_result::not_run, out);
        finish_with_problem(
            s,
            r,
            not_run_problem(
                422,
                "key_reused",
                "This Idempotency-Key came before with another body.",
                milliseconds{0}),
            out);
        return;
    }
    switch (earlier.state)
    {
    case intent_state::not_run:
        replace_intent(s, r, out);
        return;
    case intent_state::ran:
        return_slot(s, r, attempt_result::not_run, out);
        finish_with_problem(
            s,
            r,
            outcome_problem(
                409,
                "already_ran",
                "The request with this key ran; its answer had status " +
                    std::to_string(earlier.status) + ".",
                request_outcome::ran),
            out);
        return;
    case intent_state::started:
    case intent_state::abandoned:
        r.phase = request_phase::querying_earlier;
        query_earlier_attempt(s, r, earlier.since, out);
        return;
    }
}

void finish_earlier_unknown(state& s, request_state& r, effects& out)
{
    return_slot(s, r, attempt_result::not_run, out);
    finish_with_problem(
        s,
        r,
        outcome_problem(
            409,
            "in_progress",
            "The request with this key was started before and isn't known to "
            "be over.",
            request_outcome::unknown),
        out);
}

void finish_earlier_ran(state& s, request_state& r, effects& out)
{
    return_slot(s, r, attempt_result::not_run, out);
    store_earlier_ran(s, r, out);
    finish_with_problem(
        s,
        r,
        outcome_problem(409,
                        "already_ran",
                        "The request with this key ran; its answer is lost.",
                        request_outcome::ran),
        out);
}

} // namespace

void on_request_arrived(state& s, request_arrived const& e, effects& out)
{
    if (!admit(s, e, out))
    {
        return;
    }
    add_retry_allowance(s, e.tenant);
    request_state& r = s.requests[e.request] = make_request(s, e);
    if (!r.idempotent && s.failed_intent_writes >= max_failed_intent_writes)
    {
        s.intents_rejected_until = s.now + intent_rejection_time;
    }
    schedule(
        s, timer_kind::request_deadline, remaining_time(s, r), e.request.value);
    ask_for_slot(s, r, out);
}

void on_caller_gone(state& s, caller_gone const& e, effects& out)
{
    request_state* const r = find_request(s, e.request);
    if (r == nullptr)
    {
        return;
    }
    r->caller_left = true;
    switch (r->phase)
    {
    case request_phase::waiting_slot:
        send_to(s, r->owner, slot_cancel{e.request}, out);
        s.requests.erase(request_id{e.request});
        return;
    case request_phase::writing_intent:
    case request_phase::querying_earlier:
        return_slot(s, *r, attempt_result::not_run, out);
        s.requests.erase(request_id{e.request});
        return;
    case request_phase::running:
        if (r->idempotent)
        {
            out.push_back(abort_attempt{e.request, r->grant->attempt});
        }
        return;
    case request_phase::settling:
        return;
    case request_phase::backoff:
        s.requests.erase(request_id{e.request});
        return;
    }
}

void on_slot_grant(state& s,
                   daemon_id const& owner,
                   slot_grant const& grant,
                   effects& out)
{
    request_state* const r = find_request(s, grant.request);
    bool const wanted = r != nullptr &&
                        r->phase == request_phase::waiting_slot &&
                        r->owner == owner;
    if (!wanted)
    {
        slot_return back;
        back.attempt = grant.attempt;
        back.endpoint = grant.endpoint;
        back.result = attempt_result::not_run;
        send_to(s, owner, back, out);
        return;
    }
    r->grant = grant;
    if (r->idempotent)
    {
        start_granted(s, *r, out);
        return;
    }
    create_intent(s, *r, out);
}

void on_slot_refusal(state& s,
                     daemon_id const& owner,
                     slot_refusal const& refusal,
                     effects& out)
{
    request_state* const r = find_request(s, refusal.request);
    if (r == nullptr || r->phase != request_phase::waiting_slot ||
        r->owner != owner)
    {
        return;
    }
    if (refusal.reason == "not_owner")
    {
        forget_advert(s, owner, r->pool);
        ask_for_slot(s, *r, out);
        return;
    }
    int const status = refusal.reason == "deadline" ? 504 : 503;
    finish_with_problem(
        s,
        *r,
        not_run_problem(status,
                        refusal.reason,
                        "The owner of the endpoints gave no slot.",
                        refusal.retry_after),
        out);
}

void on_intent_written(state& s, intent_written const& e, effects& out)
{
    request_state* const r = find_request(s, e.request);
    if (r == nullptr || r->phase != request_phase::writing_intent)
    {
        return;
    }
    switch (e.outcome)
    {
    case write_outcome::done:
        s.failed_intent_writes = 0;
        start_granted(s, *r, out);
        return;
    case write_outcome::refused:
        if (e.existing && e.existing->attempt == r->grant->attempt)
        {
            start_granted(s, *r, out);
            return;
        }
        if (e.existing)
        {
            handle_earlier_intent(s, *r, *e.existing, out);
            return;
        }
        break;
    case write_outcome::failed:
        break;
    case write_outcome::unknown:
        if (!r->intent_write_repeated)
        {
            r->intent_write_repeated = true;
            write_intent_again(*r, out);
            return;
        }
        out.push_back(
            log_event{events::intent_write_unknown, r->head.request.value});
        break;
    }
    reject_unstored_intent(s, *r, out);
}

void on_intent_late(state& s, attempt_id const& attempt, effects& out)
{
    for (auto& [id, r] : s.requests)
    {
        bool const late = r.phase == request_phase::writing_intent && r.grant &&
                          r.grant->attempt == attempt;
        if (late)
        {
            reject_unstored_intent(s, r, out);
            return;
        }
    }
}

void on_earlier_answer(state& s, agent_order_ended const& e, effects& out)
{
    request_state* const r = find_request(s, request_of_query(e));
    if (r == nullptr || r->phase != request_phase::querying_earlier)
    {
        return;
    }
    if (!e.answer.has_value())
    {
        finish_earlier_unknown(s, *r, out);
        return;
    }
    agent_answer const& answer = e.answer.assume_value();
    if (std::holds_alternative<agent_refusal>(answer))
    {
        epoch const newer = std::get<agent_refusal>(answer).since;
        bool const again = newer > std::get<cancel_order>(e.order).since;
        again ? query_earlier_attempt(s, *r, newer, out)
              : finish_earlier_unknown(s, *r, out);
        return;
    }
    bool const known = std::holds_alternative<run_answer>(answer);
    run_state const now_at =
        known ? std::get<run_answer>(answer).state : run_state::running;
    switch (now_at)
    {
    case run_state::never_started:
        replace_intent(s, *r, out);
        return;
    case run_state::finished:
    case run_state::failed:
        finish_earlier_ran(s, *r, out);
        return;
    case run_state::running:
        finish_earlier_unknown(s, *r, out);
        return;
    }
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

void reroute_waiting_requests(state& s, daemon_id const& owner, effects& out)
{
    std::vector<request_id> waiting;
    for (auto const& [id, r] : s.requests)
    {
        if (r.phase == request_phase::waiting_slot && r.owner == owner)
        {
            waiting.push_back(id);
        }
    }
    for (request_id const& id : waiting)
    {
        ask_for_slot(s, s.requests.at(id), out);
    }
}

void on_request_deadline(state& s, request_id const& id, effects& out)
{
    request_state* const r = find_request(s, id);
    if (r == nullptr)
    {
        return;
    }
    bool const past_start = r->phase == request_phase::running ||
                            r->phase == request_phase::settling;
    if (past_start)
    {
        return;
    }
    if (r->phase == request_phase::querying_earlier)
    {
        finish_earlier_unknown(s, *r, out);
        return;
    }
    if (r->phase == request_phase::waiting_slot)
    {
        send_to(s, r->owner, slot_cancel{id}, out);
    }
    return_slot(s, *r, attempt_result::not_run, out);
    finish_with_problem(
        s,
        *r,
        not_run_problem(504,
                        "deadline",
                        "The deadline came before a slot was free.",
                        no_endpoint_retry_after),
        out);
}

void on_request_retry(state& s, request_id const& id, effects& out)
{
    request_state* const r = find_request(s, id);
    if (r != nullptr && r->phase == request_phase::backoff)
    {
        ask_for_slot(s, *r, out);
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
