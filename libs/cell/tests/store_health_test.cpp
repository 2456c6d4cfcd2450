#include "store_health.hpp"

#include <gtest/gtest.h>

#include <vector>

namespace cicada::cell
{
namespace
{

struct call
{
    int sent;  //!< milliseconds
    int ended; //!< milliseconds
    bool answered;
};

struct health_case
{
    char const* name;
    std::vector<call> calls; //!< in the order of their ends
    bool failing;
};

class calls_to_the_store : public testing::TestWithParam<health_case>
{
};

TEST_P(calls_to_the_store, count_in_the_order_in_which_they_were_sent)
{
    store_health health;
    for (call const& each : GetParam().calls)
    {
        record_call(health,
                    instant{milliseconds{each.sent}},
                    instant{milliseconds{each.ended}},
                    each.answered);
    }
    EXPECT_EQ(is_failing(health), GetParam().failing);
}

INSTANTIATE_TEST_SUITE_P(
    cases,
    calls_to_the_store,
    testing::Values(
        health_case{"none", {}, false},
        health_case{"answered", {{10, 14, true}}, false},
        health_case{"failed", {{10, 14, true}, {20, 24, false}}, true},
        health_case{"answered_again", {{20, 24, false}, {30, 34, true}}, false},
        health_case{"timed_out_after_a_later_answer",
                    {{30, 34, true}, {20, 1520, false}},
                    false},
        health_case{"answered_late_after_a_later_failure",
                    {{20, 24, false}, {10, 30, true}},
                    true}),
    [](testing::TestParamInfo<health_case> const& info)
    {
        return std::string(info.param.name);
    });

} // namespace
} // namespace cicada::cell
