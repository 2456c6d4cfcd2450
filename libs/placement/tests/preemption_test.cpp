#include "placement/placement.hpp"

#include "property_testing/property_testing.hpp"

#include <gtest/gtest.h>

namespace cicada
{
namespace
{

constexpr milliseconds min_run{1'000};
constexpr std::size_t tasks_per_worker = 6;
instant const now{milliseconds{100'000}};
resources const capacity{8'000, 8'000, 1};

task_allocation make_task(std::uint32_t number, std::size_t serial)
{
    script_reader parts(number);
    task_allocation task;
    task.task = task_id{"t" + std::to_string(serial)};
    task.worker = worker_id{"w" + std::to_string(serial / tasks_per_worker)};
    task.urgency = static_cast<work_class>(parts.below(3));
    task.size = resources{std::int64_t{250} * (1 + parts.below(6)),
                          std::int64_t{250} * (1 + parts.below(6)),
                          0};
    task.started = now - milliseconds{parts.below(20'000)};
    task.last_checkpoint = task.started + milliseconds{parts.below(2) * 300};
    return task;
}

/** The least lost time over all sets of one worker's tasks; empty: none. */
std::optional<milliseconds>
least_lost_time(std::vector<task_allocation> const& tasks, demand const& wanted)
{
    std::optional<milliseconds> least;
    for (std::size_t set = 0; set < (std::size_t{1} << tasks.size()); ++set)
    {
        resources unused = capacity;
        milliseconds lost_time{0};
        bool allowed = true;
        for (std::size_t i = 0; i < tasks.size(); ++i)
        {
            task_allocation const& task = tasks[i];
            bool const stopped = (set >> i) % 2 == 1;
            unused = stopped ? unused : unused - task.size;
            lost_time +=
                stopped ? now - std::max(task.last_checkpoint, task.started)
                        : milliseconds{0};
            allowed = allowed && (!stopped || (task.urgency > wanted.urgency &&
                                               now - task.started >= min_run));
        }
        if (allowed && fits(wanted.size, unused) &&
            (!least || lost_time < *least))
        {
            least = lost_time;
        }
    }
    return least;
}

std::string compare_with_all_subsets(script const& events)
{
    ledger_ptr const state = make_ledger();
    std::map<worker_id, std::vector<task_allocation>> tasks;
    for (std::size_t i = 0; i < events.size(); ++i)
    {
        task_allocation const task = make_task(events[i], i);
        set_worker(
            *state,
            {task.worker, zone_id{"z"}, shard_id{"z/r"}, capacity, true});
        adopt_task(*state, task);
        tasks[task.worker].push_back(task);
    }
    demand wanted;
    wanted.urgency = work_class::normal;
    wanted.size = resources{5'000, 4'000, 0};
    std::optional<milliseconds> least;
    for (auto const& [worker, on_worker] : tasks)
    {
        std::optional<milliseconds> const least_on_worker =
            least_lost_time(on_worker, wanted);
        least = least_on_worker && (!least || *least_on_worker < *least)
                    ? least_on_worker
                    : least;
    }
    std::optional<preemption_plan> const plan =
        plan_preemption(*state, wanted, min_run, now);
    if (plan.has_value() != least.has_value() ||
        (plan && plan->lost_time != *least))
    {
        return "the plan doesn't have the least lost time of all sets";
    }
    milliseconds sum{0};
    for (std::size_t i = 0; plan && i < plan->victims.size(); ++i)
    {
        std::optional<task_allocation> const released =
            release_task(*state, plan->victims[i]);
        sum += now - std::max(released->last_checkpoint, released->started);
    }
    bool const placed =
        !place(*state, wanted, {task_id{"urgent"}}, now).empty();
    return placed == plan.has_value() && (!plan || sum == plan->lost_time)
               ? ""
               : "the victims don't free enough, or lose another time";
}

TEST(preemption, chooses_the_set_with_the_least_lost_time)
{
    EXPECT_EQ(find_counterexample(compare_with_all_subsets, 200, 30), "");
}

} // namespace
} // namespace cicada
