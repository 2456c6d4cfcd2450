#include "batch_checker/batch_checker.hpp"

#include <gtest/gtest.h>

namespace cicada::batch::model
{
namespace
{

task_ref const only_task{"a", 0, 0};
resources const size{1000, 100, 0};

/** A checker of a job of one task, whose first run has started on w1. */
checker checker_of_first_run()
{
    checker out;
    job sent;
    sent.id = only_task.job;
    sent.queue.max_attempts = 3;
    sent.steps.push_back({.size = size});
    out.submitted(sent);
    out.started(instant{}, only_task, 1, "w1", size, size);
    return out;
}

struct restart_case
{
    char const* name;
    run_end first_end;
    bool acknowledged_before;
    bool acknowledged_after;
    std::string violation; //!< empty: none
};

class second_run : public testing::TestWithParam<restart_case>
{
};

TEST_P(second_run, is_a_violation_if_the_first_success_is_ever_acknowledged)
{
    checker invariants = checker_of_first_run();
    invariants.ended(only_task, 1, "w1", GetParam().first_end);
    if (GetParam().acknowledged_before)
    {
        invariants.acknowledged(only_task, 1);
    }
    invariants.started(instant{}, only_task, 2, "w2", size, size);
    if (GetParam().acknowledged_after)
    {
        invariants.acknowledged(only_task, 1);
        invariants.acknowledged(only_task, 1);
    }
    std::vector<std::string> const expected =
        GetParam().violation.empty()
            ? std::vector<std::string>{}
            : std::vector<std::string>{GetParam().violation + ": a.0.0"};
    EXPECT_EQ(invariants.violations(), expected);
}

TEST(run_of_a_restarted_worker, that_succeeds_is_not_the_end_of_the_lost_one)
{
    checker invariants = checker_of_first_run();
    invariants.ended(only_task, 1, "w1", run_end::lapsed);
    invariants.started(instant{}, only_task, 1, "w1", size, size);
    invariants.ended(only_task, 1, "w1", run_end::done);
    invariants.acknowledged(only_task, 1);
    EXPECT_TRUE(invariants.violations().empty());
}

INSTANTIATE_TEST_SUITE_P(
    cases,
    second_run,
    testing::Values(
        restart_case{"never_acknowledged", run_end::done, false, false, ""},
        restart_case{"acknowledged_before",
                     run_end::done,
                     true,
                     true,
                     "task started after its success was acknowledged"},
        restart_case{"acknowledged_after",
                     run_end::done,
                     false,
                     true,
                     "task started again after a success that was "
                     "acknowledged later"},
        restart_case{"failed_first", run_end::failed, false, true, ""}),
    [](testing::TestParamInfo<restart_case> const& info)
    {
        return std::string(info.param.name);
    });

} // namespace
} // namespace cicada::batch::model
