#include "relay.hpp"

#include <gtest/gtest.h>

namespace cicada::soak
{

namespace
{

struct epoch_case
{
    char const* name;
    std::string_view chunk;
    std::optional<std::uint64_t> epoch;
};

class epoch_of_request : public testing::TestWithParam<epoch_case>
{
};

TEST_P(epoch_of_request, is_read_from_a_whole_token)
{
    EXPECT_EQ(read_epoch(GetParam().chunk), GetParam().epoch);
}

INSTANTIATE_TEST_SUITE_P(
    requests,
    epoch_of_request,
    testing::Values(
        epoch_case{"no_token", "POST /-/x HTTP/1.1\r\n\r\n{}", std::nullopt},
        epoch_case{"empty", "", std::nullopt},
        epoch_case{"no_digits", R"({"fencing-token":"a"})", std::nullopt},
        epoch_case{"cut_before_digits", R"({"fencing-token":)", std::nullopt},
        epoch_case{"cut_in_digits", R"({"fencing-token":307)", std::nullopt},
        epoch_case{"last_of_an_epoch", R"({"fencing-token":3071})", 2},
        epoch_case{"first_of_an_epoch", R"({"fencing-token":3072,"run":9})", 3},
        epoch_case{"behind_headers",
                   "POST /-/poll HTTP/1.1\r\n\r\n{\"fencing-token\":1024}",
                   1}),
    [](testing::TestParamInfo<epoch_case> const& each)
    {
        return std::string(each.param.name);
    });

} // namespace

} // namespace cicada::soak
