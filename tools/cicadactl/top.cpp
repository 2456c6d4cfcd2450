#include "command.hpp"

#include "metrics/metrics.hpp"

#include <nlohmann/json.hpp>

#include <array>
#include <cstdio>

namespace cicada
{
namespace
{

constexpr std::size_t bar_width = 40;
constexpr double median = 0.5;
constexpr double tail = 0.99;

std::string seconds_text(double seconds)
{
    std::array<char, 32> text{};
    std::snprintf(text.data(), text.size(), "%.4gs", seconds);
    return text.data();
}

std::uint64_t largest_bucket(histogram_view const& view)
{
    std::uint64_t largest = 1;
    std::uint64_t below = 0;
    for (histogram_bucket const& bucket : view.buckets)
    {
        largest = std::max(largest, bucket.count - below);
        below = bucket.count;
    }
    return largest;
}

/** One bar for each bucket that holds anything. */
void print_bars(histogram_view const& view)
{
    std::uint64_t const largest = largest_bucket(view);
    std::uint64_t below = 0;
    for (histogram_bucket const& bucket : view.buckets)
    {
        std::uint64_t const count = bucket.count - below;
        below = bucket.count;
        if (count == 0)
        {
            continue;
        }
        std::size_t const length = static_cast<std::size_t>(
            (count * bar_width + largest - 1) / largest);
        std::printf("  %10s  %-40s %lu\n",
                    seconds_text(bucket.upper_seconds).c_str(),
                    std::string(length, '#').c_str(),
                    static_cast<unsigned long>(count));
    }
}

void print_json(std::vector<histogram_view> const& views)
{
    nlohmann::json list = nlohmann::json::array();
    for (histogram_view const& view : views)
    {
        list.push_back({{"name", view.name},
                        {"tenant", view.tenant},
                        {"class", view.urgency},
                        {"count", view.buckets.back().count},
                        {"p50_seconds", quantile_seconds(view, median)},
                        {"p99_seconds", quantile_seconds(view, tail)}});
    }
    std::printf("%s\n", list.dump(2).c_str());
}

} // namespace

exit_code run_top_command(invocation const& asked)
{
    if (asked.words.size() != 1)
    {
        return print_usage();
    }
    result<operators_answer> const answer =
        call_daemon(asked, "GET", "/v1/metrics");
    if (!answer.has_value())
    {
        return code_of(answer.assume_error());
    }
    if (answer.assume_value().status != 200)
    {
        return print_refusal(answer.assume_value());
    }
    std::vector<histogram_view> const views =
        parse_histograms(answer.assume_value().body);
    if (asked.json)
    {
        print_json(views);
        return exit_code::ok;
    }
    for (histogram_view const& view : views)
    {
        std::printf("%s  tenant %s  class %s  p50 %s  p99 %s\n",
                    view.name.c_str(),
                    view.tenant.c_str(),
                    view.urgency.c_str(),
                    seconds_text(quantile_seconds(view, median)).c_str(),
                    seconds_text(quantile_seconds(view, tail)).c_str());
        print_bars(view);
    }
    if (views.empty())
    {
        std::puts("nothing observed yet");
    }
    return exit_code::ok;
}

} // namespace cicada
