#include "placement/placement.hpp"

#include <gtest/gtest.h>

namespace cicada
{
namespace
{

instant const now{milliseconds{1'000}};
constexpr std::size_t tasks_per_case = 2;

worker_offer
offer(char const* name, char const* zone, resources const& capacity)
{
    return worker_offer{worker_id{name},
                        zone_id{zone},
                        shard_id{std::string(zone) + "/1"},
                        capacity,
                        true};
}

demand make_demand(resources const& size, placement_policy policy)
{
    demand wanted;
    wanted.workload = workload_id{"x"};
    wanted.size = size;
    wanted.policy = policy;
    wanted.preferred_zone = zone_id{"a"};
    return wanted;
}

struct placement_case
{
    char const* name;
    std::vector<worker_offer> workers;
    demand wanted;
    std::vector<std::string> expected; //!< the worker of each placed task
};

class placement : public testing::TestWithParam<placement_case>
{
};

TEST_P(placement, places_by_policy)
{
    placement_case const& test_case = this->GetParam();
    ledger_ptr const state = make_ledger();
    for (worker_offer const& worker : test_case.workers)
    {
        set_worker(*state, worker);
    }
    std::vector<task_id> tasks;
    for (std::size_t i = 0; i < tasks_per_case; ++i)
    {
        tasks.push_back(task_id{"t" + std::to_string(i)});
    }
    std::vector<std::string> chosen_workers;
    for (task_allocation const& allocation :
         place(*state, test_case.wanted, tasks, now))
    {
        chosen_workers.push_back(allocation.worker.value);
    }
    EXPECT_EQ(chosen_workers, test_case.expected);
    EXPECT_EQ(check_invariants(*state), "");
}

resources const small{1'000, 1'000, 0};
resources const half{4'000, 4'000, 0};
resources const whole{8'000, 8'000, 0};
resources const accelerated{8'000, 8'000, 2};

INSTANTIATE_TEST_SUITE_P(
    table,
    placement,
    testing::Values(
        placement_case{"pack_chooses_the_fullest_that_fits",
                       {offer("big", "a", whole), offer("less", "a", half)},
                       make_demand(small, placement_policy::pack),
                       {"less", "less"}},
        placement_case{"preferred_zone_first",
                       {offer("less", "b", half), offer("own", "a", whole)},
                       make_demand(small, placement_policy::pack),
                       {"own", "own"}},
        placement_case{
            "accelerators_last",
            {offer("gpu", "a", accelerated), offer("far", "b", half)},
            make_demand(half, placement_policy::pack),
            {"far", "gpu"}},
        placement_case{
            "accelerators_when_needed",
            {offer("gpu", "b", accelerated), offer("own", "a", whole)},
            make_demand({1'000, 1'000, 1}, placement_policy::pack),
            {"gpu", "gpu"}},
        placement_case{"spread_over_zones",
                       {offer("own", "a", whole), offer("far", "b", whole)},
                       make_demand(small, placement_policy::spread),
                       {"own", "far"}},
        placement_case{"close_in_one_zone",
                       {offer("own", "a", half), offer("far", "b", whole)},
                       make_demand(half, placement_policy::close),
                       {"far", "far"}},
        placement_case{"close_all_or_none",
                       {offer("own", "a", half), offer("far", "b", half)},
                       make_demand(half, placement_policy::close),
                       {}},
        placement_case{"single_tasks_as_many_as_fit",
                       {offer("own", "a", half)},
                       make_demand(half, placement_policy::pack),
                       {"own"}}),
    [](testing::TestParamInfo<placement_case> const& info)
    {
        return std::string(info.param.name);
    });

TEST(ledger, places_nothing_on_a_shrunk_or_leaving_worker)
{
    ledger_ptr const state = make_ledger();
    demand const wanted = make_demand(half, placement_policy::pack);
    set_worker(*state, offer("w", "a", whole));
    ASSERT_EQ(place(*state, wanted, {task_id{"1"}}, now).size(), 1U);
    set_worker(*state, offer("w", "a", small));
    EXPECT_TRUE(place(*state, wanted, {task_id{"2"}}, now).empty());
    worker_offer leaving = offer("w", "a", whole);
    leaving.in_rotation = false;
    set_worker(*state, leaving);
    EXPECT_TRUE(place(*state, wanted, {task_id{"3"}}, now).empty());
    EXPECT_EQ(check_invariants(*state), "");
}

struct shortfall_case
{
    char const* name;
    resources size;
    placement_policy policy;
    int count;
    std::optional<shortfall> expected;
};

class find_shortfall_in : public testing::TestWithParam<shortfall_case>
{
};

TEST_P(find_shortfall_in, an_empty_cell)
{
    shortfall_case const& test_case = this->GetParam();
    std::vector<instance> cell(3);
    for (std::size_t i = 0; i < cell.size(); ++i)
    {
        cell[i].zone = zone_id{i == 0 ? "a" : "b"};
        cell[i].capacity = i == 0 ? accelerated : whole;
    }
    demand wanted = make_demand(test_case.size, test_case.policy);
    EXPECT_EQ(find_shortfall(cell, wanted, test_case.count),
              test_case.expected);
}

INSTANTIATE_TEST_SUITE_P(
    table,
    find_shortfall_in,
    testing::Values(
        shortfall_case{"fits", whole, placement_policy::pack, 9, std::nullopt},
        shortfall_case{"accelerators",
                       {1, 1, 4},
                       placement_policy::pack,
                       1,
                       shortfall{{0, 0, 2}, 0}},
        shortfall_case{"cores_and_memory",
                       {9'000, 9'000, 0},
                       placement_policy::pack,
                       1,
                       shortfall{{1'000, 1'000, 0}, 0}},
        shortfall_case{"close_gang_fits_a_zone",
                       whole,
                       placement_policy::close,
                       2,
                       std::nullopt},
        shortfall_case{"close_gang_fits_no_zone",
                       whole,
                       placement_policy::close,
                       3,
                       shortfall{{}, 2}}),
    [](testing::TestParamInfo<shortfall_case> const& info)
    {
        return std::string(info.param.name);
    });

} // namespace
} // namespace cicada
