#include "flow.hpp"

#include <algorithm>
#include <cmath>

namespace cicada
{
namespace
{

/** Usage and guarantees are updated once per window. */
constexpr milliseconds averaging_window{1'000};

/** Time constants of the moving averages of a flow's usage. */
constexpr milliseconds long_term_time_constant{120'000};
constexpr milliseconds short_term_time_constant{3'000};

/** A token bucket holds the guaranteed slots for this long. */
constexpr milliseconds burst_time{2'000};

/** A token bucket holds at least this many requests. */
constexpr double min_burst_requests = 5;

/** Ratio of a flow's guarantee to its long-term usage. */
constexpr double guarantee_headroom = 1.25;

/** Bound on the sum of all active flows' guarantees, as a part of the pool. */
constexpr double max_guaranteed_share = 0.9;

/** Smallest guarantee of a flow before scaling, as a part of the pool. */
constexpr double min_flow_share = 0.001;

/** Weight of the newest value in the average service time. */
constexpr double service_time_smoothing = 0.05;

/** Each class's part of the pool, to which floor_percent applies. */
constexpr double class_slot_share[work_class_count] = {0.5, 0.3, 0.2};

/** Weight of the newest value in an exponential moving average. */
double smoothing_factor(double elapsed_ms, milliseconds time_constant)
{
    return 1 -
           std::exp(-elapsed_ms / static_cast<double>(time_constant.count()));
}

double pool_slots(fair_queue const& queue)
{
    return std::max(1, queue.settings.slots);
}

/** A flow's guaranteed slots before all guarantees are scaled to the pool. */
double unscaled_guarantee(fair_queue const& queue, request_flow const& flow)
{
    tenant_node const& tenant = queue.tenants.at(flow.key.tenant);
    int const class_index = static_cast<int>(flow.key.urgency);
    double const floor = tenant.limits.floor_percent / 100.0 *
                         class_slot_share[class_index] /
                         std::max(1, tenant.flows[class_index]);
    double const minimum = std::max(floor, min_flow_share) * pool_slots(queue);
    return std::max(guarantee_headroom * flow.long_term_usage, minimum);
}

bool is_active(request_flow const& flow)
{
    return flow.count > 0 || flow.short_term_usage > 0;
}

double bucket_capacity_ms(fair_queue const& queue, request_flow const& flow)
{
    double const burst =
        flow.guaranteed_slots * static_cast<double>(burst_time.count());
    double const minimum =
        min_burst_requests * expected_service_ms(queue, flow.key.workload);
    return std::max(burst, minimum);
}

void update_usage(request_flow& flow, double elapsed_ms)
{
    double const long_term_factor =
        smoothing_factor(elapsed_ms, long_term_time_constant);
    double const short_term_factor =
        smoothing_factor(elapsed_ms, short_term_time_constant);
    flow.long_term_usage +=
        long_term_factor *
        (flow.window_counted_ms / elapsed_ms - flow.long_term_usage);
    flow.short_term_usage +=
        short_term_factor *
        (flow.window_served_ms / elapsed_ms - flow.short_term_usage);
    flow.window_counted_ms = 0;
    flow.window_served_ms = 0;
}

void set_guarantees(fair_queue& queue)
{
    double sum = 0;
    queue.long_term_usage_sum = 0;
    for (auto& [key, flow] : queue.flows)
    {
        flow.guaranteed_slots = unscaled_guarantee(queue, flow);
        sum += is_active(flow) ? flow.guaranteed_slots : 0;
        queue.long_term_usage_sum += flow.long_term_usage;
    }
    double const max_sum = max_guaranteed_share * pool_slots(queue);
    if (sum <= max_sum)
    {
        return;
    }
    for (auto& [key, flow] : queue.flows)
    {
        flow.guaranteed_slots *= max_sum / sum;
    }
}

} // namespace

double expected_service_ms(fair_queue const& queue, workload_id const& workload)
{
    auto const found = queue.service_times.find(workload);
    if (found == queue.service_times.end())
    {
        return static_cast<double>(queue.settings.initial_service_time.count());
    }
    return std::max(1.0, found->second.mean_ms);
}

void record_service(fair_queue& queue,
                    workload_id const& workload,
                    milliseconds held)
{
    double const value = static_cast<double>(held.count());
    auto const [found, added] =
        queue.service_times.try_emplace(workload, service_time{value});
    if (!added)
    {
        double& mean = found->second.mean_ms;
        mean += service_time_smoothing * (value - mean);
    }
}

void roll_window(fair_queue& queue, instant now)
{
    if (!queue.started)
    {
        queue.started = true;
        queue.window_start = now;
    }
    if (now - queue.window_start < averaging_window)
    {
        return;
    }
    double const elapsed_ms =
        static_cast<double>((now - queue.window_start).count());
    queue.window_start = now;
    for (auto& [key, flow] : queue.flows)
    {
        refill_tokens(queue, flow, now);
        update_usage(flow, elapsed_ms);
    }
    remove_idle_flows(queue);
    set_guarantees(queue);
    for (auto& [key, flow] : queue.flows)
    {
        unindex_flow(queue, flow);
        index_flow(queue, flow, now);
    }
}

void set_initial_guarantee(fair_queue& queue, request_flow& flow)
{
    flow.guaranteed_slots = unscaled_guarantee(queue, flow);
    flow.tokens_ms = bucket_capacity_ms(queue, flow);
}

void refill_tokens(fair_queue const& queue, request_flow& flow, instant now)
{
    double const elapsed_ms =
        static_cast<double>((now - flow.refilled_at).count());
    flow.tokens_ms =
        std::min(bucket_capacity_ms(queue, flow),
                 flow.tokens_ms + elapsed_ms * flow.guaranteed_slots);
    flow.refilled_at = now;
}

double expected_slots(fair_queue const& queue, request_flow const& flow)
{
    tenant_node const& tenant = queue.tenants.at(flow.key.tenant);
    double weights = tenant.node.backlogged ? 0 : tenant.limits.weight;
    for (auto const& [rank, node] : queue.root.backlogged_children)
    {
        weights += node->weight;
    }
    double const others_usage =
        std::max(0.0, queue.long_term_usage_sum - flow.long_term_usage);
    double const available = std::max(0.0, pool_slots(queue) - others_usage);
    int const flows =
        std::max(1, tenant.flows[static_cast<int>(flow.key.urgency)]);
    double const share = available * tenant.limits.weight / weights / flows;
    return std::max({flow.guaranteed_slots, flow.short_term_usage, share});
}

milliseconds
drain_time(fair_queue const& queue, request_flow const& flow, int count)
{
    double const work_ms =
        count * expected_service_ms(queue, flow.key.workload);
    double const wait_ms = work_ms / expected_slots(queue, flow);
    return milliseconds{static_cast<std::int64_t>(std::ceil(wait_ms))};
}

} // namespace cicada
