#include "placer_of_five.hpp"

namespace cicada::batch
{
namespace
{

struct succession_case
{
    char const* name;
    std::set<std::string> reachable;
    std::set<std::string> unlisted;
    milliseconds after; //!< the start
    bool places;        //!< jobs that the former placer may have started
};

class successor_of_a_placer
    : public placer_of_five,
      public testing::WithParamInterface<succession_case>
{
};

// Guards against a successor that starts tasks while the former placer still
// extends the leases of their runs.
TEST_P(successor_of_a_placer, waits_for_the_end_of_the_former_leases)
{
    this->reach(GetParam().reachable);
    for (std::string const& each : GetParam().unlisted)
    {
        this->feed(worker_unlisted{each});
    }
    this->submit("former", 1);
    this->run_for(GetParam().after);
    EXPECT_EQ(!this->started_on.empty(), GetParam().places);
    this->reach(this->all);
    this->run_for(milliseconds{1500});
    EXPECT_EQ(this->started_on.size(), 1u);
}

INSTANTIATE_TEST_SUITE_P(
    cases,
    successor_of_a_placer,
    testing::Values(
        succession_case{"not_if_all_answer",
                        {"w1", "w2", "w3", "w4", "w5"},
                        {},
                        milliseconds{500},
                        true},
        succession_case{"until_the_leases_and_the_leader_lease_are_over",
                        {"w1", "w2", "w3"},
                        {},
                        milliseconds{13'400},
                        false},
        succession_case{
            "no_longer", {"w1", "w2", "w3"}, {}, milliseconds{14'900}, true},
        succession_case{"until_the_leases_are_over_though_most_are_silent",
                        {"w1", "w2"},
                        {},
                        milliseconds{13'400},
                        false},
        succession_case{"no_longer_though_most_are_silent",
                        {"w1", "w2"},
                        {},
                        milliseconds{14'900},
                        true},
        succession_case{"while_more_than_three_quarters_are_silent",
                        {"w1"},
                        {},
                        milliseconds{40'000},
                        false},
        succession_case{"until_those_that_left_the_list_count_as_gone",
                        {"w1"},
                        {"w3", "w4"},
                        milliseconds{17'300},
                        true}),
    [](testing::TestParamInfo<succession_case> const& info)
    {
        return std::string(info.param.name);
    });

struct idle_case
{
    char const* name;
    milliseconds stored_before; //!< the start
    milliseconds after;         //!< the start
    bool places; //!< jobs that the former placer may have started
};

class successor_beside_an_idle_worker
    : public placer_of_five,
      public testing::WithParamInterface<idle_case>
{
};

// Guards against takeovers that each begin the wait for a silent worker anew.
TEST_P(successor_beside_an_idle_worker, counts_its_leases_from_the_record)
{
    this->feed(worker_recorded{
        "w5", {"127.0.0.1", 5}, 5, this->now - GetParam().stored_before});
    this->reach({"w1", "w2", "w3", "w4"});
    this->submit("former", 1);
    this->run_for(GetParam().after);
    EXPECT_EQ(!this->started_on.empty(), GetParam().places);
    this->run_for(all_leases);
    EXPECT_EQ(this->started_on.size(), 1u);
}

INSTANTIATE_TEST_SUITE_P(
    cases,
    successor_beside_an_idle_worker,
    testing::Values(
        idle_case{"long_ago", milliseconds{14'000}, milliseconds{500}, true},
        idle_case{"before", milliseconds{5000}, milliseconds{8400}, false},
        idle_case{
            "before_and_over", milliseconds{5000}, milliseconds{9100}, true},
        idle_case{"now", milliseconds{0}, milliseconds{13'400}, false}),
    [](testing::TestParamInfo<idle_case> const& info)
    {
        return std::string(info.param.name);
    });

// Guards against an order to a worker whose record still tells successors that
// it gets none.
TEST_F(placer_of_five,
       orders_nothing_of_an_idle_worker_before_its_record_changes)
{
    this->feed(worker_recorded{"w5", {"127.0.0.1", 5}, 5, this->now});
    this->reach({"w1"});
    this->run_for(milliseconds{300});
    this->submit("a", 2);
    this->run_for(milliseconds{300});
    ASSERT_EQ(this->started_on, std::vector<std::string>{"w1"});
    this->store_answers = false;
    this->reach({"w5"});
    this->run_for(milliseconds{100});
    this->leases = 0;
    this->submit("b", 2);
    this->run_for(milliseconds{1000});
    EXPECT_EQ(this->started_on.size(), 1u);
    EXPECT_EQ(this->leases, 0);
}

TEST_F(placer_of_five, stores_a_silent_worker_as_idle_until_it_answers)
{
    this->reach({"w1", "w2", "w3", "w4"});
    this->run_for(milliseconds{1000});
    EXPECT_EQ(this->idle, std::set<std::string>{"w5"});
    this->reach(this->all);
    this->run_for(milliseconds{1000});
    EXPECT_TRUE(this->idle.empty());
    this->reach({"w2", "w3", "w4", "w5"});
    this->run_for(milliseconds{6000});
    EXPECT_TRUE(this->idle.empty()); // its lease may last
    this->run_for(milliseconds{9000});
    EXPECT_EQ(this->idle, std::set<std::string>{"w1"});
}

TEST_F(placer_of_five, records_no_worker_before_enough_of_the_roster_answer)
{
    this->reach({"w1", "w6"});
    this->incarnations["w6"] = 1;
    this->list("w6");
    this->run_for(milliseconds{1000});
    this->submit("a", 2);
    this->submit("b", 2);
    this->submit("c", 2);
    this->run_for(milliseconds{500});
    EXPECT_EQ(this->started_on.size(), 1u);
    this->reach({"w1", "w2", "w6"});
    this->run_for(milliseconds{500});
    EXPECT_EQ(this->started_on.size(), 3u);
}

} // namespace
} // namespace cicada::batch
