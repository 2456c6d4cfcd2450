#include "fleet_of_workers.hpp"

#include <algorithm>

namespace cicada::batch
{
namespace
{

constexpr milliseconds run_again_limit{3000}; //!< of a job with free capacity

struct failing_jobs
{
    std::string name;
    int workers = 0;
    int hopeless = 0; //!< jobs that fail everywhere
    int tasks = 0;    //!< of each of them

    bool operator==(failing_jobs const&) const = default;
};

class jobs_that_fail_everywhere
    : public fleet_of_workers,
      public testing::WithParamInterface<failing_jobs>
{
};

/** review/9: hopeless jobs had every worker excluded for up to 5 s. */
TEST_P(jobs_that_fail_everywhere, leave_the_workers_to_other_jobs)
{
    for (int k = 0; k < GetParam().workers; ++k)
    {
        this->add_worker("w" + std::to_string(k));
    }
    this->feed(worker_list_complete{});
    this->run_for(milliseconds{200});
    this->outcome = [](std::string const&, task_ref const& task)
    {
        return task.job.front() == 'h' ? run_end::failed : run_end::done;
    };
    for (int k = 0; k < GetParam().hopeless; ++k)
    {
        job const bad = make_job("h" + std::to_string(k),
                                 GetParam().tasks,
                                 32'000 / GetParam().hopeless *
                                     GetParam().workers / GetParam().tasks);
        this->feed(job_stored{bad, {}, 0});
    }
    this->run_for(this->run_span + milliseconds{100});
    ASSERT_FALSE(this->starts["h0"].empty());
    instant const submitted = this->now;
    this->feed(job_stored{make_job("sound", 1, 500), {}, 0});
    this->run_for(run_again_limit);
    ASSERT_FALSE(this->starts["sound"].empty());
    EXPECT_LT(this->starts["sound"].front().at - submitted, milliseconds{1000});
}

INSTANTIATE_TEST_SUITE_P(
    cases,
    jobs_that_fail_everywhere,
    testing::Values(failing_jobs{"one_wide_job", 8, 1, 48},
                    failing_jobs{"several_jobs", 8, 4, 16},
                    failing_jobs{"more_jobs_than_workers", 8, 16, 8},
                    failing_jobs{"one_worker", 1, 3, 2}),
    [](testing::TestParamInfo<failing_jobs> const& tested)
    {
        return tested.param.name;
    });

struct failing_workers
{
    std::string name;
    int failing = 0;
    int most_lost = 0; //!< sound jobs that use up their attempts

    bool operator==(failing_workers const&) const = default;
};

class workers_that_fail_everything
    : public fleet_of_workers,
      public testing::WithParamInterface<failing_workers>
{
};

/** Without exclusion, workers that fail at once attract most starts. */
TEST_P(workers_that_fail_everything, cost_no_sound_job_its_attempts)
{
    constexpr int all = 12;
    for (int k = 0; k < all; ++k)
    {
        this->add_worker("w" + std::to_string(10 + k));
    }
    this->feed(worker_list_complete{});
    this->run_for(milliseconds{200});
    std::string const first_sound =
        "w" + std::to_string(10 + GetParam().failing);
    this->outcome = [&first_sound](std::string const& worker, task_ref const&)
    {
        return worker < first_sound ? run_end::failed : run_end::done;
    };
    constexpr int jobs = 100;
    for (int k = 0; k < jobs; ++k)
    {
        this->feed(
            job_stored{make_job("j" + std::to_string(k), 2, 4000), {}, 0});
        this->run_for(milliseconds{60});
    }
    this->run_for(milliseconds{10'000});
    int lost = 0;
    for (int k = 0; k < jobs; ++k)
    {
        lost += state_of(*this->scheduler, "j" + std::to_string(k)) !=
                job_state::completed;
    }
    EXPECT_LE(lost, GetParam().most_lost);
}

INSTANTIATE_TEST_SUITE_P(
    cases,
    workers_that_fail_everything,
    testing::Values(failing_workers{"one_of_twelve", 1, 0},
                    failing_workers{"two_of_twelve", 2, 0},
                    failing_workers{"a_third", 4, 0}),
    [](testing::TestParamInfo<failing_workers> const& tested)
    {
        return tested.param.name;
    });

/** Attempts on one worker would all be lost to a fault of that worker. */
TEST_F(fleet_of_workers, spreads_the_attempts_of_a_job)
{
    for (int k = 0; k < 4; ++k)
    {
        this->add_worker("w" + std::to_string(k));
    }
    this->feed(worker_list_complete{});
    this->run_for(milliseconds{200});
    this->outcome = [](std::string const&, task_ref const&)
    {
        return run_end::failed;
    };
    this->feed(job_stored{make_job("j", 1, 1000), {}, 0});
    this->run_for(milliseconds{3000});
    std::set<std::string> used;
    for (started_run const& each : this->starts["j"])
    {
        used.insert(each.worker);
    }
    EXPECT_EQ(this->starts["j"].size(), 4u);
    EXPECT_EQ(used.size(), 4u);
}

} // namespace
} // namespace cicada::batch
