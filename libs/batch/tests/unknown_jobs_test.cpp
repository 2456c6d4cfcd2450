#include "batch/batch.hpp"

#include <gtest/gtest.h>

namespace cicada::batch
{
namespace
{

task_ref const only_task{"a", 0, 0};
constexpr std::uint64_t earlier_run = 4097;

/** A second placer, whose two workers have answered its token; the first one
 * reports a run of a job that isn't known. */
class successor : public testing::Test
{
protected:
    void SetUp() override
    {
        scheduler_settings settings;
        settings.epoch = 2;
        this->scheduler = make_scheduler(settings, this->now);
        for (int i = 1; i <= 2; ++i)
        {
            worker_offer offer;
            offer.id = "w" + std::to_string(i);
            offer.service = "s";
            offer.where = {"127.0.0.1", static_cast<std::uint16_t>(i)};
            offer.capacity = {32'000, 65'536, 0};
            this->feed(worker_recorded{offer.id, offer.where, i});
            this->feed(worker_listed{offer});
        }
        this->feed(worker_list_complete{});
    }

    void feed(event_body body)
    {
        this->now += milliseconds{10};
        if (this->claim_check_sent)
        {
            claim_checked const confirmed{*this->claim_check_sent, true};
            this->claim_check_sent.reset();
            this->apply(confirmed);
        }
        this->apply(std::move(body));
    }

    void apply(event_body body)
    {
        for (effect const& each :
             step(*this->scheduler, {this->now, std::move(body)}))
        {
            if (std::holds_alternative<confirm_claim>(each))
            {
                this->claim_check_sent = this->now;
            }
            if (std::holds_alternative<poll_worker>(each))
            {
                poll_worker const& poll = std::get<poll_worker>(each);
                this->polls[poll.worker] = poll;
            }
            if (std::holds_alternative<read_jobs>(each))
            {
                this->last_read = std::get<read_jobs>(each).read;
            }
            if (std::holds_alternative<save_progress>(each))
            {
                this->save = std::get<save_progress>(each).save;
            }
            this->starts += std::holds_alternative<start_task>(each) ? 1 : 0;
            this->stops += std::holds_alternative<stop_task>(each) ? 1 : 0;
        }
    }

    void answer(std::string const& worker, worker_report const& report)
    {
        this->feed(poll_answered{
            worker, this->polls.at(worker).token, this->now, report});
    }

    /** The workers answer; the first one with the run's end, if it has one. */
    void sync_workers(std::optional<run_end> end)
    {
        worker_report report;
        if (end)
        {
            report.finished.push_back({1, only_task, earlier_run, *end, ""});
        }
        else
        {
            report.active.push_back({only_task, earlier_run, ""});
        }
        this->answer("w1", report);
        this->answer("w2", {});
        this->feed(time_passed{});
    }

    void tell_job()
    {
        job made;
        made.id = only_task.job;
        made.queue.name = "q";
        made.queue.service = "s";
        made.queue.max_attempts = 3;
        made.spec = "x";
        made.epoch = 1;
        made.steps.push_back({.size = {1000, 100, 0}});
        this->feed(job_stored{made, {}, 0});
    }

    /** Returns up to which end the first worker may forget its ends. */
    std::uint64_t acknowledged()
    {
        this->now += milliseconds{1000};
        this->feed(time_passed{});
        this->answer("w1", {});
        this->feed(time_passed{});
        return this->polls.at("w1").acknowledged;
    }

    instant now{milliseconds{10'000}};
    std::optional<instant> claim_check_sent;
    scheduler_ptr scheduler;
    std::map<std::string, poll_worker> polls;
    std::uint64_t last_read = 0;
    std::uint64_t save = 0;
    int starts = 0;
    int stops = 0;
};

TEST_F(successor, does_not_acknowledge_an_end_before_its_job_is_read)
{
    this->sync_workers(run_end::done);
    EXPECT_EQ(this->last_read, 1u);
    EXPECT_EQ(this->acknowledged(), 0u);
    this->feed(jobs_read{this->last_read});
    EXPECT_EQ(this->acknowledged(), 1u);
}

TEST_F(successor, does_not_take_an_earlier_read_for_an_answer)
{
    this->sync_workers(run_end::done);
    worker_report second;
    second.finished.push_back({2, {"b", 0, 0}, 4098, run_end::done, ""});
    this->answer("w1", second);
    this->feed(jobs_read{this->last_read});
    EXPECT_EQ(this->acknowledged(), 1u);
    EXPECT_EQ(this->last_read, 2u);
    this->feed(jobs_read{this->last_read});
    EXPECT_EQ(this->acknowledged(), 2u);
}

struct late_job_case
{
    char const* name;
    std::optional<run_end> end; //!< none: the run is active
    int starts;                 //!< of the task, by this placer
};

class late_job : public successor,
                 public testing::WithParamInterface<late_job_case>
{
};

TEST_P(late_job, is_not_started_beside_or_after_a_run_reported_before)
{
    this->sync_workers(GetParam().end);
    this->tell_job();
    this->feed(time_passed{});
    EXPECT_EQ(this->starts, GetParam().starts);
    EXPECT_EQ(this->stops, 0);
    EXPECT_EQ(usage_of(*this->scheduler, "w1")->runs +
                  usage_of(*this->scheduler, "w2")->runs,
              GetParam().end ? GetParam().starts : 1);
}

INSTANTIATE_TEST_SUITE_P(
    reports,
    late_job,
    testing::Values(late_job_case{"active", std::nullopt, 0},
                    late_job_case{"done", run_end::done, 0},
                    late_job_case{"failed", run_end::failed, 1},
                    late_job_case{"lapsed", run_end::lapsed, 1}),
    [](testing::TestParamInfo<late_job_case> const& info)
    {
        return std::string(info.param.name);
    });

TEST_F(successor, acknowledges_the_end_of_a_late_job_once_it_is_saved)
{
    this->sync_workers(run_end::done);
    this->tell_job();
    this->feed(jobs_read{this->last_read});
    EXPECT_EQ(this->acknowledged(), 0u);
    this->feed(progress_saved{this->save, save_outcome::stored, 9, {}});
    EXPECT_EQ(this->acknowledged(), 1u);
}

TEST_F(successor, ignores_an_end_outside_the_steps_of_a_late_job)
{
    worker_report report;
    report.finished.push_back({1, {"a", 3, 7}, 9, run_end::done, ""});
    report.finished.push_back({2, {"a", 0, 7}, 9, run_end::failed, ""});
    this->answer("w1", report);
    this->answer("w2", {});
    this->tell_job();
    this->feed(time_passed{});
    this->feed(time_passed{}); // brings the answer of the claim's check
    EXPECT_EQ(this->starts, 1);
}

TEST_F(successor, stops_a_run_whose_job_has_ended)
{
    this->sync_workers(std::nullopt);
    EXPECT_EQ(this->stops, 0);
    this->feed(jobs_read{this->last_read});
    EXPECT_EQ(this->stops, 1);
}

TEST_F(successor, does_not_read_again_for_the_end_of_a_run_it_stopped)
{
    this->sync_workers(std::nullopt);
    this->feed(jobs_read{this->last_read});
    worker_report report;
    report.finished.push_back(
        {1, only_task, earlier_run, run_end::stopped, ""});
    this->now += milliseconds{1000};
    this->answer("w1", report);
    this->feed(time_passed{});
    EXPECT_EQ(this->last_read, 1u);
    EXPECT_EQ(this->acknowledged(), 1u);
}

TEST_F(successor, gathers_reports_between_two_reads)
{
    this->sync_workers(run_end::done);
    for (std::uint64_t number = 2; number < 12; ++number)
    {
        worker_report report;
        report.finished.push_back(
            {number, {"b", 0, 0}, 4098, run_end::done, ""});
        this->answer("w1", report);
        this->feed(jobs_read{this->last_read});
        this->feed(time_passed{});
    }
    EXPECT_LE(this->last_read, 5u);
}

} // namespace
} // namespace cicada::batch
