#include "batch/batch.hpp"

#include <gtest/gtest.h>

#include <set>

namespace cicada::batch
{
namespace
{

constexpr milliseconds tick{20};
constexpr milliseconds leader_lease = scheduler_settings{}.leader_lease;
/** Longer than the leader lease and the longest lease of a worker. */
constexpr milliseconds all_leases{14'000};

/** A placer of a fleet whose answers, and those of the store, come only while
 * the test lets them. */
class placer_of_five : public testing::Test
{
protected:
    void SetUp() override
    {
        scheduler_settings settings;
        settings.epoch = 2;
        this->scheduler = make_scheduler(settings, this->now);
        for (int k = 1; k <= 5; ++k)
        {
            std::string const id = "w" + std::to_string(k);
            this->incarnations[id] = 1;
            this->feed(worker_recorded{id, {"127.0.0.1", std::uint16_t(k)}, k});
        }
        for (auto const& each : this->incarnations)
        {
            this->list(each.first);
        }
        this->feed(worker_list_complete{});
    }

    void list(std::string const& worker)
    {
        worker_offer offer;
        offer.id = worker;
        offer.service = "s";
        offer.where = {"127.0.0.1", std::uint16_t(worker.back() - '0')};
        offer.capacity = {1000, 65'536, 0};
        offer.incarnation = this->incarnations.at(worker);
        this->feed(worker_listed{offer});
    }

    void restart(std::string const& worker)
    {
        this->incarnations[worker] += 1;
        this->runs[worker].clear();
        this->list(worker);
    }

    void run_for(milliseconds span)
    {
        for (instant const end = this->now + span; this->now < end;)
        {
            this->now += tick;
            this->feed(time_passed{});
        }
    }

    void reach(std::set<std::string> const& workers)
    {
        this->reachable = workers;
    }

    /** Each task fills a worker. */
    void submit(std::string const& id, std::uint64_t epoch)
    {
        job made;
        made.id = id;
        made.queue.name = "q";
        made.queue.service = "s";
        made.spec = "x";
        made.epoch = epoch;
        task_step only;
        only.size = {1000, 100, 0};
        only.estimate = milliseconds{500};
        made.steps.push_back(only);
        this->feed(job_stored{made, {}, 0});
    }

    void feed(event_body body)
    {
        std::vector<event_body> events{std::move(body)};
        for (std::size_t k = 0; k < events.size(); ++k)
        {
            for (effect const& each :
                 step(*this->scheduler, {this->now, events[k]}))
            {
                this->carry_out(each, events);
            }
        }
    }

    void carry_out(effect const& each, std::vector<event_body>& replies)
    {
        if (std::holds_alternative<confirm_claim>(each))
        {
            replies.emplace_back(claim_checked{this->now, this->store_answers});
        }
        else if (save_roster const* const save =
                     std::get_if<save_roster>(&each))
        {
            for (roster_change const& change : save->changes)
            {
                this->idle.erase(change.worker);
                if (change.idle)
                {
                    this->idle.insert(change.worker);
                }
            }
            if (this->store_answers)
            {
                replies.emplace_back(
                    roster_saved{save->save, save_outcome::stored, 50, {}});
            }
        }
        else if (poll_worker const* const poll =
                     std::get_if<poll_worker>(&each))
        {
            this->leases += poll->lease_until ? 1 : 0;
            if (this->reachable.count(poll->worker) == 0)
            {
                replies.emplace_back(poll_failed{
                    poll->worker, order_outcome::unknown, poll->token});
                return;
            }
            worker_report report;
            report.incarnation = this->incarnations.at(poll->worker);
            report.clock_ms = this->now.time_since_epoch().count();
            report.active = this->runs[poll->worker];
            replies.emplace_back(
                poll_answered{poll->worker, poll->token, this->now, report});
        }
        else if (start_task const* const start = std::get_if<start_task>(&each))
        {
            this->started_on.push_back(start->worker);
            this->runs[start->worker].push_back({start->task, start->run, ""});
            replies.emplace_back(start_answered{start->worker,
                                                start->task,
                                                start->run,
                                                start->token,
                                                order_outcome::done});
        }
    }

    std::set<std::string> const all{"w1", "w2", "w3", "w4", "w5"};
    std::set<std::string> reachable; //!< none at first
    std::map<std::string, std::int64_t> incarnations;
    std::map<std::string, std::vector<active_run>> runs; //!< by worker
    bool store_answers = true;
    instant now{milliseconds{100'000}};
    scheduler_ptr scheduler;
    std::vector<std::string> started_on;
    std::set<std::string> idle; //!< workers that are stored so
    int leases = 0;             //!< polls that extended one
};

// ---- the placer that is cut off

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

// ---- its successor

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
