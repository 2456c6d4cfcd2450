#pragma once

#include "base/base.hpp"

#include <optional>
#include <string>
#include <variant>
#include <vector>

/**
 * Membership and leader election of a cell. Each daemon holds a lease in the
 * store; one of them, the placer, places tasks and holds the placer's key
 * under its lease, with an epoch that only grows. A placer whose lease has
 * expired continues until another daemon has a higher epoch, so that an outage
 * of the store doesn't stop placement: workers reject orders with an older
 * epoch, and the scheduler ends its orders if it reaches neither the store nor
 * most workers (batch). A pure state machine: no I/O, no clock. Not
 * thread-safe.
 */
namespace cicada::membership
{

/** A daemon's entry in the store. */
struct member
{
    std::string name;
    address link; //!< where peers connect
    std::uint64_t incarnation = 0;
    int milli_cores = 0; //!< of its instance; larger ones claim first

    bool operator==(member const&) const = default;
};

/** The value of the placer's key. */
struct placer_claim
{
    std::string name;
    std::uint64_t incarnation = 0;
    std::uint64_t epoch = 0;

    bool operator==(placer_claim const&) const = default;
};

/** The cell's keys in the store, as last read. */
struct cell_view
{
    std::optional<placer_claim> placer;
    std::int64_t placer_revision = 0; //!< of the placer's key; 0: absent
    std::uint64_t epoch = 0;          //!< the highest claimed so far
    std::int64_t epoch_revision = 0;
    std::vector<member> members; //!< sorted by name

    bool operator==(cell_view const&) const = default;
};

struct membership_settings
{
    member self;
    milliseconds lease{1000};          //!< the store's minimum
    milliseconds renewal{250};         //!< period; a quarter of the lease
    milliseconds incumbent_grace{300}; //!< others wait for a reclaim
    milliseconds reconnect_grace{200}; //!< a live placer reconnects
    milliseconds rank_delay{25};       //!< between ranks of claimants
    milliseconds retry_delay{200};     //!< after a failed call
    /** After its registration, a daemon leaves a vacant key to others: when all
     * start at the same time, the first one up is seldom the largest. */
    milliseconds startup_grace{0};
    /** How long a larger instance is a member before a placer hands over to it;
     * 0: it never does. */
    milliseconds handover_delay{0};
    milliseconds handover_pause{30'000}; //!< between two hand-overs by a daemon
};

// ---- events

struct timer_fired
{
};

struct view_changed
{
    cell_view view;
};

struct lease_granted
{
    std::int64_t lease = 0;
};

/** A grant, renewal, registration or claim failed or got no answer. */
struct call_failed
{
};

struct lease_renewed
{
};

struct lease_ended
{
};

struct registered
{
};

struct claim_won
{
    std::uint64_t epoch = 0;
};

/** Another daemon claimed first, or the view was out of date. */
struct claim_lost
{
};

/** A message from the placer arrived over the link. */
struct placer_message_received
{
    std::uint64_t epoch = 0; //!< of the placer that sent it
};

/** The link to the placer closed or opened. */
struct placer_link_changed
{
    bool up = false;
};

/** The placer announced that it is stopping. */
struct placer_leaving
{
};

/** A worker rejected an order: it knows a higher fencing token. */
struct placer_fenced
{
};

struct stop_requested
{
};

using event_body = std::variant<timer_fired,
                                view_changed,
                                lease_granted,
                                call_failed,
                                lease_renewed,
                                lease_ended,
                                registered,
                                claim_won,
                                claim_lost,
                                placer_message_received,
                                placer_link_changed,
                                placer_leaving,
                                placer_fenced,
                                stop_requested>;

struct event
{
    instant at;
    event_body body;
};

// ---- effects

struct grant_lease
{
};

struct renew_lease
{
    std::int64_t lease = 0;
};

struct end_lease
{
    std::int64_t lease = 0;
};

/** Writes this daemon's entry under the lease. */
struct register_self
{
    std::int64_t lease = 0;
};

/** Writes the placer's key and the next epoch, if both are unchanged. */
struct claim_placer
{
    std::int64_t lease = 0;
    std::uint64_t epoch = 0;
    std::int64_t epoch_revision = 0;
    std::int64_t placer_revision = 0; //!< 0: the key is absent
};

/** Deletes the placer's key, if it is unchanged, and tells the others, so that
 * the largest instance claims it at once. */
struct release_placer
{
    std::int64_t placer_revision = 0;
};

struct start_placing
{
    std::uint64_t epoch = 0;
};

struct stop_placing
{
    std::string why; //!< logged
};

using effect = std::variant<grant_lease,
                            renew_lease,
                            end_lease,
                            register_self,
                            claim_placer,
                            release_placer,
                            start_placing,
                            stop_placing>;

// ---- the state

struct membership_state
{
    membership_settings settings;
    bool has_view = false; //!< `view` has been read
    cell_view view;
    std::int64_t lease = 0; //!< 0: none
    bool registered = false;
    bool call_in_flight = false; //!< other than a renewal
    bool renewal_in_flight = false;
    instant next_call;
    instant next_renewal;
    std::optional<std::uint64_t> placing_epoch; //!< none: not the placer
    /** The highest epoch that this daemon has placed with. It must not start to
     * place with it again: a placer takes the jobs of its epoch for untouched.
     */
    std::uint64_t used_epoch = 0;
    std::optional<instant> vacant_since; //!< of the placer's key
    instant placer_message_at;
    bool placer_is_leaving = false;
    std::optional<instant> registered_at; //!< for the first time
    std::optional<instant> larger_since;  //!< a larger instance is a member
    instant renewed_at; //!< the store last confirmed the lease
    instant next_handover;
    /** Until then, its own key doesn't make it claim again: it was released. */
    instant released_until;
    std::optional<instant> placer_link_down_since;
    bool stopping = false;
};

membership_state make_membership(membership_settings const& settings,
                                 instant now);

/** Applies the event and returns the calls to make, in order. */
std::vector<effect> step(membership_state& state, event const& input);

} // namespace cicada::membership
