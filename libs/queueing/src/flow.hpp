#pragma once

#include "queueing/queueing.hpp"

#include "share_tree.hpp"

#include <unordered_map>

/** Internal state of a fair queue: its flows and their indexes. */
namespace cicada
{

/** Identifies a flow; its requests are served first in, first out. */
struct flow_key
{
    tenant_id tenant;
    work_class urgency = work_class::normal;
    workload_id workload;

    bool operator==(flow_key const&) const = default;
    std::strong_ordering operator<=>(flow_key const&) const = default;
};

struct request_flow;

/** A queued request, linked into the list of its flow. */
struct waiting_request
{
    queue_entry entry;
    std::uint64_t sequence = 0; //!< in order of insertion
    request_flow* flow = nullptr;
    waiting_request* previous = nullptr;
    waiting_request* next = nullptr;
};

/** Order of flows within their guaranteed rate: earliest arrival first. */
struct within_rate_rank
{
    instant effective_arrival;       //!< of the head; later for lower classes
    std::uint64_t head_sequence = 0; //!< breaks ties

    auto operator<=>(within_rate_rank const&) const = default;
};

/** Order of flows above their guaranteed rate: first to return within it. */
struct above_rate_rank
{
    instant eligible_at;             //!< when its tokens are positive again
    std::uint64_t flow_sequence = 0; //!< breaks ties

    auto operator<=>(above_rate_rank const&) const = default;
};

/**
 * A first-in, first-out list of requests and the token bucket of its
 * guaranteed rate. Usage and rates are in slots: slot time divided by elapsed
 * time.
 */
struct request_flow
{
    flow_key key;
    std::uint64_t sequence = 0; //!< in order of creation
    share_node node;            //!< its leaf in the share tree
    waiting_request* head = nullptr;
    waiting_request* tail = nullptr;
    int count = 0;

    double long_term_usage = 0;   //!< average slots in use, over minutes
    double short_term_usage = 0;  //!< average slots in use, over seconds
    double guaranteed_slots = 0;  //!< rate at which tokens are refilled
    double window_counted_ms = 0; //!< slot time that counts as long-term usage
    double window_served_ms = 0;  //!< slot time served in this window
    double tokens_ms = 0;         //!< slot time left in the token bucket
    instant refilled_at;          //!< time as of which tokens_ms is valid
    bool is_within_rate = false;  //!< which of the two indexes holds it
    within_rate_rank within_rate_key; //!< key in fair_queue::within_rate
    above_rate_rank above_rate_key;   //!< key in fair_queue::above_rate
};

/** Order of requests by deadline. */
struct expiry_rank
{
    instant deadline;
    std::uint64_t sequence = 0; //!< breaks ties

    auto operator<=>(expiry_rank const&) const = default;
};

/** A tenant's limits, and the share tree's nodes of it and its classes. */
struct tenant_node
{
    tenant_limits limits;
    share_node node;
    share_node classes[work_class_count];
    int flows[work_class_count] = {}; //!< flows, empty ones included
    int queued = 0;                   //!< requests
};

/** Moving average of how long attempts of one workload hold a slot. */
struct service_time
{
    double mean_ms = 0;
};

struct fair_queue
{
    queue_settings settings;
    std::map<tenant_id, tenant_limits> limits;
    share_node root;
    std::map<tenant_id, tenant_node> tenants;
    std::map<flow_key, request_flow> flows;
    std::unordered_map<request_id, waiting_request> requests;
    std::map<expiry_rank, waiting_request*> expiries;
    /** The backlogged flows: those with tokens, and those without. */
    std::map<within_rate_rank, request_flow*> within_rate;
    std::map<above_rate_rank, request_flow*> above_rate;
    std::unordered_map<workload_id, service_time> service_times;
    std::uint64_t last_sequence = 0;
    double long_term_usage_sum = 0; //!< all flows, as of the last window
    instant window_start;
    bool started = false;
};

// ---- flow_rates.cpp: usage, guarantees and token buckets ----------------

/** The slot time that one attempt of a workload is expected to take. */
double expected_service_ms(fair_queue const& queue,
                           workload_id const& workload);

/**
 * Ends the averaging window if it is over: updates each flow's usage,
 * guarantee and index, and removes idle flows.
 */
void roll_window(fair_queue& queue, instant now);

/** Sets the guarantee of a new flow and fills its token bucket. */
void set_initial_guarantee(fair_queue& queue, request_flow& flow);

/** Adds the tokens earned since the last refill. */
void refill_tokens(fair_queue const& queue, request_flow& flow, instant now);

/** The slots that a flow can expect while it stays backlogged. */
double expected_slots(fair_queue const& queue, request_flow const& flow);

/** How long a flow needs to serve `count` requests. */
milliseconds
drain_time(fair_queue const& queue, request_flow const& flow, int count);

// ---- flow_index.cpp: request lists and indexes --------------------------

/** Gives a tenant its configured limits, or the defaults. */
void apply_limits(fair_queue const& queue,
                  tenant_id const& name,
                  tenant_node& tenant);

/** The flow of a key, created if there is none. */
request_flow&
get_or_create_flow(fair_queue& queue, flow_key const& key, instant now);

/**
 * Adds a backlogged flow to `within_rate` or `above_rate`, depending on its
 * tokens. Does nothing for an empty flow.
 */
void index_flow(fair_queue& queue, request_flow& flow, instant now);

/** Removes a backlogged flow from the index that holds it. */
void unindex_flow(fair_queue& queue, request_flow& flow);

/** Appends a request to its flow and adds it to all indexes. */
void insert_request(fair_queue& queue, queue_entry const& entry, instant now);

/** Removes a request from its flow and from all indexes. */
queue_entry
remove_request(fair_queue& queue, waiting_request& removed, instant now);

/** Removes flows that have no requests and next to no recent usage. */
void remove_idle_flows(fair_queue& queue);

} // namespace cicada
