#include "revision_history.hpp"

#include <gtest/gtest.h>

namespace cicada::cell
{
namespace
{

struct history_case
{
    char const* name;
    std::int64_t revision;
    std::optional<int> stored_by; //!< milliseconds
};

class history_of_revisions : public testing::TestWithParam<history_case>
{
};

// Guards against a record that counts as older than it is: the wait for the
// leases of a silent worker would end too early.
TEST_P(history_of_revisions, dates_a_change_no_earlier_than_it_was_seen)
{
    revision_history history;
    for (auto const& each : {std::pair(5, 1000),
                             std::pair(9, 2000),
                             std::pair(20, 2050),
                             std::pair(9, 2500),
                             std::pair(20, 3000)})
    {
        note_revision(history, each.first, instant{milliseconds{each.second}});
    }
    std::optional<instant> const found =
        stored_by(history, GetParam().revision);
    ASSERT_EQ(found.has_value(), GetParam().stored_by.has_value());
    if (found)
    {
        EXPECT_EQ(*found, instant{milliseconds{*GetParam().stored_by}});
    }
}

INSTANTIATE_TEST_SUITE_P(
    cases,
    history_of_revisions,
    testing::Values(history_case{"before_the_first", 3, 1000},
                    history_case{"seen", 9, 2000},
                    history_case{"between", 10, 3000},
                    history_case{"last", 20, 3000},
                    history_case{"after_the_last", 21, std::nullopt}),
    [](testing::TestParamInfo<history_case> const& info)
    {
        return std::string(info.param.name);
    });

TEST(history_of_many_revisions, keeps_a_bounded_number)
{
    revision_history history;
    for (int k = 1; k <= 1000; ++k)
    {
        note_revision(history, k, instant{milliseconds{k * 200}});
    }
    EXPECT_LE(history.seen.size(), 300u);
    EXPECT_EQ(stored_by(history, 1), history.seen.front().at);
}

} // namespace
} // namespace cicada::cell
