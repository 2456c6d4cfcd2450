#include "flow.hpp"

#include <algorithm>

namespace cicada
{
namespace
{

/** Slots reserved for flows within their rate, in percent of the pool. */
constexpr int reserve_percent = 5;

/** A request of a flow above its rate that waits this long shows contention. */
constexpr milliseconds contended_wait{50};

/**
 * The part of a flow's slot time that counts as long-term usage while the flow
 * is above its rate and slots are contended.
 */
constexpr double contended_usage_factor = 0.1;

int reserved_slots(fair_queue const& queue)
{
    return queue.settings.slots * reserve_percent / 100;
}

/** Moves flows that have tokens again to `within_rate`. */
void promote(fair_queue& queue, instant now)
{
    while (!queue.above_rate.empty() &&
           queue.above_rate.begin()->first.eligible_at <= now)
    {
        request_flow& flow = *queue.above_rate.begin()->second;
        unindex_flow(queue, flow);
        index_flow(queue, flow, now);
        if (!flow.is_within_rate)
        {
            return;
        }
    }
}

/** Dequeues a flow's head and accounts for its expected slot time. */
queue_entry serve(fair_queue& queue, request_flow& flow, instant now)
{
    double const cost = expected_service_ms(queue, flow.key.workload);
    bool const was_within_rate = flow.is_within_rate;
    bool const contended = now - flow.head->entry.arrived >= contended_wait;
    unindex_flow(queue, flow);
    refill_tokens(queue, flow, now);
    if (was_within_rate)
    {
        flow.tokens_ms -= cost;
    }
    flow.window_served_ms += cost;
    flow.window_counted_ms +=
        !was_within_rate && contended ? contended_usage_factor * cost : cost;
    if (!was_within_rate)
    {
        charge(flow.node, cost);
    }
    index_flow(queue, flow, now);
    return remove_request(queue, *flow.head, now);
}

/** How long a flow needs for `count` requests at its guaranteed rate. */
double guaranteed_drain_ms(fair_queue const& queue,
                           request_flow const& flow,
                           int count)
{
    return count * expected_service_ms(queue, flow.key.workload) /
           flow.guaranteed_slots;
}

/**
 * The flow that sheds a request when the queue is full: the one with the
 * longest backlog at its guaranteed rate, of the tenant or of all tenants.
 */
request_flow&
flow_to_shed(fair_queue& queue, request_flow& entry_flow, bool own_tenant_only)
{
    request_flow* longest = &entry_flow;
    double longest_ms =
        guaranteed_drain_ms(queue, entry_flow, entry_flow.count + 1);
    for (auto& [key, flow] : queue.flows)
    {
        bool const eligible =
            !own_tenant_only || key.tenant == entry_flow.key.tenant;
        if (!eligible || flow.count == 0 || &flow == &entry_flow)
        {
            continue;
        }
        double const drain_ms = guaranteed_drain_ms(queue, flow, flow.count);
        if (drain_ms > longest_ms)
        {
            longest_ms = drain_ms;
            longest = &flow;
        }
    }
    return *longest;
}

shed_entry make_shed(fair_queue const& queue,
                     request_flow const& flow,
                     queue_entry const& entry,
                     shed_reason reason)
{
    milliseconds const wait = drain_time(queue, flow, flow.count);
    return shed_entry{entry, reason, wait};
}

/**
 * Sheds the newest request of the flow that flow_to_shed() picks and queues
 * the pushed one, or sheds the pushed one if that is its own flow.
 */
push_outcome push_when_full(fair_queue& queue,
                            request_flow& entry_flow,
                            queue_entry const& entry,
                            shed_reason reason,
                            instant now)
{
    bool const own_only = reason == shed_reason::tenant_full;
    request_flow& victim = flow_to_shed(queue, entry_flow, own_only);
    if (&victim == &entry_flow)
    {
        return {false, make_shed(queue, entry_flow, entry, reason)};
    }
    queue_entry const newest = remove_request(queue, *victim.tail, now);
    insert_request(queue, entry, now);
    return {true, make_shed(queue, victim, newest, reason)};
}

/** True if the tenant has max_queued requests waiting. */
bool tenant_full(fair_queue const& queue, tenant_id const& tenant)
{
    tenant_node const& node = queue.tenants.at(tenant);
    return node.queued >= node.limits.max_queued;
}

} // namespace

char const* to_string(shed_reason reason)
{
    switch (reason)
    {
    case shed_reason::tenant_full:
        return "tenant_full";
    case shed_reason::queue_full:
        return "queue_full";
    case shed_reason::would_expire:
        return "would_expire";
    case shed_reason::duplicate:
        return "duplicate";
    }
    return "";
}

void fair_queue_deleter::operator()(fair_queue* owned) const
{
    delete owned;
}

fair_queue_ptr make_fair_queue(queue_settings const& settings)
{
    fair_queue_ptr queue(new fair_queue);
    queue->settings = settings;
    return queue;
}

void resize_pool(fair_queue& queue, int slots)
{
    queue.settings.slots = slots;
}

void set_limits(fair_queue& queue,
                std::map<tenant_id, tenant_limits> const& limits)
{
    queue.limits = limits;
    for (auto& [name, tenant] : queue.tenants)
    {
        apply_limits(queue, name, tenant);
    }
}

push_outcome push(fair_queue& queue, queue_entry const& entry, instant now)
{
    roll_window(queue, now);
    if (queue.requests.contains(entry.request))
    {
        shed_entry const shed{entry, shed_reason::duplicate, milliseconds{0}};
        return {false, shed};
    }
    flow_key const key{entry.tenant, entry.urgency, entry.workload};
    request_flow& flow = get_or_create_flow(queue, key, now);
    milliseconds const wait = drain_time(queue, flow, flow.count);
    if (flow.count > 0 && now + wait > entry.deadline)
    {
        return {false,
                make_shed(queue, flow, entry, shed_reason::would_expire)};
    }
    if (tenant_full(queue, entry.tenant))
    {
        return push_when_full(
            queue, flow, entry, shed_reason::tenant_full, now);
    }
    if (queued(queue) >= queue.settings.max_total)
    {
        return push_when_full(queue, flow, entry, shed_reason::queue_full, now);
    }
    insert_request(queue, entry, now);
    return {true, std::nullopt};
}

std::optional<queue_entry> pop(fair_queue& queue, int free_slots, instant now)
{
    roll_window(queue, now);
    if (free_slots <= 0)
    {
        return std::nullopt;
    }
    promote(queue, now);
    if (!queue.within_rate.empty())
    {
        return serve(queue, *queue.within_rate.begin()->second, now);
    }
    share_node* const leaf = next_leaf(queue.root);
    if (leaf == nullptr || free_slots <= reserved_slots(queue))
    {
        return std::nullopt;
    }
    return serve(queue, *leaf->flow, now);
}

std::vector<queue_entry> expire(fair_queue& queue, instant now)
{
    std::vector<queue_entry> expired;
    while (!queue.expiries.empty() &&
           queue.expiries.begin()->first.deadline <= now)
    {
        expired.push_back(
            remove_request(queue, *queue.expiries.begin()->second, now));
    }
    return expired;
}

std::optional<queue_entry> cancel(fair_queue& queue, request_id const& request)
{
    auto const found = queue.requests.find(request);
    if (found == queue.requests.end())
    {
        return std::nullopt;
    }
    return remove_request(
        queue, found->second, found->second.flow->refilled_at);
}

milliseconds expected_wait(fair_queue const& queue,
                           work_class urgency,
                           tenant_id const& tenant,
                           workload_id const& workload)
{
    auto const found = queue.flows.find(flow_key{tenant, urgency, workload});
    if (found == queue.flows.end())
    {
        return milliseconds{0};
    }
    return drain_time(queue, found->second, found->second.count);
}

int queued(fair_queue const& queue)
{
    return static_cast<int>(queue.requests.size());
}

int queued(fair_queue const& queue, tenant_id const& tenant)
{
    auto const found = queue.tenants.find(tenant);
    return found == queue.tenants.end() ? 0 : found->second.queued;
}

std::vector<queue_entry> entries(fair_queue const& queue)
{
    std::vector<queue_entry> all;
    all.reserve(queue.requests.size());
    for (auto const& [name, request] : queue.requests)
    {
        all.push_back(request.entry);
    }
    return all;
}

} // namespace cicada
