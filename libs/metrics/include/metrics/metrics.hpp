#pragma once

#include "core/core.hpp"

#include <memory>

/**
 * Log-scaled histograms for each tenant and class, counters of outcomes and
 * gauges, and their text exposition. docs/METRICS.md says what each figure
 * means. Labels are bounded: tenants and outcomes beyond the bound are counted
 * as "other".
 */
namespace cicada
{

/** Bounds on what a registry keeps. */
struct metrics_settings
{
    int tenants = 64;
    int outcomes = 32;

    bool operator==(metrics_settings const&) const = default;
};

/** A value that goes up and down. */
struct gauge
{
    std::string name; //!< such as "requests_queued"
    std::int64_t value = 0;

    bool operator==(gauge const&) const = default;
};

/** All figures of a daemon. All members may be called from any thread. */
class metrics_registry
{
public:
    explicit metrics_registry(metrics_settings const& settings);
    ~metrics_registry();

    metrics_registry(metrics_registry const&) = delete;
    metrics_registry& operator=(metrics_registry const&) = delete;

    /** Takes one observation of the reducer. */
    void record(observe const& seen);

    /** The text exposition, with the gauges as they are now. */
    std::string exposition(std::vector<gauge> const& gauges) const;

private:
    struct impl;
    std::unique_ptr<impl> self;
};

/** One bucket of a histogram, cumulative. */
struct histogram_bucket
{
    double upper_seconds = 0.0; //!< infinite in the last one
    std::uint64_t count = 0;    //!< of all that took at most that

    bool operator==(histogram_bucket const&) const = default;
};

/** A histogram as read back from an exposition. */
struct histogram_view
{
    std::string name; //!< such as "cicada_wait_seconds"
    std::string tenant;
    std::string urgency; //!< the class's name
    std::vector<histogram_bucket> buckets;

    bool operator==(histogram_view const&) const = default;
};

/** The histograms of an exposition; lines of other kinds are passed over. */
std::vector<histogram_view> parse_histograms(std::string const& exposition);

/** The upper bound of the bucket that holds this share, 0..1; 0 if empty. */
double quantile_seconds(histogram_view const& histogram, double share);

} // namespace cicada
