#include "cell_model.hpp"

#include <gtest/gtest.h>

namespace cicada::batch::model
{
namespace
{

constexpr int seeds = 12; //!< histories of each kind of trouble

struct trouble_case
{
    char const* name;
    faults trouble;
};

class cell_histories : public testing::TestWithParam<trouble_case>
{
};

TEST_P(cell_histories, keep_every_promise)
{
    int done = 0;
    for (int seed = 1; seed <= seeds; ++seed)
    {
        model_settings settings;
        settings.seed = static_cast<std::uint32_t>(seed);
        settings.trouble = GetParam().trouble;
        cell_model cell(settings);
        cell.run();
        done += cell.jobs_done;
        EXPECT_TRUE(cell.judge.violations().empty())
            << "seed " << seed << ": " << cell.judge.violations().size()
            << " breaches, first: " << cell.judge.violations().front();
    }
    EXPECT_GT(done, seeds * 100);
}

INSTANTIATE_TEST_SUITE_P(
    trouble,
    cell_histories,
    testing::Values(
        trouble_case{"calm", {}},
        trouble_case{"lost_answers", {.lost_answer = 0.05}},
        trouble_case{"late_orders", {.late_order = 0.06}},
        trouble_case{"store_unknown", {.store_unknown = 0.3}},
        trouble_case{"take_overs", {.take_overs = 0.5}},
        trouble_case{
            "store_downs",
            {.take_overs = 0.3, .store_downs = 0.1, .task_fails = 0.5}},
        trouble_case{"leaving_workers", {.leaves = 0.2}},
        trouble_case{"late_saves",
                     {.take_overs = 0.3, .late_save = 0.2, .task_fails = 0.2}},
        trouble_case{"crashes", {.crashes = 0.4}},
        trouble_case{"cuts", {.cuts = 0.2}},
        trouble_case{"failing_tasks", {.task_fails = 0.3}},
        trouble_case{"cancels", {.cancels = 0.5}},
        trouble_case{"duplicates", {.take_overs = 0.5, .duplicates = 0.5}},
        trouble_case{"all",
                     {.lost_answer = 0.03,
                      .late_order = 0.03,
                      .store_unknown = 0.1,
                      .take_overs = 0.2,
                      .crashes = 0.1,
                      .cuts = 0.1,
                      .leaves = 0.05,
                      .late_save = 0.05,
                      .task_fails = 0.1,
                      .cancels = 0.1,
                      .duplicates = 0.2}}),
    [](testing::TestParamInfo<trouble_case> const& info)
    {
        return std::string(info.param.name);
    });

} // namespace
} // namespace cicada::batch::model
