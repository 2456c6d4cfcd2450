#include "fleet_of_workers.hpp"

#include <algorithm>

namespace cicada::batch
{
namespace
{

struct progress_case
{
    char const* name;
    std::string bytes;
    job_progress expected;
};

class progress_records : public testing::TestWithParam<progress_case>
{
};

/** Guards against a successor that forgets done tasks or failed runs. */
TEST_P(progress_records, are_read)
{
    result<job_progress> const read = decode_progress(GetParam().bytes);
    ASSERT_TRUE(read.has_value());
    EXPECT_EQ(read.value(), GetParam().expected);
}

job_progress const with_failures{
    job_state::running, {{true, false}, {}}, {{{1, {5, 9}}}, {}}};
job_progress const progress_of_one_task{
    job_state::running, {{true, false}}, {}};
job_progress const of_version_1{
    job_state::running, {{true, false}}, {{{1, {5}}}}};
/** {"v": 1, "s": 1, "d": ["10"], "f": [[[], [5]]]} */
std::string const bytes_of_version_1 = "\xa4\x61v\x01\x61s\x01\x61\x64\x81\x62"
                                       "\x31\x30\x61\x66\x81\x82\x80\x81\x05";

INSTANTIATE_TEST_SUITE_P(
    versions,
    progress_records,
    testing::Values(
        progress_case{"current", encode_progress(with_failures), with_failures},
        progress_case{"version_1", bytes_of_version_1, of_version_1}),
    [](testing::TestParamInfo<progress_case> const& info)
    {
        return info.param.name;
    });

using placer_with_records = fleet_of_workers;

/** Guards against records of another job that go unnoticed, or end the process.
 */
TEST_F(placer_with_records, logs_progress_of_tasks_that_the_job_lacks)
{
    job_progress const progress{job_state::running,
                                {{true, false, true}, {true}},
                                {{{-1, {4}}, {1, {5}}, {7, {6}}}, {{0, {7}}}}};
    this->feed(job_stored{make_job("a", 2, 1000), progress, 1});
    EXPECT_EQ(
        std::count(this->log.begin(),
                   this->log.end(),
                   "job=a why=\"its progress lists tasks that it lacks\""),
        1);
    EXPECT_EQ(state_of(*this->scheduler, "a"), job_state::running);
    this->feed(job_stored{make_job("b", 2, 1000), progress_of_one_task, 1});
    EXPECT_EQ(
        std::count(this->log.begin(),
                   this->log.end(),
                   "job=b why=\"its progress lists tasks that it lacks\""),
        0);
}

} // namespace
} // namespace cicada::batch
