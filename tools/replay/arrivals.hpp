#pragma once

#include "queueing/queueing.hpp"

/** Lists of arrivals, made from a seed: the same each time. */
namespace cicada
{

/** Work of one kind, from every tenant alike. */
struct stream
{
    workload_id workload;
    work_class urgency = work_class::normal;
    milliseconds service{0};       //!< mean; exponentially distributed
    double load = 0;               //!< share of all slots that it takes
    milliseconds deadline{30'000}; //!< from arrival
};

/** A user's pool of endpoints and the work that comes to it. */
struct scenario
{
    std::string name;
    int slots = 0;
    std::vector<stream> streams;
};

/** Which work comes ten times as much, or more, between two times. */
struct flood
{
    std::string name;
    std::optional<work_class> urgency;
    std::optional<tenant_id> tenant; //!< empty: all tenants
    double factor = 10;
};

/** One request, and how long it will hold its slot. */
struct arrival
{
    queue_entry entry;
    milliseconds service{0};
};

constexpr int tenant_count = 33;
constexpr milliseconds flood_start{300'000};
constexpr milliseconds flood_end{420'000};

/** The association's: notice-hub. */
scenario notice_hub();

/** Papel Lirio's: lirio-taller. */
scenario lirio_taller();

/** All arrivals until the end of the flood, by time. */
std::vector<arrival> make_arrivals(scenario const& from, flood const& more);

/** True if the request is part of the work that the flood multiplies. */
bool floods(flood const& more, queue_entry const& entry);

} // namespace cicada
