#include "flow.hpp"

namespace cicada
{
namespace
{

/** Describes the first inconsistency of a flow's list; empty if none. */
std::string check_flow(fair_queue const& queue, request_flow const& flow)
{
    int count = 0;
    waiting_request const* previous = nullptr;
    for (waiting_request const* request = flow.head; request != nullptr;
         request = request->next)
    {
        ++count;
        if (request->previous != previous || request->flow != &flow ||
            !queue.requests.contains(request->entry.request))
        {
            return "a flow's list has a wrong link; ";
        }
        previous = request;
    }
    if (count != flow.count || flow.tail != previous)
    {
        return "a flow's count or tail doesn't match its list; ";
    }
    if (flow.node.backlogged != (count > 0))
    {
        return "a flow is backlogged in the share tree and empty, or the "
               "reverse; ";
    }
    return {};
}

/** Describes each inconsistency of the flow indexes; empty if none. */
std::string check_indexes(fair_queue const& queue, std::size_t backlogged)
{
    std::string problems;
    if (queue.within_rate.size() + queue.above_rate.size() != backlogged)
    {
        problems +=
            "the indexes don't hold each backlogged flow exactly once; ";
    }
    for (auto const& [rank, flow] : queue.within_rate)
    {
        if (flow->head == nullptr || rank.head_sequence != flow->head->sequence)
        {
            problems += "a flow is indexed by a request that isn't its head; ";
        }
    }
    return problems;
}

} // namespace

std::string check_invariants(fair_queue const& queue)
{
    std::string problems;
    std::size_t backlogged = 0;
    std::size_t requests = 0;
    std::map<tenant_id, int> queued;
    for (auto const& [key, flow] : queue.flows)
    {
        problems += check_flow(queue, flow);
        backlogged += flow.count > 0 ? 1 : 0;
        requests += static_cast<std::size_t>(flow.count);
        queued[key.tenant] += flow.count;
    }
    problems += check_indexes(queue, backlogged);
    if (requests != queue.requests.size() || requests != queue.expiries.size())
    {
        problems += "flows, requests and expiries hold different counts; ";
    }
    for (auto const& [name, tenant] : queue.tenants)
    {
        if (tenant.queued != queued[name])
        {
            problems += "a tenant's count doesn't match its flows; ";
        }
    }
    return problems;
}

} // namespace cicada
