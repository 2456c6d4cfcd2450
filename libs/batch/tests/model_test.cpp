#include "cell_model.hpp"

#include <gtest/gtest.h>

namespace cicada::batch::model
{
namespace
{

constexpr int seeds = 12; //!< simulated runs for each set of faults

struct fault_case
{
    char const* name;
    faults injected;
};

class cell_histories : public testing::TestWithParam<fault_case>
{
};

TEST_P(cell_histories, keep_every_invariant)
{
    int done = 0;
    for (int seed = 1; seed <= seeds; ++seed)
    {
        model_settings settings;
        settings.seed = static_cast<std::uint32_t>(seed);
        settings.injected = GetParam().injected;
        cell_model cell(settings);
        cell.run();
        done += cell.jobs_done;
        EXPECT_TRUE(cell.invariants.violations().empty())
            << "seed " << seed << ": " << cell.invariants.violations().size()
            << " breaches, first: " << cell.invariants.violations().front();
    }
    EXPECT_GT(done, seeds * 100);
}

INSTANTIATE_TEST_SUITE_P(
    injected,
    cell_histories,
    testing::Values(
        fault_case{"no_faults", {}},
        fault_case{"lost_answers", {.lost_answer = 0.05}},
        fault_case{"late_orders", {.late_order = 0.06}},
        fault_case{"store_unknown", {.store_unknown = 0.3}},
        fault_case{"takeovers", {.takeovers = 0.5}},
        fault_case{"isolated_placers", {.isolations = 0.1}},
        fault_case{"isolated_placers_with_most_workers",
                   {.isolations = 0.1, .max_isolated_workers = 12}},
        fault_case{"isolated_placers_with_most_workers_unlisted",
                   {.isolations = 0.1,
                    .min_isolated_workers = 5,
                    .max_isolated_workers = 6,
                    .isolated_leave_list = true}},
        fault_case{"isolated_placers_beside_restarts",
                   {.isolations = 0.15, .crashes = 1.0}},
        fault_case{"isolated_placers_with_restarted_workers",
                   {.isolations = 0.15,
                    .restarts_on_isolated_side = true,
                    .crashes = 1.0}},
        fault_case{"isolated_placers_beside_all_faults",
                   {.lost_answer = 0.02,
                    .store_unknown = 0.1,
                    .takeovers = 0.1,
                    .isolations = 0.1,
                    .crashes = 0.3,
                    .partitions = 0.1,
                    .departures = 0.05,
                    .store_outages = 0.05,
                    .list_gaps = 0.1,
                    .stale_entries = 0.3}},
        fault_case{"store_outages",
                   {.takeovers = 0.3, .store_outages = 0.1, .task_fails = 0.5}},
        fault_case{"leaving_workers", {.departures = 0.2}},
        fault_case{"late_saves",
                   {.takeovers = 0.3, .late_save = 0.2, .task_fails = 0.2}},
        fault_case{"crashes", {.crashes = 0.4}},
        fault_case{"partitions", {.partitions = 0.2}},
        fault_case{"restarts_beside_partitions",
                   {.crashes = 1.0, .partitions = 0.5}},
        fault_case{"restarts_beside_partitions_and_takeovers",
                   {.takeovers = 0.3, .crashes = 1.0, .partitions = 0.5}},
        fault_case{"failing_tasks", {.task_fails = 0.3}},
        fault_case{"cancels", {.cancels = 0.5}},
        fault_case{"duplicates", {.takeovers = 0.5, .duplicates = 0.5}},
        fault_case{"slow_stops",
                   {.takeovers = 0.7,
                    .task_fails = 0.3,
                    .cancels = 0.4,
                    .stop_span = milliseconds{900}}},
        fault_case{"list_gaps", {.takeovers = 0.5, .list_gaps = 0.4}},
        fault_case{"list_gaps_beside_unanswered_saves",
                   {.store_unknown = 0.3,
                    .takeovers = 0.7,
                    .late_save = 0.3,
                    .list_gaps = 0.6}},
        fault_case{"list_gaps_beside_store_outages",
                   {.takeovers = 0.7, .store_outages = 0.1, .list_gaps = 0.6}},
        fault_case{"stale_entries",
                   {.takeovers = 0.7,
                    .stale_entries = 0.7,
                    .read_span = milliseconds{400}}},
        fault_case{"stale_entries_beside_store_outages",
                   {.store_unknown = 0.3,
                    .takeovers = 0.5,
                    .store_outages = 0.1,
                    .stale_entries = 0.7,
                    .read_span = milliseconds{400}}},
        fault_case{"truncated_reports_beside_list_gaps",
                   {.store_unknown = 0.3,
                    .takeovers = 0.5,
                    .store_outages = 0.1,
                    .list_gaps = 0.6,
                    .ends_per_report = 3}},
        fault_case{
            "truncated_reports",
            {.takeovers = 0.7, .store_outages = 0.1, .ends_per_report = 3}},
        fault_case{"all",
                   {.lost_answer = 0.03,
                    .late_order = 0.03,
                    .store_unknown = 0.1,
                    .takeovers = 0.2,
                    .crashes = 0.1,
                    .partitions = 0.1,
                    .departures = 0.05,
                    .late_save = 0.05,
                    .task_fails = 0.1,
                    .cancels = 0.1,
                    .duplicates = 0.2,
                    .list_gaps = 0.1,
                    .stop_span = milliseconds{400}}}),
    [](testing::TestParamInfo<fault_case> const& info)
    {
        return std::string(info.param.name);
    });

} // namespace
} // namespace cicada::batch::model
