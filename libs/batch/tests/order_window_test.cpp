#include "fleet_of_workers.hpp"
#include "one_worker.hpp"

#include <deque>

namespace cicada::batch
{
namespace
{

/** Four connections carry the orders to a worker, so 64 orders keep each of
 * them busy for a while. */
constexpr std::size_t unanswered_bound = 64;
constexpr std::size_t answers_per_round = 16;
constexpr int rounds_between_polls = 25;

/** A worker with room for every task, whose answers to orders the test gives
 * one by one. */
class one_slow_worker : public one_worker
{
protected:
    void deliver(event_body body)
    {
        this->now += milliseconds{20};
        if (this->claim_check_sent)
        {
            claim_checked const confirmed{*this->claim_check_sent, true};
            this->claim_check_sent.reset();
            this->collect(confirmed);
        }
        this->collect(std::move(body));
    }

    void collect(event_body body)
    {
        for (effect const& each :
             step(*this->scheduler, {this->now, std::move(body)}))
        {
            if (auto const* const start = std::get_if<start_task>(&each))
            {
                this->unanswered.emplace_back(
                    start_answered{start->worker,
                                   start->task,
                                   start->run,
                                   start->token,
                                   order_outcome::done});
                this->started += 1;
            }
            else if (auto const* const stop = std::get_if<stop_task>(&each))
            {
                this->unanswered.emplace_back(
                    stop_answered{stop->worker,
                                  stop->task,
                                  stop->run,
                                  stop->token,
                                  order_outcome::done});
                this->stopped += 1;
            }
            else if (std::holds_alternative<confirm_claim>(each))
            {
                this->claim_check_sent = this->now;
            }
        }
        this->most_unanswered =
            std::max(this->most_unanswered, this->unanswered.size());
    }

    /** Answers orders in the sequence in which they were sent. */
    void answer_orders(std::size_t count)
    {
        for (std::size_t k = 0; k < count && !this->unanswered.empty(); ++k)
        {
            event_body const reply = this->unanswered.front();
            this->unanswered.pop_front();
            if (auto const* const start = std::get_if<start_answered>(&reply))
            {
                this->active[start->task] = start->run;
            }
            else if (auto const* const stop =
                         std::get_if<stop_answered>(&reply))
            {
                this->active.erase(stop->task);
            }
            this->collect(reply);
        }
    }

    /** Each round takes 20 ms; the worker is polled every half second. */
    void run_rounds(int count)
    {
        for (int k = 0; k < count; ++k)
        {
            this->answer_orders(answers_per_round);
            this->deliver(time_passed{});
            if (k % rounds_between_polls == 0)
            {
                this->answer_poll();
            }
        }
    }

    void answer_poll()
    {
        worker_report report;
        for (auto const& each : this->active)
        {
            report.active.push_back({each.first, each.second, ""});
        }
        this->deliver(poll_answered{"w1", this->token, this->now, report});
    }

    std::deque<event_body> unanswered;
    std::map<task_ref, std::uint64_t> active;
    std::size_t most_unanswered = 0;
    int started = 0;
    int stopped = 0;
};

struct wide_job_case
{
    char const* name;
    int steps;
    int tasks; //!< of each step
    bool gang;
    int started; //!< at least, after 150 rounds
};

class wide_job : public one_slow_worker,
                 public testing::WithParamInterface<wide_job_case>
{
protected:
    static job make_wide_job()
    {
        job made = make_job("wide");
        made.spec = std::string(4000, 's');
        made.steps.front().count = GetParam().tasks;
        made.steps.front().size = {1, 1, 0};
        made.steps.front().gang = GetParam().gang;
        made.steps.resize(static_cast<std::size_t>(GetParam().steps),
                          made.steps.front());
        return made;
    }
};

/** Guards against a daemon that outgrows its memory, because every task of a
 * job that fits is ordered at once, each order with a copy of the spec. */
TEST_P(wide_job, has_few_unanswered_orders)
{
    this->deliver(job_stored{make_wide_job(), {}, 0});
    this->run_rounds(150);
    EXPECT_LE(this->most_unanswered, unanswered_bound);
    EXPECT_GE(this->started, GetParam().started);
    scheduler_gauges const gauges = gauges_of(*this->scheduler);
    EXPECT_EQ(static_cast<std::size_t>(gauges.orders_unanswered),
              this->unanswered.size());
    EXPECT_EQ(gauges.jobs_open, 1);
    EXPECT_EQ(gauges.task_records, usage_of(*this->scheduler, "w1")->runs);
}

/** Guards against stops without a bound when such a job is cancelled. */
TEST_P(wide_job, has_few_unanswered_stops_when_it_is_cancelled)
{
    this->deliver(job_stored{make_wide_job(), {}, 0});
    this->run_rounds(50);
    this->deliver(cancel_stored{"wide"});
    int const started_before = this->started;
    this->run_rounds(150);
    EXPECT_LE(this->most_unanswered, unanswered_bound);
    EXPECT_EQ(this->started, started_before);
    this->answer_poll();
    EXPECT_GE(this->stopped, this->started);
    EXPECT_EQ(usage_of(*this->scheduler, "w1")->runs, 0);
}

INSTANTIATE_TEST_SUITE_P(
    shapes,
    wide_job,
    testing::Values(wide_job_case{"many_tasks", 8, 5000, false, 1500},
                    wide_job_case{"wide_gang", 1, 1500, true, 1500}),
    [](testing::TestParamInfo<wide_job_case> const& info)
    {
        return info.param.name;
    });

/** Guards against ordinary jobs that wait until all orders of a wide job have
 * been answered. */
TEST_F(one_slow_worker, starts_an_ordinary_job_beside_a_wide_one)
{
    job wide = make_job("wide");
    wide.steps.front().count = 5000;
    wide.steps.front().size = {1, 1, 0};
    this->deliver(job_stored{wide, {}, 0});
    this->run_rounds(5);
    int const answered_first = static_cast<int>(this->unanswered.size());
    job const ordinary = make_job("ordinary");
    this->deliver(job_stored{ordinary, {}, 0});
    bool ordered = false;
    for (event_body const& each : this->unanswered)
    {
        auto const* const start = std::get_if<start_answered>(&each);
        ordered =
            ordered || (start != nullptr && start->task.job == "ordinary");
    }
    EXPECT_TRUE(ordered) << answered_first << " orders are unanswered";
}

using small_fleet = fleet_of_workers;

/** Guards against a wide job that never ends, or that keeps ordinary ones from
 * ending, once its orders are bounded. */
TEST_F(small_fleet, completes_a_wide_job_and_an_ordinary_one)
{
    this->start_placer(1);
    for (char const* id : {"w1", "w2", "w3"})
    {
        this->add_worker(id);
    }
    this->feed(worker_list_complete{});
    this->run_for(milliseconds{400});
    job wide = make_job("wide", 2000, 1);
    wide.steps.front().size.memory_mib = 1;
    wide.steps.resize(2, wide.steps.front());
    this->feed(job_stored{wide, {}, 0});
    this->run_for(milliseconds{100});
    this->feed(job_stored{make_job("ordinary", 4, 1000), {}, 0});
    this->run_for(milliseconds{15'000});
    EXPECT_EQ(state_of(*this->scheduler, "ordinary"), job_state::completed);
    EXPECT_EQ(state_of(*this->scheduler, "wide"), job_state::completed);
    EXPECT_EQ(this->starts["wide"].size(), 4000u);
}

struct fleet_case
{
    char const* name;
    int tasks; //!< of each job
    int milli_cores;
    bool gang;
    int jobs;
    std::size_t least; //!< unanswered orders
    std::size_t most;
};

class a_whole_fleet : public fleet_of_workers,
                      public testing::WithParamInterface<fleet_case>
{
};

/** Guards against wide steps whose answers keep the placer busy for longer than
 * an order's timeout, at some 1,800 runs a second on the smallest instance.
 */
TEST_P(a_whole_fleet, has_as_many_unanswered_orders_as_the_step_is_wide)
{
    constexpr int workers = 48;
    for (int k = 0; k < workers; ++k)
    {
        this->add_worker("w" + std::to_string(100 + k));
    }
    this->feed(worker_list_complete{});
    this->run_for(milliseconds{400});
    this->holds_starts = true;
    for (int k = 0; k < GetParam().jobs; ++k)
    {
        job made = make_job("job" + std::to_string(k),
                            GetParam().tasks,
                            GetParam().milli_cores);
        made.steps.front().size.memory_mib = 1;
        made.steps.front().gang = GetParam().gang;
        this->feed(job_stored{made, {}, 0});
    }
    this->run_for(milliseconds{200});
    EXPECT_GE(this->held_answers.size(), GetParam().least);
    EXPECT_LE(this->held_answers.size(), GetParam().most);
}

INSTANTIATE_TEST_SUITE_P(
    widths,
    a_whole_fleet,
    testing::Values(fleet_case{"wide_step", 5000, 1, false, 1, 100, 256},
                    fleet_case{"wide_gang", 1500, 1000, true, 1, 100, 256},
                    fleet_case{"narrow_steps", 60, 1, false, 8, 480, 480}),
    [](testing::TestParamInfo<fleet_case> const& info)
    {
        return info.param.name;
    });

} // namespace
} // namespace cicada::batch
