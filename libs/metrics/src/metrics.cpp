#include "metrics/metrics.hpp"

#include <boost/histogram.hpp>

#include <array>
#include <cstdio>
#include <map>
#include <mutex>

namespace cicada
{
namespace
{

namespace hist = boost::histogram;

constexpr int bucket_count = 32;
constexpr double lowest_bound_seconds = 0.0005;
constexpr double highest_bound_seconds = 600.0;
constexpr double ms_per_second = 1'000.0;
constexpr std::size_t number_bytes = 32; //!< of a formatted number
constexpr char other_label[] = "other";

using log_axis = hist::axis::regular<double, hist::axis::transform::log>;
using log_histogram =
    hist::histogram<std::tuple<log_axis>, hist::dense_storage<std::uint64_t>>;

struct duration_series
{
    log_histogram buckets{std::make_tuple(log_axis(bucket_count,
                                                   lowest_bound_seconds,
                                                   highest_bound_seconds)),
                          hist::dense_storage<std::uint64_t>()};
    double sum_seconds = 0.0;
    std::uint64_t count = 0;
};

struct class_series
{
    duration_series wait;
    duration_series service;
    std::map<std::string, std::uint64_t> outcomes;
};

struct tenant_series
{
    std::array<std::unique_ptr<class_series>, work_class_count> classes;
};

void add_duration(duration_series& series, milliseconds duration)
{
    double const seconds =
        static_cast<double>(duration.count()) / ms_per_second;
    series.buckets(seconds);
    series.sum_seconds += seconds;
    ++series.count;
}

/** Replaces the characters that a label value must escape by underscores. */
std::string sanitize_label(std::string text)
{
    for (char& byte : text)
    {
        bool const needs_escape = byte == '"' || byte == '\\' || byte == '\n';
        byte = needs_escape ? '_' : byte;
    }
    return text;
}

std::string format_number(double value)
{
    std::array<char, number_bytes> text{};
    std::snprintf(text.data(), text.size(), "%.6g", value);
    return text.data();
}

std::string format_labels(std::string const& tenant, std::size_t class_index)
{
    return "tenant=\"" + sanitize_label(tenant) + "\",class=\"" +
           to_string(static_cast<work_class>(class_index)) + "\"";
}

void write_buckets(std::string const& name,
                   std::string const& labels,
                   duration_series const& series,
                   std::string& text)
{
    std::uint64_t cumulative_count = 0;
    for (int index = -1; index < bucket_count; ++index)
    {
        cumulative_count += series.buckets.at(index);
        double const upper = series.buckets.axis().value(index + 1);
        text += name;
        text += "_bucket{" + labels + ",le=\"" + format_number(upper);
        text += "\"} " + std::to_string(cumulative_count) + "\n";
    }
    text += name + "_bucket{" + labels + ",le=\"+Inf\"} " +
            std::to_string(series.count) + "\n";
    text += name + "_sum{" + labels + "} " + format_number(series.sum_seconds) +
            "\n";
    text +=
        name + "_count{" + labels + "} " + std::to_string(series.count) + "\n";
}

std::string format_header(std::string const& name,
                          std::string const& type,
                          std::string const& help)
{
    return "# HELP " + name + " " + help + "\n# TYPE " + name + " " + type +
           "\n";
}

} // namespace

struct metrics_registry::impl
{
    metrics_settings settings;
    mutable std::mutex mutex;
    std::map<std::string, tenant_series> tenants;

    class_series& series_of(std::string const& tenant, work_class urgency);
    /** Changes `name` to "other" if it is new and the bound is reached. */
    std::string& bounded_outcome(class_series const& series, std::string& name);
    void write_durations(std::string const& name,
                         duration_series class_series::*durations,
                         std::string& text) const;
    void write_outcomes(std::string& text) const;
};

class_series& metrics_registry::impl::series_of(std::string const& tenant,
                                                work_class urgency)
{
    std::size_t const bound = static_cast<std::size_t>(this->settings.tenants);
    bool const is_known = this->tenants.count(tenant) > 0;
    bool const below_bound = this->tenants.size() < bound;
    tenant_series& series =
        this->tenants[is_known || below_bound ? tenant : other_label];
    std::unique_ptr<class_series>& of_class =
        series.classes[static_cast<std::size_t>(urgency)];
    if (!of_class)
    {
        of_class = std::make_unique<class_series>();
    }
    return *of_class;
}

std::string& metrics_registry::impl::bounded_outcome(class_series const& series,
                                                     std::string& name)
{
    std::size_t const bound = static_cast<std::size_t>(this->settings.outcomes);
    bool const is_known = series.outcomes.count(name) > 0;
    if (!is_known && series.outcomes.size() >= bound)
    {
        name = other_label;
    }
    return name;
}

void metrics_registry::impl::write_durations(
    std::string const& name,
    duration_series class_series::*durations,
    std::string& text) const
{
    for (std::map<std::string, tenant_series>::value_type const& tenant :
         this->tenants)
    {
        for (std::size_t index = 0; index < work_class_count; ++index)
        {
            std::unique_ptr<class_series> const& series =
                tenant.second.classes[index];
            if (series && ((*series).*durations).count > 0)
            {
                write_buckets(name,
                              format_labels(tenant.first, index),
                              (*series).*durations,
                              text);
            }
        }
    }
}

void metrics_registry::impl::write_outcomes(std::string& text) const
{
    for (std::map<std::string, tenant_series>::value_type const& tenant :
         this->tenants)
    {
        for (std::size_t index = 0; index < work_class_count; ++index)
        {
            if (!tenant.second.classes[index])
            {
                continue;
            }
            for (std::map<std::string, std::uint64_t>::value_type const&
                     outcome : tenant.second.classes[index]->outcomes)
            {
                text += "cicada_outcomes_total{" +
                        format_labels(tenant.first, index) + ",outcome=\"" +
                        sanitize_label(outcome.first) + "\"} " +
                        std::to_string(outcome.second) + "\n";
            }
        }
    }
}

metrics_registry::metrics_registry(metrics_settings const& settings)
    : implementation(std::make_unique<impl>())
{
    this->implementation->settings = settings;
}

metrics_registry::~metrics_registry() = default;

void metrics_registry::record(observe const& observation)
{
    std::lock_guard<std::mutex> const lock(this->implementation->mutex);
    class_series& series = this->implementation->series_of(
        observation.tenant.value, observation.urgency);
    std::string name = observation.detail;
    switch (observation.kind)
    {
    case observe::what::wait:
        add_duration(series.wait, observation.length);
        break;
    case observe::what::service_time:
        add_duration(series.service, observation.length);
        break;
    case observe::what::outcome:
        ++series.outcomes[this->implementation->bounded_outcome(series, name)];
        break;
    }
}

std::string metrics_registry::exposition(std::vector<gauge> const& gauges) const
{
    std::lock_guard<std::mutex> const lock(this->implementation->mutex);
    std::string text =
        format_header("cicada_wait_seconds",
                      "histogram",
                      "From a request's accept to its attempt's start.");
    this->implementation->write_durations(
        "cicada_wait_seconds", &class_series::wait, text);
    text += format_header("cicada_service_seconds",
                          "histogram",
                          "Of an attempt, from its start to its whole answer.");
    this->implementation->write_durations(
        "cicada_service_seconds", &class_series::service, text);
    text += format_header("cicada_outcomes_total",
                          "counter",
                          "Requests and jobs that ended, by how.");
    this->implementation->write_outcomes(text);
    for (gauge const& current : gauges)
    {
        std::string const name = "cicada_" + current.name;
        text += format_header(name, "gauge", "See docs/METRICS.md.") + name +
                " " + std::to_string(current.value) + "\n";
    }
    return text;
}

} // namespace cicada
