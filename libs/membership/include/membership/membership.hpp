#pragma once

#include "base/base.hpp"

#include <optional>
#include <string>
#include <variant>
#include <vector>

/**
 * Which daemons live and which of them places: one lease a daemon, a key for
 * the placer under that lease and an epoch that only grows. Pure: no I/O, no
 * clock; not thread-safe. A placer whose lease has lapsed goes on until
 * another has a higher epoch: workers fence its orders, so that an outage of
 * the store doesn't stop placing.
 */
namespace cicada::membership
{

/** A daemon as its peers find it. */
struct member
{
    std::string name;
    address link;
    std::uint64_t incarnation = 0;
    int milli_cores = 0; //!< of its instance; the larger place first

    bool operator==(member const&) const = default;
};

/** The placer's key. */
struct placer_claim
{
    std::string name;
    std::uint64_t incarnation = 0;
    std::uint64_t epoch = 0;

    bool operator==(placer_claim const&) const = default;
};

/** The store's keys of the cell, as last read. */
struct cell_view
{
    std::optional<placer_claim> placer;
    std::int64_t placer_revision = 0; //!< of its key; 0: absent
    std::uint64_t epoch = 0;          //!< the last one given out
    std::int64_t epoch_revision = 0;
    std::vector<member> members; //!< by name

    bool operator==(cell_view const&) const = default;
};

struct membership_settings
{
    member self;
    milliseconds lease{1000};         //!< of the store; its least
    milliseconds renewal{250};        //!< a fourth of it
    milliseconds incumbent_lead{300}; //!< others wait while it may reclaim
    milliseconds link_patience{200};  //!< a living placer links again
    milliseconds rank_pause{25};      //!< between daemons that would claim
    milliseconds retry{200};          //!< after a call that failed
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

/** A grant, renewal, registration or claim got no answer or a refusal. */
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

/** Another was faster, or the view was old. */
struct claim_lost
{
};

/** Whether the last placer still speaks to us over the link. */
struct placer_message_received
{
};

/** The link to the placer was closed by its end, or opened again. */
struct placer_link_changed
{
    bool up = false;
};

/** The placer said that it is stopping. */
struct placer_leaving
{
};

/** A worker has seen a higher token. */
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
    std::int64_t placer_revision = 0; //!< 0: the key is vacant
};

struct start_placing
{
    std::uint64_t epoch = 0;
};

struct stop_placing
{
    std::string why;
};

using effect = std::variant<grant_lease,
                            renew_lease,
                            end_lease,
                            register_self,
                            claim_placer,
                            start_placing,
                            stop_placing>;

// ---- the state

struct membership_state
{
    membership_settings settings;
    bool viewed = false;
    cell_view view;
    std::int64_t lease = 0; //!< 0: none
    bool registered = false;
    bool calling = false; //!< a call is on its way
    bool renewing = false;
    instant next_call;
    instant next_renewal;
    std::optional<std::uint64_t> placing; //!< the epoch under which it places
    std::optional<instant> vacant_since;
    instant placer_heard_at;
    bool placer_left = false;
    std::optional<instant> placer_lost; //!< its link was closed since
    bool stopping = false;
};

membership_state make_membership(membership_settings const& settings,
                                 instant now);

std::vector<effect> step(membership_state& state, event const& happened);

} // namespace cicada::membership
