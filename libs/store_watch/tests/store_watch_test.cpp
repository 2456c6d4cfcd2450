#include "store_watch/store_watch.hpp"

#include <gtest/gtest.h>

#include <map>
#include <random>

namespace cicada::store_watch
{
namespace
{

constexpr milliseconds round_trip{10};

/** A store with one changing item, and a watch of it on a simulated clock. In a
 * silence, the store answers neither earlier nor new calls. */
class watched_store
{
public:
    explicit watched_store(watch_settings const& settings)
        : state(make_watch(settings))
    {
    }

    void be_silent(instant from, instant to)
    {
        this->silent_from = from;
        this->silent_to = to;
    }

    void change_at(instant at)
    {
        this->changed_at = at;
    }

    /** Another call, sent then, is answered after a round trip. */
    void recover_at(instant sent_at)
    {
        this->events.emplace(sent_at + round_trip, store_recovered{sent_at});
    }

    /** When the copy has the change; none if it hasn't by `end`. */
    std::optional<instant> run_until(instant end)
    {
        this->step(watch_started{});
        while (!this->events.empty() && this->events.begin()->first <= end)
        {
            auto const first = this->events.begin();
            this->now = first->first;
            event_body const body = first->second;
            this->events.erase(first);
            this->step(body);
            if (this->state.revision == changed_revision)
            {
                return this->now;
            }
        }
        return std::nullopt;
    }

private:
    static constexpr std::int64_t first_revision = 1;
    static constexpr std::int64_t changed_revision = 2;

    /** A call is lost if the store falls or is silent until its answer. */
    bool is_lost(instant sent, instant answered) const
    {
        return sent < this->silent_to && answered >= this->silent_from;
    }

    std::int64_t revision_at(instant when) const
    {
        return when >= this->changed_at ? changed_revision : first_revision;
    }

    void step(event_body const& body)
    {
        for (effect const& each :
             store_watch::step(this->state, {this->now, body}))
        {
            std::visit(
                [this](auto const& what)
                {
                    this->execute(what);
                },
                each);
        }
    }

    void answer(instant at, milliseconds timeout, event_body const& reply)
    {
        bool const lost =
            this->is_lost(this->now, at) || at > this->now + timeout;
        if (lost)
        {
            this->events.emplace(this->now + timeout,
                                 call_failed{this->state.call});
            return;
        }
        this->events.emplace(at, reply);
    }

    void execute(read_items const& effect)
    {
        constexpr milliseconds read_timeout{1500};
        instant const at = this->now + round_trip;
        this->answer(
            at, read_timeout, items_read{effect.call, this->revision_at(at)});
    }

    void execute(watch_items const& effect)
    {
        instant const change = std::max(this->changed_at, this->now);
        bool const changes = effect.after < changed_revision &&
                             change <= this->now + effect.wait;
        instant const at =
            (changes ? change : this->now + effect.wait) + round_trip;
        this->answer(at,
                     effect.timeout,
                     changes_read{effect.call, this->revision_at(at)});
    }

    void execute(set_timer const& effect)
    {
        this->events.emplace(this->now + effect.delay, timer_fired{});
    }

    watch_state state;
    instant now{milliseconds{1'000'000}};
    instant silent_from;
    instant silent_to;
    instant changed_at;
    std::multimap<instant, event_body> events;
};

constexpr instant start{milliseconds{1'000'000}};

struct silence_case
{
    char const* name;
    milliseconds shortest;
    milliseconds longest;
};

class silent_store : public testing::TestWithParam<silence_case>
{
};

TEST_P(silent_store, does_not_hide_a_change_past_the_catch_up_limit)
{
    constexpr milliseconds catch_up_limit{3000};
    constexpr int draws = 500;
    silence_case const& c = GetParam();
    std::mt19937 random(20'261'204);
    std::uniform_int_distribution<int> offset(100, 10'000);
    std::uniform_int_distribution<int> length(
        static_cast<int>(c.shortest.count()),
        static_cast<int>(c.longest.count()));
    for (int i = 0; i < draws; ++i)
    {
        instant const from = start + milliseconds{offset(random)};
        instant const to = from + milliseconds{length(random)};
        watched_store store{make_watch_settings(catch_up_limit, {})};
        store.be_silent(from, to);
        store.change_at(to);
        std::optional<instant> const seen =
            store.run_until(to + milliseconds{60'000});
        ASSERT_TRUE(seen.has_value());
        ASSERT_LE(*seen - to, catch_up_limit)
            << "silent from " << (from - start).count() << " to "
            << (to - start).count() << " ms";
    }
}

INSTANTIATE_TEST_SUITE_P(
    lengths,
    silent_store,
    testing::Values(
        silence_case{"lost_answer", milliseconds{1}, milliseconds{50}},
        silence_case{"short", milliseconds{50}, milliseconds{3000}},
        silence_case{"long", milliseconds{3000}, milliseconds{12'000}}),
    [](testing::TestParamInfo<silence_case> const& info)
    {
        return std::string(info.param.name);
    });

TEST(a_store_that_recovered, is_watched_again_at_once)
{
    constexpr int draws = 500;
    std::mt19937 random(20'261'204);
    std::uniform_int_distribution<int> offset(100, 10'000);
    std::uniform_int_distribution<int> length(1600, 12'000);
    std::uniform_int_distribution<int> noticed_after(0, 2000);
    for (int i = 0; i < draws; ++i)
    {
        instant const from = start + milliseconds{offset(random)};
        instant const to = from + milliseconds{length(random)};
        instant const noticed = to + milliseconds{noticed_after(random)};
        watched_store store{make_watch_settings(milliseconds{3000}, {})};
        store.be_silent(from, to);
        store.change_at(to);
        store.recover_at(noticed);
        std::optional<instant> const seen =
            store.run_until(to + milliseconds{60'000});
        ASSERT_TRUE(seen.has_value());
        ASSERT_LE(*seen - noticed, round_trip * 2)
            << "silent from " << (from - start).count() << " to "
            << (to - start).count() << " ms";
    }
}

TEST(a_store_that_recovered, keeps_a_watch_that_was_sent_later)
{
    watch_state state = make_watch({});
    step(state, {start, watch_started{7}});
    EXPECT_TRUE(
        step(state, {start, store_recovered{start - round_trip}}).empty());
}

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
