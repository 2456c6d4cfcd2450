#include "metrics/metrics.hpp"

#include <gtest/gtest.h>

#include <malloc.h>

namespace cicada
{
namespace
{

observe make_observation(observe::what kind,
                         std::string const& tenant,
                         milliseconds duration,
                         std::string const& detail = "")
{
    return {kind, {tenant}, work_class::normal, duration, detail};
}

struct quantile_case
{
    std::vector<int> durations_ms;
    double quantile;
    double at_least;
    double at_most;
};

class quantiles : public testing::TestWithParam<quantile_case>
{
};

TEST_P(quantiles, are_read_back_from_the_exposition)
{
    quantile_case const& test_case = this->GetParam();
    metrics_registry registry({});
    for (int const duration : test_case.durations_ms)
    {
        registry.record(
            make_observation(observe::what::wait, "t", milliseconds(duration)));
    }
    std::vector<histogram_view> const views =
        parse_histograms(registry.exposition({}));
    ASSERT_EQ(views.size(), 1U);
    EXPECT_EQ(views[0].tenant, "t");
    EXPECT_EQ(views[0].urgency, "normal");
    EXPECT_EQ(views[0].buckets.back().count, test_case.durations_ms.size());
    double const upper_bound = quantile_seconds(views[0], test_case.quantile);
    EXPECT_GE(upper_bound, test_case.at_least);
    EXPECT_LE(upper_bound, test_case.at_most);
}

INSTANTIATE_TEST_SUITE_P(
    table,
    quantiles,
    testing::Values(quantile_case{{0}, 0.5, 0.0, 0.0006},
                    quantile_case{{10, 10, 10, 1'000}, 0.5, 0.01, 0.02},
                    quantile_case{{10, 10, 10, 1'000}, 0.99, 1.0, 1.7},
                    quantile_case{{900'000}, 0.5, 700.0, 1e300 * 1e300}));

TEST(labels, are_bounded)
{
    metrics_registry registry({2, 2});
    for (int index = 0; index < 100; ++index)
    {
        registry.record(make_observation(observe::what::outcome,
                                         "t" + std::to_string(index),
                                         milliseconds(0),
                                         "o\"" + std::to_string(index)));
    }
    std::string const text = registry.exposition({{"requests_queued", 5}});
    EXPECT_EQ(text.find("t50"), std::string::npos);
    EXPECT_NE(text.find("outcome=\"other\"} 96\n"), std::string::npos) << text;
    EXPECT_NE(text.find("cicada_requests_queued 5\n"), std::string::npos);
    EXPECT_EQ(text.find("o\""), std::string::npos);
}

TEST(memory, of_33_tenants_and_3_classes_is_small)
{
    constexpr std::size_t max_bytes = 256UL * 1024;
    std::size_t const before = mallinfo2().uordblks;
    metrics_registry registry({});
    for (int tenant = 0; tenant < 33; ++tenant)
    {
        for (int class_index = 0; class_index < work_class_count; ++class_index)
        {
            for (observe::what const kind : {observe::what::wait,
                                             observe::what::service_time,
                                             observe::what::outcome})
            {
                observe observation =
                    make_observation(kind,
                                     "tenant-" + std::to_string(tenant),
                                     milliseconds(10),
                                     "answered");
                observation.urgency = static_cast<work_class>(class_index);
                registry.record(observation);
            }
        }
    }
    std::size_t const used = mallinfo2().uordblks - before;
    RecordProperty("bytes", std::to_string(used));
    EXPECT_LT(used, max_bytes);
}

} // namespace
} // namespace cicada
