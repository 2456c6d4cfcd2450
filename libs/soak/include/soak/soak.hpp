#pragma once

#include "base/base.hpp"

#include <cstdint>
#include <string>
#include <vector>

/**
 * A randomised soak: cicada_cell as real processes on this machine, against
 * the platform's stand-in, with faults from outside them. What callers and
 * workers see is judged by libs/batch_checker. Single-threaded, real time.
 */
namespace cicada::soak
{

struct soak_settings
{
    std::uint64_t seed = 1;
    std::string program; //!< path of cicada_cell
    std::string folder;  //!< for settings and logs; must exist
    int daemons = 5;
    int workers = 12;
    double jobs_per_second = 12.0;
    milliseconds load{15'000};   //!< jobs come and faults strike this long
    milliseconds settle{60'000}; //!< then every job must end within this
    bool faults = true;
};

struct soak_report
{
    std::vector<std::string> breaches;
    std::vector<std::string> faults; //!< what struck, with its time
    int handed_in = 0;
    int accepted = 0;
    int refused = 0; //!< every attempt was refused as not run
    int completed = 0;
    int failed = 0;
    int cancelled = 0;
    int runs = 0;

    bool operator==(soak_report const&) const = default;
};

/** Errors: unavailable if the program can't be run or no address is free. */
result<soak_report> run_soak(soak_settings const& settings);

} // namespace cicada::soak
