#include "one_worker.hpp"

#include <gtest/gtest.h>

#include <malloc.h>

namespace cicada::batch
{
namespace
{

/** Half of the memory of the smallest instance, 120 MB. */
constexpr std::size_t memory_bound = std::size_t{60} << 20;

/** Bytes that the process has allocated. */
std::size_t allocated()
{
    struct mallinfo2 const now = mallinfo2();
    return now.uordblks + now.hblkhd;
}

struct open_jobs_case
{
    char const* name;
    int jobs;
    int steps;
    int tasks; //!< of each step
};

class open_jobs : public one_worker,
                  public testing::WithParamInterface<open_jobs_case>
{
protected:
    /** Each task needs the whole worker. */
    static job make_open_job(int number)
    {
        job made = make_job("job" + std::to_string(number));
        made.steps.front().size = {32'000, 100, 0};
        made.steps.front().count = GetParam().tasks;
        made.steps.resize(static_cast<std::size_t>(GetParam().steps),
                          made.steps.front());
        return made;
    }
};

/** Guards against a placer that outgrows its memory by the tasks of open jobs
 * that have not started. */
TEST_P(open_jobs, take_little_memory)
{
    std::size_t const before = allocated();
    for (int k = 0; k < GetParam().jobs; ++k)
    {
        this->feed(job_stored{make_open_job(k), {}, 0});
    }
    this->pass_time(10);
    EXPECT_EQ(this->starts, 1);
    EXPECT_LT(allocated(), before + memory_bound);
}

/** Guards against a successor that outgrows its memory when it reads them. */
TEST_P(open_jobs, take_little_memory_when_they_are_read_with_their_progress)
{
    this->feed(job_stored{make_open_job(0), {}, 0});
    worker_report report;
    report.finished.push_back({1, this->last.task, this->last.run});
    this->answer(report);
    this->pass_time(5);
    ASSERT_EQ(this->progress_call.records.size(), 1u);
    std::string const record = this->progress_call.records.front().bytes;
    this->scheduler = make_scheduler({}, this->now);
    std::size_t const before = allocated();
    for (int k = 0; k < GetParam().jobs; ++k)
    {
        this->feed(
            job_stored{make_open_job(k), decode_progress(record).value(), 1});
    }
    EXPECT_LT(allocated(), before + memory_bound);
}

INSTANTIATE_TEST_SUITE_P(
    shapes,
    open_jobs,
    testing::Values(open_jobs_case{"of_2000_tasks_a_step", 24, 64, 2000},
                    open_jobs_case{"of_5000_tasks_a_step", 10, 64, 5000}),
    [](testing::TestParamInfo<open_jobs_case> const& info)
    {
        return info.param.name;
    });

} // namespace
} // namespace cicada::batch
