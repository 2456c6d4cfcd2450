#pragma once

#include "options.hpp"

#include <boost/histogram.hpp>

#include <map>

/** Counts and waiting times of what was sent, and their print. */
namespace cicada::load
{

/** How a request ended for its caller. */
enum class ending
{
    ran,
    not_run,
    unknown,
    wrong,    //!< an answer that isn't for this request
    truncated //!< an answer that broke off
};

constexpr int ending_count = 5;

/** "ran", "not_run", "unknown", "wrong" or "truncated". */
char const* to_string(ending how);

/** Milliseconds, in bins that grow with the value. */
using wait_histogram = decltype(boost::histogram::make_histogram(
    boost::histogram::axis::regular<double,
                                    boost::histogram::axis::transform::log>(
        1, 1.0, 2.0)));

/** What one tenant's stream has come to. */
struct tally
{
    tally();

    std::array<std::uint64_t, ending_count> endings{};
    wait_histogram waits; //!< of what ran, from the intended arrival
};

/** A key and how its request ended, to be compared with what ran. */
struct sent_key
{
    std::string key;
    ending how = ending::unknown;
    bool idempotent = true;
};

/** What the stand-in says against what the callers were told. */
struct verification
{
    int asked = 0;
    int not_run_but_ran = 0;
    int ran_but_not_run = 0; //!< callers were told that it ran
    int ran_twice = 0;       //!< of the non-idempotent
    std::string counts;      //!< the stand-in's own, JSON
};

/** The least value that `part` (0 to 1) of all waits don't exceed, in ms. */
double percentile(wait_histogram const& waits, double part);

std::string print_table(options const& given, std::vector<tally> const& all);

std::string print_json(options const& given,
                       std::vector<tally> const& all,
                       std::optional<verification> const& checked);

} // namespace cicada::load
