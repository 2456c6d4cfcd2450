#include "store_watch/store_watch.hpp"

#include <gtest/gtest.h>

namespace cicada::store_watch
{
namespace
{

constexpr instant start{milliseconds{1'000'000}};

struct start_case
{
    char const* name;
    std::optional<std::int64_t> from;
    bool reads;
};

class a_started_watch : public testing::TestWithParam<start_case>
{
};

TEST_P(a_started_watch, reads_unless_it_has_a_revision)
{
    start_case const& c = GetParam();
    watch_state state = make_watch({});
    std::vector<effect> const first =
        step(state, {start, watch_started{c.from}});
    ASSERT_EQ(first.size(), 1u);
    EXPECT_EQ(std::holds_alternative<read_items>(first[0]), c.reads);
    if (!c.reads)
    {
        EXPECT_EQ(std::get<watch_items>(first[0]).after, *c.from);
    }
}

INSTANTIATE_TEST_SUITE_P(cases,
                         a_started_watch,
                         testing::Values(start_case{"new", std::nullopt, true},
                                         start_case{"from", 7, false}),
                         [](testing::TestParamInfo<start_case> const& info)
                         {
                             return std::string(info.param.name);
                         });

TEST(a_watch, reads_all_items_after_its_history_was_lost)
{
    watch_state state = make_watch({});
    step(state, {start, watch_started{7}});
    std::vector<effect> const next =
        step(state, {start, changes_read{state.call, 0, true}});
    ASSERT_EQ(next.size(), 1u);
    EXPECT_TRUE(std::holds_alternative<read_items>(next[0]));
}

TEST(a_watch, ignores_the_reply_to_an_earlier_call)
{
    watch_state state = make_watch({});
    step(state, {start, watch_started{7}});
    std::uint64_t const earlier = state.call;
    step(state, {start, changes_read{earlier, 9}});
    EXPECT_TRUE(step(state, {start, changes_read{earlier, 8}}).empty());
    EXPECT_TRUE(step(state, {start, call_failed{earlier}}).empty());
    EXPECT_EQ(state.revision, 9);
}

} // namespace
} // namespace cicada::store_watch
