#include "backoff.hpp"

#include <algorithm>

namespace cicada::store_detail
{

namespace
{

constexpr int most_doublings = 20;

} // namespace

milliseconds
backoff_delay(backoff_settings const& settings, int failures, double jitter)
{
    if (failures <= 0)
    {
        return milliseconds(0);
    }
    int const doublings = std::min(failures - 1, most_doublings);
    milliseconds const grown = settings.first * (std::int64_t{1} << doublings);
    milliseconds const whole = std::min(grown, settings.longest);
    double const share = 0.5 + 0.5 * std::clamp(jitter, 0.0, 1.0);
    return milliseconds(
        static_cast<std::int64_t>(static_cast<double>(whole.count()) * share));
}

} // namespace cicada::store_detail
