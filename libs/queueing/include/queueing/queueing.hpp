#pragma once

#include "model/model.hpp"

#include <memory>

/**
 * Decides which request gets the next slot and at which endpoint: a fair queue
 * of the requests that wait for the slots of one pool of endpoints, and the
 * table of those slots. Deterministic: no I/O, no clock, no randomness; the
 * caller passes the time, which must not go back. Not thread-safe. The design
 * is described in docs/design/queueing.md.
 */
namespace cicada
{

// ---- the fair queue ------------------------------------------------------

/** A request that waits for a slot. */
struct queue_entry
{
    request_id request;
    tenant_id tenant;
    work_class urgency = work_class::normal;
    workload_id workload;
    instant arrived;
    instant deadline; //!< expired at and after this time

    bool operator==(queue_entry const&) const = default;
};

/** The bounds of one fair queue. */
struct queue_settings
{
    int slots = 0;         //!< in the pool; see resize_pool()
    int max_total = 20000; //!< bound on queued requests, all tenants
    milliseconds initial_service_time{200}; //!< until one is recorded

    bool operator==(queue_settings const&) const = default;
};

/** Why a request was shed. */
enum class shed_reason
{
    tenant_full,  //!< its tenant has max_queued requests waiting
    queue_full,   //!< max_total requests wait; its flow has the longest backlog
    would_expire, //!< its flow's backlog can't drain by its deadline
    duplicate     //!< a request with this id is queued already
};

/** "tenant_full", "queue_full", "would_expire" or "duplicate". */
char const* to_string(shed_reason reason);

/** A request that was rejected or removed from the queue. */
struct shed_entry
{
    queue_entry entry;
    shed_reason reason = shed_reason::queue_full;
    milliseconds retry_after{0}; //!< until its flow is expected to drain

    bool operator==(shed_entry const&) const = default;
};

/** The result of push(). */
struct push_outcome
{
    bool accepted = false;
    std::optional<shed_entry> shed; //!< the pushed request, or another one

    bool operator==(push_outcome const&) const = default;
};

struct fair_queue;

/** Frees a queue; the type is complete only inside the library. */
struct fair_queue_deleter
{
    void operator()(fair_queue* owned) const;
};

using fair_queue_ptr = std::unique_ptr<fair_queue, fair_queue_deleter>;

/** Creates an empty queue. */
fair_queue_ptr make_fair_queue(queue_settings const& settings);

/** Sets the number of slots in the pool, slots in use included. */
void resize_pool(fair_queue& queue, int slots);

/** Replaces all tenants' limits; a tenant not listed gets the defaults. */
void set_limits(fair_queue& queue,
                std::map<tenant_id, tenant_limits> const& limits);

/** Queues a request, or sheds it, or queues it and sheds another one. */
push_outcome push(fair_queue& queue, queue_entry const& entry, instant now);

/**
 * Removes and returns the request that gets the next slot, given the number of
 * free slots.
 *
 * Flows (class, tenant, workload) within their guaranteed rate are served
 * first, by arrival with an advantage for urgent classes; remaining slots are
 * shared by weight. The last few free slots are reserved for flows within
 * their rate, so an empty result doesn't mean an empty queue. Call expire()
 * first: pop() itself doesn't check deadlines.
 */
std::optional<queue_entry> pop(fair_queue& queue, int free_slots, instant now);

/** Removes and returns the expired requests, earliest deadline first. */
std::vector<queue_entry> expire(fair_queue& queue, instant now);

/** Removes a request; empty if not queued. Constant time on average. */
std::optional<queue_entry> cancel(fair_queue& queue, request_id const& request);

/** Records how long an attempt of a workload held its slot. */
void record_service(fair_queue& queue,
                    workload_id const& workload,
                    milliseconds held);

/** Estimates the wait of a new request of a flow; zero for a new flow. */
milliseconds expected_wait(fair_queue const& queue,
                           work_class urgency,
                           tenant_id const& tenant,
                           workload_id const& workload);

/** The number of queued requests, of all tenants or of one. */
int queued(fair_queue const& queue);
int queued(fair_queue const& queue, tenant_id const& tenant);

/** All queued requests, in no particular order, for hand-over and display. */
std::vector<queue_entry> entries(fair_queue const& queue);

/** Describes each inconsistency of the indexes; empty if none. */
std::string check_invariants(fair_queue const& queue);

// ---- the slot table ------------------------------------------------------

/** Whether an endpoint gets new attempts. */
enum class rotation
{
    in,      //!< as many as it has slots
    probing, //!< at most one at a time
    out      //!< none: draining, unhealthy or not synced
};

/** "in", "probing" or "out". */
char const* to_string(rotation value);

/** An endpoint and its number of slots. */
struct endpoint_slots
{
    endpoint_id endpoint;
    workload_id workload;
    zone_id zone;
    int slots = 0;
    rotation state = rotation::in;

    bool operator==(endpoint_slots const&) const = default;
};

/** The cost of sending a request from one zone to another. */
struct link_cost
{
    zone_id from;
    zone_id to;
    int price = 0;         //!< per request, in any one unit; compared first
    milliseconds delay{0}; //!< compared if the prices are equal

    bool operator==(link_cost const&) const = default;
};

/** The slots of one workload. */
struct slot_counts
{
    int total = 0;  //!< all of an endpoint in rotation, one of one probing
    int in_use = 0; //!< at all endpoints, quarantined ones included
    int free = 0;   //!< available to acquire_slot()

    bool operator==(slot_counts const&) const = default;
};

struct slot_table;

/** Frees a table; the type is complete only inside the library. */
struct slot_table_deleter
{
    void operator()(slot_table* owned) const;
};

using slot_table_ptr = std::unique_ptr<slot_table, slot_table_deleter>;

/** Creates an empty table. */
slot_table_ptr make_slot_table();

/** Adds or replaces the cost of a link. */
void set_link(slot_table& table, link_cost const& cost);

/** Adds or replaces an endpoint; its attempts keep their slots. */
void set_endpoint(slot_table& table, endpoint_slots const& endpoint);

/** Sets the rotation state of an endpoint; ignores an unknown endpoint. */
void set_rotation(slot_table& table,
                  endpoint_id const& endpoint,
                  rotation state);

/** Removes an endpoint and its attempts; returns the attempts. */
std::vector<attempt_id> remove_endpoint(slot_table& table,
                                        endpoint_id const& endpoint);

/**
 * Acquires a slot for an attempt sent from zone `from`: in that zone if it has
 * a free slot, else in the zone with the lowest price, then the lowest delay.
 * Within the zone, the least loaded endpoint is chosen. Empty if no slot is
 * free or the attempt has one already.
 */
std::optional<endpoint_id> acquire_slot(slot_table& table,
                                        attempt_id const& attempt,
                                        workload_id const& workload,
                                        zone_id const& from);

/**
 * Records an attempt that already runs at an endpoint, even if that exceeds its
 * slots. False if the endpoint is unknown or the attempt has a slot already.
 */
bool adopt_attempt(slot_table& table,
                   attempt_id const& attempt,
                   endpoint_id const& endpoint);

/**
 * Quarantines the slot of an attempt whose outcome is unknown: release_slot()
 * doesn't free it, only settle_slot() and remove_endpoint() do. False if the
 * attempt has no slot.
 */
bool quarantine_slot(slot_table& table, attempt_id const& attempt);

/** Frees an attempt's slot; false if it has none or is quarantined. */
bool release_slot(slot_table& table, attempt_id const& attempt);

/**
 * Frees an attempt's slot, quarantined or not, once its endpoint has confirmed
 * that the attempt is over. False if the attempt has no slot.
 */
bool settle_slot(slot_table& table, attempt_id const& attempt);

/** The endpoint at which an attempt has its slot. */
std::optional<endpoint_id> endpoint_of(slot_table const& table,
                                       attempt_id const& attempt);

/** The attempts that have a slot at an endpoint, sorted. */
std::vector<attempt_id> attempts_at(slot_table const& table,
                                    endpoint_id const& endpoint);

/** The slots of a workload; all zero if it is unknown. */
slot_counts counts_of(slot_table const& table, workload_id const& workload);

/** The values last set for an endpoint. */
std::optional<endpoint_slots> find_endpoint(slot_table const& table,
                                            endpoint_id const& endpoint);

/** Describes each inconsistency of the indexes; empty if none. */
std::string check_invariants(slot_table const& table);

} // namespace cicada
