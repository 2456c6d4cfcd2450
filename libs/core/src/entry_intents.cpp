#include "entry_intents.hpp"

#include "entry.hpp"
#include "entry_attempts.hpp"
#include "entry_request.hpp"
#include "event_numbers/event_numbers.hpp"
#include "intents.hpp"

namespace cicada
{
namespace
{

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

} // namespace cicada
