#include "batch/batch.hpp"

#include <gtest/gtest.h>

#include <deque>
#include <map>
#include <set>

namespace cicada::batch
{
namespace
{

constexpr milliseconds tick{10};

/** Workers that have answered their polls and are recorded, and the starts that
 * the scheduler orders; no start is answered. */
class idle_fleet
{
public:
    explicit idle_fleet(int workers)
    {
        for (int k = 0; k < workers; ++k)
        {
            worker_offer offer;
            offer.id = "w" + std::to_string(1000 + k);
            offer.service = "s";
            offer.where = {"127.0.0.1", 1};
            offer.capacity = {32'000, 65'536, 0};
            this->feed(worker_listed{offer});
        }
        this->feed(worker_list_complete{});
        constexpr int enough_ticks = 100;
        for (int k = 0; k < enough_ticks; ++k)
        {
            this->pass_time();
        }
        this->answers_polls = false;
    }

    void pass_time()
    {
        this->now += tick;
        this->feed(time_passed{});
    }

    void submit(std::string const& id)
    {
        job made;
        made.id = id;
        made.queue.name = "q";
        made.queue.service = "s";
        made.spec = "x";
        task_step only;
        only.size = {1000, 100, 0};
        only.estimate = milliseconds{60'000};
        made.steps.push_back(only);
        this->submitted[id] = this->now;
        this->feed(job_stored{made, {}, 0});
    }

    std::set<instant> starting_times; //!< at which tasks were placed
    milliseconds longest_wait{0};     //!< from submission to the start order
    std::size_t starts = 0;
    instant now{milliseconds{10'000}};

private:
    void feed(event_body body)
    {
        std::deque<event_body> events{std::move(body)};
        while (!events.empty())
        {
            event_body const next = std::move(events.front());
            events.pop_front();
            for (effect const& each : step(*this->scheduler, {this->now, next}))
            {
                this->carry_out(each, events);
            }
        }
    }

    void carry_out(effect const& each, std::deque<event_body>& replies)
    {
        if (poll_worker const* const poll = std::get_if<poll_worker>(&each))
        {
            if (this->answers_polls)
            {
                replies.emplace_back(
                    poll_answered{poll->worker, poll->token, this->now, {}});
            }
        }
        else if (std::holds_alternative<confirm_claim>(each))
        {
            replies.emplace_back(claim_checked{this->now, true});
        }
        else if (save_roster const* const save =
                     std::get_if<save_roster>(&each))
        {
            replies.emplace_back(
                roster_saved{save->save, save_outcome::stored, 5, {}});
        }
        else if (start_task const* const start = std::get_if<start_task>(&each))
        {
            this->starts += 1;
            this->starting_times.insert(this->now);
            this->longest_wait =
                std::max(this->longest_wait,
                         std::chrono::duration_cast<milliseconds>(
                             this->now - this->submitted[start->task.job]));
        }
    }

    scheduler_ptr scheduler = make_scheduler({}, this->now);
    bool answers_polls = true;
    std::map<std::string, instant> submitted;
};

struct fleet_case
{
    char const* name;
    int workers;
    std::size_t most_passes;   //!< in a second
    milliseconds longest_wait; //!< of a job that fits
};

class placement_passes : public testing::TestWithParam<fleet_case>
{
};

TEST_P(placement_passes, visit_a_bounded_number_of_workers_a_second)
{
    fleet_case const& c = GetParam();
    idle_fleet fleet(c.workers);
    constexpr int ticks = 100;
    for (int k = 0; k < ticks; ++k)
    {
        fleet.submit("j" + std::to_string(k));
        fleet.pass_time();
    }
    constexpr int last_ticks = 10;
    for (int k = 0; k < last_ticks; ++k)
    {
        fleet.pass_time();
    }
    EXPECT_EQ(fleet.starts, static_cast<std::size_t>(ticks));
    EXPECT_LE(fleet.starting_times.size(), c.most_passes);
    EXPECT_LE(fleet.longest_wait, c.longest_wait);
}

INSTANTIATE_TEST_SUITE_P(
    fleets,
    placement_passes,
    testing::Values(fleet_case{"small", 48, 102, milliseconds{10}},
                    fleet_case{"grown", 350, 60, milliseconds{20}},
                    fleet_case{"large", 540, 40, milliseconds{30}}),
    [](testing::TestParamInfo<fleet_case> const& info)
    {
        return std::string(info.param.name);
    });

} // namespace
} // namespace cicada::batch
