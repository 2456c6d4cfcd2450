#pragma once

#include "placement/placement.hpp"

/** How full a fleet is at the moments when a task is refused. */
namespace cicada
{

/** Workers, all alike. */
struct fleet_shape
{
    std::string name;
    int workers = 0;
    int workers_per_rack = 0;
    int zones = 0;
    resources capacity; //!< accelerators count only where asked for
};

/** The ways of placing that are compared. */
enum class packing_way
{
    first_fit,  //!< naive: the first worker that fits
    least_used, //!< naive: the emptiest worker that fits
    pack        //!< the ledger's policy
};

/** "first fit", "least used" or "pack". */
char const* to_string(packing_way way);

/** The mean share allocated at refusals, 0..1. */
struct packing_share
{
    double milli_cores = 0;
    double memory = 0;
    double accelerators = 0;
};

/**
 * Places tasks of random sizes until one is refused, notes the shares, ends
 * a few tasks, and goes on. `accelerated`: workers that have accelerators,
 * and tasks that take some.
 */
packing_share
measure_packing(fleet_shape const& fleet, packing_way way, bool accelerated);

} // namespace cicada
