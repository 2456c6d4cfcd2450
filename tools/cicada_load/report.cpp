#include "report.hpp"

#include <nlohmann/json.hpp>

#include <iomanip>
#include <numeric>
#include <sstream>

namespace cicada::load
{
namespace
{

constexpr int bins = 600;
constexpr double least_ms = 0.01;
constexpr double most_ms = 600'000;
constexpr std::array<char const*, ending_count> names{
    "ran", "not_run", "unknown", "wrong", "truncated"};

std::uint64_t total(tally const& one)
{
    return std::accumulate(
        one.endings.begin(), one.endings.end(), std::uint64_t{0});
}

double ran_per_second(options const& given, tally const& one)
{
    return static_cast<double>(one.endings[0]) / given.seconds;
}

} // namespace

char const* to_string(ending how)
{
    return names[static_cast<std::size_t>(how)];
}

tally::tally()
    : waits(boost::histogram::make_histogram(
          boost::histogram::axis::
              regular<double, boost::histogram::axis::transform::log>(
                  bins, least_ms, most_ms)))
{
}

double percentile(wait_histogram const& waits, double part)
{
    double all = 0;
    for (int bin = -1; bin <= bins; ++bin)
    {
        all += waits.at(bin);
    }
    double seen = 0;
    for (int bin = -1; bin <= bins; ++bin)
    {
        seen += waits.at(bin);
        if (all > 0 && seen >= part * all)
        {
            return waits.axis().bin(bin).upper();
        }
    }
    return 0;
}

std::string print_table(options const& given, std::vector<tally> const& all)
{
    std::ostringstream text;
    text << std::fixed << std::setprecision(2);
    text << "tenant class workload count ran not_run unknown wrong truncated "
            "p50_ms p99_ms p999_ms ran_per_s\n";
    for (std::size_t row = 0; row < all.size(); ++row)
    {
        tenant_load const& load = given.tenants[row];
        text << load.tenant << ' ' << cicada::to_string(load.urgency) << ' '
             << load.workload << ' ' << total(all[row]);
        for (std::uint64_t const count : all[row].endings)
        {
            text << ' ' << count;
        }
        text << ' ' << percentile(all[row].waits, 0.5) << ' '
             << percentile(all[row].waits, 0.99) << ' '
             << percentile(all[row].waits, 0.999) << ' '
             << ran_per_second(given, all[row]) << '\n';
    }
    return text.str();
}

std::string print_json(options const& given,
                       std::vector<tally> const& all,
                       std::optional<verification> const& checked)
{
    nlohmann::json text;
    text["seconds"] = given.seconds;
    for (std::size_t row = 0; row < all.size(); ++row)
    {
        tenant_load const& load = given.tenants[row];
        nlohmann::json one;
        one["tenant"] = load.tenant;
        one["class"] = cicada::to_string(load.urgency);
        one["workload"] = load.workload;
        one["count"] = total(all[row]);
        for (std::size_t how = 0; how < names.size(); ++how)
        {
            one[names[how]] = all[row].endings[how];
        }
        one["p50_ms"] = percentile(all[row].waits, 0.5);
        one["p99_ms"] = percentile(all[row].waits, 0.99);
        one["p999_ms"] = percentile(all[row].waits, 0.999);
        one["ran_per_second"] = ran_per_second(given, all[row]);
        text["streams"].push_back(one);
    }
    if (checked)
    {
        text["verify"] = {
            {"asked", checked->asked},
            {"not_run_but_ran", checked->not_run_but_ran},
            {"ran_but_not_run", checked->ran_but_not_run},
            {"ran_twice", checked->ran_twice},
            {"counts", nlohmann::json::parse(checked->counts, nullptr, false)}};
    }
    return text.dump(2) + "\n";
}

} // namespace cicada::load
