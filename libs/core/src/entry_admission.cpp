#include "entry_admission.hpp"

#include "entry_intents.hpp"
#include "entry_request.hpp"

#include <algorithm>

namespace cicada
{
namespace
{

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

} // namespace

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

} // namespace cicada
