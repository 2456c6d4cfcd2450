#pragma once

#include "core/core.hpp"

#include <memory>

/**
 * Log-scaled histograms for each tenant and class, counters of outcomes and
 * gauges, and their text exposition. docs/METRICS.md defines each metric. The
 * number of label values is bounded: further tenants and outcomes are counted
 * as "other".
 */
namespace cicada
{

/** Bounds on the number of label values in a registry. */
struct metrics_settings
{
    int tenants = 64;  //!< distinct tenants, without "other"
    int outcomes = 32; //!< distinct outcomes a tenant and class

    bool operator==(metrics_settings const&) const = default;
};

/** A metric that can increase and decrease. */
struct gauge
{
    std::string name; //!< without the prefix, such as "requests_queued"
    std::int64_t value = 0;

    bool operator==(gauge const&) const = default;
};

/** The metrics of a daemon. Thread-safe. */
class metrics_registry
{
public:
    explicit metrics_registry(metrics_settings const& settings);
    ~metrics_registry();

    metrics_registry(metrics_registry const&) = delete;
    metrics_registry& operator=(metrics_registry const&) = delete;

    /** Adds an observation to its histogram or counter. */
    void record(observe const& observation);

    /** The text exposition of the recorded metrics and the given gauges. */
    std::string exposition(std::vector<gauge> const& gauges) const;

private:
    struct impl;
    std::unique_ptr<impl> implementation;
};

/** A cumulative bucket of a histogram. */
struct histogram_bucket
{
    double upper_seconds = 0.0; //!< infinite in the last bucket
    std::uint64_t count = 0;    //!< observations up to upper_seconds

    bool operator==(histogram_bucket const&) const = default;
};

/** A histogram parsed from an exposition. */
struct histogram_view
{
    std::string name; //!< such as "cicada_wait_seconds"
    std::string tenant;
    std::string urgency; //!< the class's name
    std::vector<histogram_bucket> buckets;

    bool operator==(histogram_view const&) const = default;
};

/** Parses the histograms of an exposition and ignores all other lines. */
std::vector<histogram_view> parse_histograms(std::string const& exposition);

/**
 * The upper bound in seconds of the bucket that contains the quantile, which is
 * in 0..1. Returns 0 for an empty histogram.
 */
double quantile_seconds(histogram_view const& histogram, double quantile);

} // namespace cicada
