#pragma once

#include "report.hpp"

/** Sends the load, and asks afterwards what ran. */
namespace cicada::load
{

/** What a run came to. */
struct outcome
{
    std::vector<tally> tallies; //!< one per tenant_load, in their order
    std::vector<sent_key> keys;
};

/** Sends all and returns once each request has ended; single-threaded. */
outcome run(options const& given);

/** Asks the stand-in about the keys; at most a fixed number of them. */
verification verify(address const& control, std::vector<sent_key> const& keys);

} // namespace cicada::load
