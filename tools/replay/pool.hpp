#pragma once

#include "arrivals.hpp"

/** Feeds a list of arrivals to a queue and a pool of slots, in virtual time. */
namespace cicada
{

/** How one request fared. */
struct fate
{
    queue_entry entry;
    bool served = false;
    milliseconds wait{0};     //!< until its slot
    milliseconds promised{0}; //!< expected_wait() when it came; ours only
};

/** First come, first served, with the same bound on what waits. */
std::vector<fate> run_naive(int slots, std::vector<arrival> const& list);

/** The fair queue. */
std::vector<fate> run_ours(int slots, std::vector<arrival> const& list);

} // namespace cicada
