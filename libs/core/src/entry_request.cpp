#include "entry_request.hpp"

#include <algorithm>

namespace cicada
{

milliseconds remaining_time(state const& s, request_state const& r)
{
    return std::max(milliseconds{0}, r.deadline - s.now);
}

request_state* find_request(state& s, request_id const& id)
{
    auto const found = s.requests.find(id);
    return found == s.requests.end() ? nullptr : &found->second;
}

void return_slot(state& s,
                 request_state& r,
                 attempt_result result,
                 effects& out,
                 milliseconds service_time,
                 bool endpoint_error)
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

} // namespace cicada
