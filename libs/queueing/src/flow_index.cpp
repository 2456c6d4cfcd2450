#include "flow.hpp"

#include <algorithm>
#include <cmath>

namespace cicada
{
namespace
{

/** An empty flow whose usage isn't above this is removed. */
constexpr double idle_usage_slots = 0.0001;

/**
 * Added to a request's arrival when flows within their rate are ordered: work
 * of a lower class yields to more urgent work that arrives this much later.
 */
constexpr milliseconds class_arrival_delay[work_class_count] = {
    milliseconds{0}, milliseconds{1'000}, milliseconds{5'000}};

/** Weights of the classes of one tenant. */
constexpr double class_weight[work_class_count] = {4, 2, 1};

/** Bounds the wait computed for a flow without tokens. */
constexpr milliseconds max_token_wait{3'600'000};

within_rate_rank within_rate_rank_of(request_flow const& flow)
{
    milliseconds const delay =
        class_arrival_delay[static_cast<int>(flow.key.urgency)];
    return within_rate_rank{flow.head->entry.arrived + delay,
                            flow.head->sequence};
}

above_rate_rank above_rate_rank_of(request_flow const& flow)
{
    double const wait_ms = std::ceil(-flow.tokens_ms / flow.guaranteed_slots);
    double const max_wait_ms = static_cast<double>(max_token_wait.count());
    milliseconds const wait{
        static_cast<std::int64_t>(std::min(wait_ms, max_wait_ms)) + 1};
    return above_rate_rank{flow.refilled_at + wait, flow.sequence};
}

expiry_rank expiry_rank_of(waiting_request const& request)
{
    return expiry_rank{request.entry.deadline, request.sequence};
}

tenant_node& get_or_create_tenant(fair_queue& queue, tenant_id const& name)
{
    auto const [found, added] = queue.tenants.try_emplace(name);
    tenant_node& tenant = found->second;
    if (!added)
    {
        return tenant;
    }
    tenant.node.parent = &queue.root;
    tenant.node.sequence = ++queue.last_sequence;
    apply_limits(queue, name, tenant);
    for (int class_index = 0; class_index < work_class_count; ++class_index)
    {
        tenant.classes[class_index].parent = &tenant.node;
        tenant.classes[class_index].sequence = ++queue.last_sequence;
        tenant.classes[class_index].weight = class_weight[class_index];
    }
    return tenant;
}

void append(request_flow& flow, waiting_request& added)
{
    added.previous = flow.tail;
    (flow.tail == nullptr ? flow.head : flow.tail->next) = &added;
    flow.tail = &added;
    ++flow.count;
}

void detach(request_flow& flow, waiting_request& removed)
{
    (removed.previous == nullptr ? flow.head : removed.previous->next) =
        removed.next;
    (removed.next == nullptr ? flow.tail : removed.next->previous) =
        removed.previous;
    --flow.count;
}

} // namespace

void apply_limits(fair_queue const& queue,
                  tenant_id const& name,
                  tenant_node& tenant)
{
    auto const found = queue.limits.find(name);
    tenant.limits =
        found == queue.limits.end() ? tenant_limits{} : found->second;
    tenant.limits.weight = std::max(1, tenant.limits.weight);
    tenant.node.weight = tenant.limits.weight;
}

request_flow&
get_or_create_flow(fair_queue& queue, flow_key const& key, instant now)
{
    auto const [found, added] = queue.flows.try_emplace(key);
    request_flow& flow = found->second;
    if (!added)
    {
        return flow;
    }
    tenant_node& tenant = get_or_create_tenant(queue, key.tenant);
    int const class_index = static_cast<int>(key.urgency);
    ++tenant.flows[class_index];
    flow.key = key;
    flow.sequence = ++queue.last_sequence;
    flow.node.parent = &tenant.classes[class_index];
    flow.node.sequence = flow.sequence;
    flow.node.flow = &flow;
    flow.refilled_at = now;
    set_initial_guarantee(queue, flow);
    return flow;
}

void index_flow(fair_queue& queue, request_flow& flow, instant now)
{
    if (flow.head == nullptr)
    {
        return;
    }
    refill_tokens(queue, flow, now);
    flow.is_within_rate = flow.tokens_ms > 0;
    if (flow.is_within_rate)
    {
        flow.within_rate_key = within_rate_rank_of(flow);
        queue.within_rate.emplace(flow.within_rate_key, &flow);
        return;
    }
    flow.above_rate_key = above_rate_rank_of(flow);
    queue.above_rate.emplace(flow.above_rate_key, &flow);
}

void unindex_flow(fair_queue& queue, request_flow& flow)
{
    if (flow.head == nullptr)
    {
        return;
    }
    if (flow.is_within_rate)
    {
        queue.within_rate.erase(flow.within_rate_key);
        return;
    }
    queue.above_rate.erase(flow.above_rate_key);
}

void insert_request(fair_queue& queue, queue_entry const& entry, instant now)
{
    flow_key const key{entry.tenant, entry.urgency, entry.workload};
    request_flow& flow = get_or_create_flow(queue, key, now);
    waiting_request const request{
        entry, ++queue.last_sequence, &flow, nullptr, nullptr};
    waiting_request& added =
        queue.requests.emplace(entry.request, request).first->second;
    bool const was_empty = flow.head == nullptr;
    append(flow, added);
    ++queue.tenants.at(entry.tenant).queued;
    queue.expiries.emplace(expiry_rank_of(added), &added);
    if (was_empty)
    {
        activate(flow.node);
        index_flow(queue, flow, now);
    }
}

queue_entry
remove_request(fair_queue& queue, waiting_request& removed, instant now)
{
    request_flow& flow = *removed.flow;
    bool const was_head = flow.head == &removed;
    if (was_head)
    {
        unindex_flow(queue, flow);
    }
    detach(flow, removed);
    if (was_head)
    {
        index_flow(queue, flow, now);
    }
    if (flow.head == nullptr)
    {
        deactivate(flow.node);
    }
    --queue.tenants.at(removed.entry.tenant).queued;
    queue.expiries.erase(expiry_rank_of(removed));
    queue_entry entry = removed.entry;
    queue.requests.erase(entry.request);
    return entry;
}

void remove_idle_flows(fair_queue& queue)
{
    for (auto position = queue.flows.begin(); position != queue.flows.end();)
    {
        request_flow const& flow = position->second;
        if (flow.count > 0 || flow.long_term_usage > idle_usage_slots ||
            flow.short_term_usage > idle_usage_slots)
        {
            ++position;
            continue;
        }
        tenant_node& tenant = queue.tenants.at(flow.key.tenant);
        --tenant.flows[static_cast<int>(flow.key.urgency)];
        position = queue.flows.erase(position);
    }
}

} // namespace cicada
