#include "placer_of_five.hpp"

namespace cicada::batch
{
namespace
{

struct cut_off_case
{
    char const* name;
    bool store_answers;
    std::set<std::string> reachable;
    bool places;
};

class cut_off_placer : public placer_of_five,
                       public testing::WithParamInterface<cut_off_case>
{
};

// Guards against a placer that goes on beside its successor on the workers that
// only it reaches.
TEST_P(cut_off_placer, leads_by_the_store_or_by_three_quarters_of_the_workers)
{
    this->reach(this->all);
    this->run_for(milliseconds{500});
    this->store_answers = GetParam().store_answers;
    this->reach(GetParam().reachable);
    this->run_for(leader_lease + milliseconds{100});
    this->leases = 0;
    this->submit("a", 2);
    this->run_for(milliseconds{1500});
    EXPECT_EQ(!this->started_on.empty(), GetParam().places);
    EXPECT_EQ(this->leases > 0, GetParam().places);
    this->store_answers = true;
    this->reach(this->all);
    this->run_for(milliseconds{1500});
    EXPECT_EQ(this->started_on.size(), 1u);
}

INSTANTIATE_TEST_SUITE_P(
    cases,
    cut_off_placer,
    testing::Values(
        cut_off_case{"store_and_two_workers", true, {"w1", "w2"}, true},
        cut_off_case{"no_store_and_two_workers", false, {"w1", "w2"}, false},
        cut_off_case{
            "no_store_and_three_workers", false, {"w1", "w2", "w3"}, false},
        cut_off_case{
            "no_store_and_four_workers", false, {"w1", "w2", "w3", "w4"}, true},
        cut_off_case{"no_store_and_all_workers",
                     false,
                     {"w1", "w2", "w3", "w4", "w5"},
                     true}),
    [](testing::TestParamInfo<cut_off_case> const& info)
    {
        return std::string(info.param.name);
    });

// Guards against starts on a worker that restarted after a successor's claim:
// it knows no token.
TEST_F(placer_of_five, uses_a_restarted_worker_once_its_claim_is_confirmed)
{
    this->reach(this->all);
    this->run_for(milliseconds{500});
    this->store_answers = false;
    this->restart("w1");
    this->reach({"w1"});
    this->run_for(milliseconds{1500});
    this->submit("a", 2);
    this->run_for(milliseconds{500});
    EXPECT_TRUE(this->started_on.empty());
    this->store_answers = true;
    this->run_for(milliseconds{1500});
    EXPECT_EQ(this->started_on, std::vector<std::string>{"w1"});
}

TEST_F(placer_of_five,
       counts_no_worker_that_restarted_since_its_claim_was_confirmed)
{
    this->reach(this->all);
    this->run_for(milliseconds{500});
    this->store_answers = false;
    for (char const* worker : {"w1", "w2"})
    {
        this->restart(worker);
    }
    this->run_for(leader_lease + milliseconds{100});
    this->submit("a", 2);
    this->run_for(milliseconds{500});
    EXPECT_TRUE(this->started_on.empty());
}

// Guards against a task that is started again while a successor, which claimed
// before the lease's end, extends it.
TEST_F(placer_of_five, gives_a_silent_worker_up_only_by_a_claim_confirmed_since)
{
    this->reach(this->all);
    this->run_for(milliseconds{500});
    this->submit("a", 2);
    this->run_for(milliseconds{500});
    ASSERT_EQ(this->started_on.size(), 1u);
    this->store_answers = false;
    std::set<std::string> others = this->all;
    others.erase(this->started_on.front());
    this->reach(others);
    this->run_for(all_leases);
    EXPECT_EQ(this->started_on.size(), 1u);
    this->store_answers = true;
    this->run_for(milliseconds{1000});
    EXPECT_EQ(this->started_on.size(), 2u);
}

struct restart_case
{
    char const* name;
    std::size_t
        answering;        //!< other workers that answer while the store doesn't
    milliseconds silence; //!< of the worker that then restarts
};

class restarted_worker : public placer_of_five,
                         public testing::WithParamInterface<restart_case>
{
};

// Guards against a task that is started again after a successor has
// acknowledged its end: the worker restarts and only the former placer reaches
// it.
TEST_P(restarted_worker, loses_its_runs_only_by_a_claim_confirmed_since)
{
    this->reach(this->all);
    this->run_for(milliseconds{500});
    this->submit("a", 2);
    this->run_for(milliseconds{500});
    ASSERT_EQ(this->started_on.size(), 1u);
    std::string const worker = this->started_on.front();
    std::set<std::string> others = this->all;
    others.erase(worker);
    while (others.size() > GetParam().answering)
    {
        others.erase(others.begin());
    }
    this->store_answers = false;
    this->reach(others);
    this->run_for(GetParam().silence);
    this->incarnations[worker] += 1;
    this->runs[worker].clear();
    others.insert(worker);
    this->reach(others);
    this->run_for(milliseconds{800});
    EXPECT_EQ(this->started_on.size(), 1u);
    this->store_answers = true;
    this->run_for(milliseconds{1500});
    EXPECT_EQ(this->started_on.size(), 2u);
}

INSTANTIATE_TEST_SUITE_P(
    cases,
    restarted_worker,
    testing::Values(
        restart_case{"while_most_workers_answer", 4, milliseconds{5000}},
        restart_case{"within_the_leader_lease", 1, milliseconds{1000}}),
    [](testing::TestParamInfo<restart_case> const& info)
    {
        return std::string(info.param.name);
    });

// Guards against a placer that gives a former job's silent worker up after its
// own successor has read and acknowledged the ends there.
TEST_F(placer_of_five,
       settles_without_all_answers_only_by_a_claim_confirmed_since)
{
    this->reach({"w1", "w2", "w3"});
    this->submit("former", 1);
    this->run_for(milliseconds{500});
    this->store_answers = false;
    this->run_for(all_leases * 2);
    EXPECT_TRUE(this->started_on.empty());
    this->store_answers = true;
    this->run_for(milliseconds{1500});
    EXPECT_EQ(this->started_on.size(), 1u);
}

// Guards against a placer that starts a former job's tasks since the last
// worker has answered, although that one has restarted after its own successor
// has read and acknowledged its ends.
TEST_F(placer_of_five, settles_by_answers_only_by_a_claim_confirmed_since)
{
    this->reach({"w1", "w2", "w3", "w4"});
    this->submit("former", 1);
    this->run_for(milliseconds{500});
    this->store_answers = false;
    this->restart("w5");
    this->reach(this->all);
    this->run_for(milliseconds{1000});
    EXPECT_TRUE(this->started_on.empty());
    this->store_answers = true;
    this->run_for(milliseconds{1500});
    EXPECT_EQ(this->started_on.size(), 1u);
}

} // namespace
} // namespace cicada::batch
