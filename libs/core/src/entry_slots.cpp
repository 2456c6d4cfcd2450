#include "entry_slots.hpp"

#include "entry.hpp"
#include "entry_attempts.hpp"
#include "entry_request.hpp"
#include "intents.hpp"
#include "routing.hpp"

namespace cicada
{
namespace
{

constexpr int max_slot_requests = 6; //!< before a delay
constexpr milliseconds no_owner_retry_delay{100};
constexpr milliseconds no_owner_time_limit{6'000};

} // namespace

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

void on_request_retry(state& s, request_id const& id, effects& out)
{
    request_state* const r = find_request(s, id);
    if (r != nullptr && r->phase == request_phase::backoff)
    {
        ask_for_slot(s, *r, out);
    }
}

} // namespace cicada
