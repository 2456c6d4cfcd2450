#include "metrics/metrics.hpp"

#include <cstdlib>
#include <limits>
#include <sstream>

namespace cicada
{
namespace
{

/** The value of a label in a line; empty if the line lacks the label. */
std::string find_label(std::string const& line, std::string const& name)
{
    std::string const prefix = name + "=\"";
    std::size_t const at = line.find(prefix);
    if (at == std::string::npos)
    {
        return "";
    }
    std::size_t const first = at + prefix.size();
    return line.substr(first, line.find('"', first) - first);
}

double parse_seconds(std::string const& text)
{
    return text == "+Inf" ? std::numeric_limits<double>::infinity()
                          : std::strtod(text.c_str(), nullptr);
}

} // namespace

std::vector<histogram_view> parse_histograms(std::string const& exposition)
{
    std::vector<histogram_view> views;
    std::istringstream lines(exposition);
    std::string line;
    while (std::getline(lines, line))
    {
        std::size_t const name_end = line.find("_bucket{");
        std::size_t const labels_end = line.rfind("} ");
        if (name_end == std::string::npos || labels_end == std::string::npos)
        {
            continue;
        }
        histogram_view parsed{line.substr(0, name_end),
                              find_label(line, "tenant"),
                              find_label(line, "class"),
                              {}};
        bool const same_histogram = !views.empty() &&
                                    views.back().name == parsed.name &&
                                    views.back().tenant == parsed.tenant &&
                                    views.back().urgency == parsed.urgency;
        if (!same_histogram)
        {
            views.push_back(parsed);
        }
        views.back().buckets.push_back(
            {parse_seconds(find_label(line, "le")),
             std::strtoull(line.c_str() + labels_end + 2, nullptr, 10)});
    }
    return views;
}

double quantile_seconds(histogram_view const& histogram, double quantile)
{
    if (histogram.buckets.empty() || histogram.buckets.back().count == 0)
    {
        return 0.0;
    }
    double const target_count =
        quantile * static_cast<double>(histogram.buckets.back().count);
    for (histogram_bucket const& bucket : histogram.buckets)
    {
        if (static_cast<double>(bucket.count) >= target_count)
        {
            return bucket.upper_seconds;
        }
    }
    return histogram.buckets.back().upper_seconds;
}

} // namespace cicada
