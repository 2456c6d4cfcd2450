#include "fleet_of_workers.hpp"

namespace cicada::batch
{
namespace
{

/** What happens while the first step of a job of three runs on the service "s"
 * of its queue. */
struct move_case
{
    char const* name;
    std::vector<std::string> services; //!< of the queue, by version from 2 on
    /** The first placer dies before the first version; its successor gets the
     * newest configuration. */
    bool takeover;
    bool gang;
    std::string expected; //!< service whose workers run the last step
};

class moved_queue : public fleet_of_workers,
                    public testing::WithParamInterface<move_case>
{
protected:
    void SetUp() override
    {
        this->run_span = milliseconds{1000};
        this->start_placer(1);
        this->add_workers();
    }

    void add_workers()
    {
        for (char const* service : {"s", "t"})
        {
            for (int k = 1; k <= 3; ++k)
            {
                this->add_worker_of(service, k);
            }
        }
        this->feed(worker_list_complete{});
        this->run_for(milliseconds{400});
    }

    void add_worker_of(std::string const& service, int number)
    {
        worker_offer offer =
            this->make_worker(service + std::to_string(number));
        offer.service = service;
        this->workers.at(offer.id).offer = offer;
        this->feed(worker_listed{offer});
    }

    void remove_workers_of(std::string const& service)
    {
        for (int k = 1; k <= 3; ++k)
        {
            this->feed(worker_unlisted{service + std::to_string(k)});
        }
    }

    static queue_rule make_queue(std::string const& service)
    {
        queue_rule queue = make_job("", 1, 1).queue;
        queue.service = service;
        return queue;
    }

    /** Each step follows the one before. */
    static job make_chain(bool gang)
    {
        job made = make_job("chain", 2, 4000);
        made.config_version = 1;
        made.steps.front().gang = gang;
        made.steps.resize(3, made.steps.front());
        made.steps[1].after = {0};
        made.steps[2].after = {1};
        return made;
    }

    std::string service_of_last_start(std::string const& job)
    {
        return this->starts[job].empty()
                   ? ""
                   : this->starts[job].back().worker.substr(0, 1);
    }
};

/** Guards against accepted jobs that stay with the former service of their
 * queue, also when its workers have left. */
TEST_P(moved_queue, takes_its_accepted_jobs_along)
{
    this->feed(queues_changed{1, {make_queue("s")}});
    job const chain = make_chain(GetParam().gang);
    this->feed(job_stored{chain, {}, 0});
    this->run_for(milliseconds{100});
    ASSERT_EQ(this->service_of_last_start("chain"), "s");
    if (GetParam().takeover)
    {
        this->start_placer(2);
        for (auto const& worker : this->workers)
        {
            this->record_worker(worker.first);
        }
        this->feed(job_stored{chain, {}, 0});
        this->add_workers();
    }
    std::int64_t version = 1;
    for (std::string const& service : GetParam().services)
    {
        this->feed(queues_changed{++version, {make_queue(service)}});
        this->run_for(milliseconds{100});
    }
    this->run_for(milliseconds{1000});
    this->remove_workers_of(GetParam().expected == "s" ? "t" : "s");
    this->run_for(milliseconds{20'000});
    EXPECT_EQ(state_of(*this->scheduler, "chain"), job_state::completed);
    EXPECT_EQ(this->service_of_last_start("chain"), GetParam().expected);
}

INSTANTIATE_TEST_SUITE_P(
    changes,
    moved_queue,
    testing::Values(move_case{"once", {"t"}, false, false, "t"},
                    move_case{"and_back", {"t", "s"}, false, false, "s"},
                    move_case{"before_a_successor", {"t"}, true, false, "t"},
                    move_case{"with_gangs", {"t"}, false, true, "t"}),
    [](testing::TestParamInfo<move_case> const& info)
    {
        return std::string(info.param.name);
    });

class queue_of_a_job : public moved_queue
{
};

/** Guards against starts by an older configuration than the one by which the
 * job was accepted, while the placer hasn't read that one. */
TEST_F(queue_of_a_job, is_the_accepted_one_if_that_is_newer)
{
    this->feed(queues_changed{1, {make_queue("s")}});
    job newer = make_chain(false);
    newer.queue.service = "t";
    newer.config_version = 2;
    this->feed(job_stored{newer, {}, 0});
    this->run_for(milliseconds{100});
    EXPECT_EQ(this->service_of_last_start("chain"), "t");
    this->feed(queues_changed{2, {make_queue("t")}});
    this->run_for(milliseconds{6000});
    EXPECT_EQ(state_of(*this->scheduler, "chain"), job_state::completed);
}

/** Guards against jobs that never end because their queue was removed. */
TEST_F(queue_of_a_job, stays_as_it_was_when_it_is_removed)
{
    this->feed(queues_changed{1, {make_queue("s")}});
    this->feed(job_stored{make_chain(false), {}, 0});
    this->feed(queues_changed{2, {make_queue("t")}});
    this->feed(queues_changed{3, {}});
    this->run_for(milliseconds{6000});
    EXPECT_EQ(state_of(*this->scheduler, "chain"), job_state::completed);
    EXPECT_EQ(this->service_of_last_start("chain"), "t");
}

/** Guards against starts without the ticket that the queue now requires. */
TEST_F(queue_of_a_job, may_begin_to_need_advice)
{
    this->feed(queues_changed{1, {make_queue("s")}});
    this->feed(advice_requesters_changed{{"d1"}});
    this->feed(job_stored{make_chain(false), {}, 0});
    this->run_for(milliseconds{100});
    ASSERT_EQ(this->starts["chain"].size(), 2u);
    queue_rule advised = make_queue("s");
    advised.advice = advice_terms{10.0, 0.1, milliseconds{1500}};
    this->feed(queues_changed{2, {advised}});
    this->run_for(milliseconds{1500});
    EXPECT_EQ(this->starts["chain"].size(), 2u);
}

} // namespace
} // namespace cicada::batch
