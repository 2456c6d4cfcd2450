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
constexpr double shortest_seconds = 0.0005;
constexpr double longest_seconds = 600.0;
constexpr double ms_per_second = 1'000.0;
constexpr char other[] = "other";

using log_axis = hist::axis::regular<double, hist::axis::transform::log>;
using log_histogram =
    hist::histogram<std::tuple<log_axis>, hist::dense_storage<std::uint64_t>>;

struct length_series
{
    log_histogram buckets{std::make_tuple(log_axis(
                              bucket_count, shortest_seconds, longest_seconds)),
                          hist::dense_storage<std::uint64_t>()};
    double sum_seconds = 0.0;
    std::uint64_t count = 0;
};

struct class_series
{
    length_series wait;
    length_series service;
    std::map<std::string, std::uint64_t> outcomes;
};

struct tenant_series
{
    std::array<std::unique_ptr<class_series>, work_class_count> classes;
};

void add(length_series& series, milliseconds length)
{
    double const seconds = static_cast<double>(length.count()) / ms_per_second;
    series.buckets(seconds);
    series.sum_seconds += seconds;
    ++series.count;
}

/** As a label's value: what would end it is replaced. */
std::string label_text(std::string text)
{
    for (char& byte : text)
    {
        bool const ends = byte == '"' || byte == '\\' || byte == '\n';
        byte = ends ? '_' : byte;
    }
    return text;
}

std::string number_text(double value)
{
    std::array<char, 32> text{};
    std::snprintf(text.data(), text.size(), "%.6g", value);
    return text.data();
}

std::string labels_of(std::string const& tenant, std::size_t which)
{
    return "tenant=\"" + label_text(tenant) + "\",class=\"" +
           to_string(static_cast<work_class>(which)) + "\"";
}

void write_buckets(std::string const& name,
                   std::string const& labels,
                   length_series const& series,
                   std::string& text)
{
    std::uint64_t sum = 0;
    for (int index = -1; index < bucket_count; ++index)
    {
        sum += series.buckets.at(index);
        double const upper = series.buckets.axis().value(index + 1);
        text += name;
        text += "_bucket{" + labels + ",le=\"" + number_text(upper);
        text += "\"} " + std::to_string(sum) + "\n";
    }
    text += name + "_bucket{" + labels + ",le=\"+Inf\"} " +
            std::to_string(series.count) + "\n";
    text +=
        name + "_sum{" + labels + "} " + number_text(series.sum_seconds) + "\n";
    text +=
        name + "_count{" + labels + "} " + std::to_string(series.count) + "\n";
}

std::string heading(std::string const& name,
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
    std::string& outcome_name(class_series const& series, std::string& name);
    void write_lengths(std::string const& name,
                       length_series class_series::*which,
                       std::string& text) const;
    void write_outcomes(std::string& text) const;
};

class_series& metrics_registry::impl::series_of(std::string const& tenant,
                                                work_class urgency)
{
    std::size_t const bound = static_cast<std::size_t>(this->settings.tenants);
    bool const is_known = this->tenants.count(tenant) > 0;
    bool const has_room = this->tenants.size() < bound;
    tenant_series& series =
        this->tenants[is_known || has_room ? tenant : other];
    std::unique_ptr<class_series>& kept =
        series.classes[static_cast<std::size_t>(urgency)];
    if (!kept)
    {
        kept = std::make_unique<class_series>();
    }
    return *kept;
}

std::string& metrics_registry::impl::outcome_name(class_series const& series,
                                                  std::string& name)
{
    std::size_t const bound = static_cast<std::size_t>(this->settings.outcomes);
    bool const is_known = series.outcomes.count(name) > 0;
    if (!is_known && series.outcomes.size() >= bound)
    {
        name = other;
    }
    return name;
}

void metrics_registry::impl::write_lengths(std::string const& name,
                                           length_series class_series::*which,
                                           std::string& text) const
{
    for (std::map<std::string, tenant_series>::value_type const& each :
         this->tenants)
    {
        for (std::size_t index = 0; index < work_class_count; ++index)
        {
            std::unique_ptr<class_series> const& series =
                each.second.classes[index];
            if (series && ((*series).*which).count > 0)
            {
                write_buckets(
                    name, labels_of(each.first, index), (*series).*which, text);
            }
        }
    }
}

void metrics_registry::impl::write_outcomes(std::string& text) const
{
    for (std::map<std::string, tenant_series>::value_type const& each :
         this->tenants)
    {
        for (std::size_t index = 0; index < work_class_count; ++index)
        {
            if (!each.second.classes[index])
            {
                continue;
            }
            for (std::map<std::string, std::uint64_t>::value_type const&
                     outcome : each.second.classes[index]->outcomes)
            {
                text += "cicada_outcomes_total{" +
                        labels_of(each.first, index) + ",outcome=\"" +
                        label_text(outcome.first) + "\"} " +
                        std::to_string(outcome.second) + "\n";
            }
        }
    }
}

metrics_registry::metrics_registry(metrics_settings const& settings)
    : self(std::make_unique<impl>())
{
    this->self->settings = settings;
}

metrics_registry::~metrics_registry() = default;

void metrics_registry::record(observe const& seen)
{
    std::lock_guard<std::mutex> const lock(this->self->mutex);
    class_series& series =
        this->self->series_of(seen.tenant.value, seen.urgency);
    std::string name = seen.detail;
    switch (seen.kind)
    {
    case observe::what::wait:
        add(series.wait, seen.length);
        break;
    case observe::what::service_time:
        add(series.service, seen.length);
        break;
    case observe::what::outcome:
        ++series.outcomes[this->self->outcome_name(series, name)];
        break;
    }
}

std::string metrics_registry::exposition(std::vector<gauge> const& gauges) const
{
    std::lock_guard<std::mutex> const lock(this->self->mutex);
    std::string text =
        heading("cicada_wait_seconds",
                "histogram",
                "From a request's accept to its attempt's start.");
    this->self->write_lengths("cicada_wait_seconds", &class_series::wait, text);
    text += heading("cicada_service_seconds",
                    "histogram",
                    "Of an attempt, from its start to its whole answer.");
    this->self->write_lengths(
        "cicada_service_seconds", &class_series::service, text);
    text += heading("cicada_outcomes_total",
                    "counter",
                    "Requests and jobs that ended, by how.");
    this->self->write_outcomes(text);
    for (gauge const& each : gauges)
    {
        std::string const name = "cicada_" + each.name;
        text += heading(name, "gauge", "See docs/METRICS.md.") + name + " " +
                std::to_string(each.value) + "\n";
    }
    return text;
}

} // namespace cicada
