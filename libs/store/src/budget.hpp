#pragma once

#include "store/store.hpp"

/** The token bucket that spaces the calls. Pure: the caller gives the time. */
namespace cicada::store_detail
{

/** Calls that may be made at once; below zero: promised to later ones. */
struct token_bucket
{
    double tokens = 0.0;
    instant filled; //!< when `tokens` was right

    bool operator==(token_bucket const&) const = default;
};

/** A call's place in the budget. */
struct budget_grant
{
    token_bucket rest;
    milliseconds delay{0}; //!< the call must wait so long

    bool operator==(budget_grant const&) const = default;
};

/** One daemon's part of the cell's budget; at least one call in a burst. */
budget_settings share_of(budget_settings const& cell, int sharers);

/** A bucket that is full. */
token_bucket full_bucket(budget_settings const& settings, instant now);

/** Takes one token, ahead of time if there is none. */
budget_grant take_token(budget_settings const& settings,
                        token_bucket const& bucket,
                        instant now);

} // namespace cicada::store_detail
