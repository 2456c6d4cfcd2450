#include "relay.hpp"

#include <gtest/gtest.h>

namespace cicada::soak
{
namespace
{

struct epoch_case
{
    char const* name;
    std::uint64_t token;
    std::uint64_t epoch;
};

class epoch_of_token : public testing::TestWithParam<epoch_case>
{
};

TEST_P(epoch_of_token, is_its_placers)
{
    EXPECT_EQ(epoch_of(GetParam().token), GetParam().epoch);
}

INSTANTIATE_TEST_SUITE_P(
    tokens,
    epoch_of_token,
    testing::Values(epoch_case{"first", 1024, 1},
                    epoch_case{"last_of_an_epoch", 3071, 2},
                    epoch_case{"first_of_an_epoch", 3072, 3}),
    [](testing::TestParamInfo<epoch_case> const& each)
    {
        return std::string(each.param.name);
    });

} // namespace
} // namespace cicada::soak
