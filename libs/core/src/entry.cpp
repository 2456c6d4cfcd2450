#include "entry.hpp"

#include "entry_admission.hpp"
#include "entry_intents.hpp"
#include "entry_request.hpp"
#include "entry_slots.hpp"
#include "routing.hpp"

namespace cicada
{

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

} // namespace cicada
