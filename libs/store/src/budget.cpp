#include "budget.hpp"

#include <algorithm>
#include <cmath>

namespace cicada::store_detail
{

namespace
{

constexpr double ms_per_second = 1000.0;

double refilled(budget_settings const& settings,
                token_bucket const& bucket,
                instant now)
{
    milliseconds const passed = std::max(now - bucket.filled, milliseconds(0));
    double const earned = static_cast<double>(passed.count()) *
                          settings.calls_per_second / ms_per_second;
    return std::min(bucket.tokens + earned, settings.burst);
}

} // namespace

budget_settings share_of(budget_settings const& cell, int sharers)
{
    double const parts = std::max(sharers, 1);
    return {cell.calls_per_second / parts, std::max(cell.burst / parts, 1.0)};
}

token_bucket full_bucket(budget_settings const& settings, instant now)
{
    return {settings.burst, now};
}

budget_grant take_token(budget_settings const& settings,
                        token_bucket const& bucket,
                        instant now)
{
    double const rest = refilled(settings, bucket, now) - 1.0;
    double const missing = std::max(-rest, 0.0);
    double const wait = missing / settings.calls_per_second * ms_per_second;
    milliseconds const delay(static_cast<std::int64_t>(std::ceil(wait)));
    return {{rest, std::max(now, bucket.filled)}, delay};
}

} // namespace cicada::store_detail
