#include "jobs.hpp"

#include "event_numbers/event_numbers.hpp"
#include "job_admission.hpp"
#include "job_tasks.hpp"
#include "task_names.hpp"
#include "task_placement.hpp"

#include <algorithm>

namespace cicada
{
namespace
{

constexpr milliseconds reload_period{30'000};
constexpr milliseconds write_retry_delay{300};

/** Subject of a reload timer; it is void once the shard's epoch changes. */
std::string reload_subject(shard_id const& shard, epoch since)
{
    return shard.value + "@" + std::to_string(since.value);
}

void refuse_job(job_id const& job, job_problem const& problem, effects& out)
{
    answer_job answer;
    answer.job = job;
    answer.status = problem.status;
    answer.code = problem.code;
    answer.detail = problem.detail;
    out.push_back(std::move(answer));
}

/** Adds a job whose record is stored in the service. */
void add_job(state& s, job_record const& record, effects& out)
{
    if (s.jobs.count(record.name) > 0 || is_final(record.state))
    {
        return;
    }
    owned_job job;
    job.record = record;
    job.arrived = s.now;
    for (task_record const& task : record.tasks)
    {
        task_state here;
        if (task.done)
        {
            here.phase = task_phase::done;
        }
        else if (!task.worker.empty())
        {
            here.phase = task_phase::adopted;
        }
        job.tasks.push_back(here);
    }
    s.jobs[record.name] = std::move(job);
    out.push_back(log_event{events::job_accepted, record.name.value});
    adopt_tasks(s, record.name, out);
}

void offer_to_owner(state& s, job_record const& record, effects& out)
{
    std::optional<shard_owner> const owner = owner_of(s, record.home);
    if (owner)
    {
        send_to(s, owner->owner, job_offer{record}, out);
    }
}

/** Answers a submission whose Idempotency-Key was used before. */
void answer_known_key(submitted_job const& submission,
                      job_written const& e,
                      answer_job& answer)
{
    bool const same =
        e.existing && e.existing->body_digest == submission.body_digest;
    if (!same)
    {
        answer.status = 422;
        answer.code = "key_reused";
        answer.detail = "This Idempotency-Key came before with another body.";
        return;
    }
    answer.status = 200;
    answer.existing = e.existing->job;
    answer.home = e.existing->home;
    answer.outcome = request_outcome::ran;
}

void finish_submission(state& s, job_written const& e, effects& out)
{
    submitted_job const submission = s.submitted.at(e.job);
    s.submitted.erase(e.job);
    answer_job answer;
    answer.job = e.job;
    answer.home = submission.record.home;
    switch (e.outcome)
    {
    case write_outcome::done:
        answer.outcome = request_outcome::ran;
        offer_to_owner(s, submission.record, out);
        break;
    case write_outcome::refused:
        answer_known_key(submission, e, answer);
        break;
    case write_outcome::failed:
        answer.status = 503;
        answer.code = "store_unavailable";
        answer.detail = "The job can't be kept now.";
        break;
    case write_outcome::unknown:
        answer.status = 504;
        answer.code = "outcome_unknown";
        answer.detail = "The job may have been kept: ask for it by its id.";
        answer.outcome = request_outcome::unknown;
        break;
    }
    out.push_back(std::move(answer));
}

} // namespace

void on_job_submitted(state& s, job_submitted const& e, effects& out)
{
    std::optional<job_problem> const problem = check_job(s, e.job);
    if (problem)
    {
        refuse_job(e.job.name, *problem, out);
        return;
    }
    submitted_job submission{e.job, e.body_digest};
    submission.record.home = *choose_home(s, e.job);
    s.submitted[e.job.name] = submission;
    out.push_back(write_job{
        submission.record, true, s.table.version, e.key, e.body_digest});
}

void on_job_written(state& s, job_written const& e, effects& out)
{
    if (s.submitted.count(e.job) > 0)
    {
        finish_submission(s, e, out);
        return;
    }
    auto const found = s.jobs.find(e.job);
    if (found == s.jobs.end())
    {
        return;
    }
    owned_job& job = found->second;
    job.write_under_way = false;
    if (e.outcome != write_outcome::done)
    {
        job.write_again = true;
        schedule(s, timer_kind::write_job, write_retry_delay, e.job.value);
        return;
    }
    after_recorded(s, e.job, out);
}

void on_jobs_loaded(state& s, jobs_loaded const& e, effects& out)
{
    if (s.owned.count(e.home) == 0 || !e.jobs.has_value())
    {
        return;
    }
    for (job_record const& record : e.jobs.assume_value())
    {
        add_job(s, record, out);
    }
    place_waiting_jobs(s, out);
}

void on_job_cancel_asked(state& s, job_cancel_asked const& e, effects& out)
{
    std::optional<shard_owner> const owner = owner_of(s, e.home);
    if (owner)
    {
        send_to(s, owner->owner, job_cancel{e.job, e.home}, out);
    }
}

void on_job_offer(state& s, job_offer const& offer, effects& out)
{
    if (s.owned.count(offer.job.home) == 0)
    {
        return;
    }
    add_job(s, offer.job, out);
    place_waiting_jobs(s, out);
}

void on_job_cancel(state& s, job_cancel const& order, effects& out)
{
    auto const found = s.jobs.find(order.job);
    if (found == s.jobs.end())
    {
        return;
    }
    owned_job& job = found->second;
    if (job.record.state == job_state::cancelling)
    {
        return;
    }
    job.record.state = job_state::cancelling;
    stop_all_tasks(s, order.job, out);
}

void adopt_shard_jobs(state& s, shard_id const& shard, effects& out)
{
    out.push_back(load_jobs{shard});
    schedule(s,
             timer_kind::reload_jobs,
             reload_period,
             reload_subject(shard, s.owned.at(shard)));
}

void forget_shard_jobs(state& s, shard_id const& shard)
{
    std::erase_if(s.jobs,
                  [&](std::pair<job_id const, owned_job> const& each)
                  {
                      return each.second.record.home == shard;
                  });
}

void reload_shard_jobs(state& s, std::string const& subject, effects& out)
{
    for (auto const& [shard, since] : s.owned)
    {
        if (reload_subject(shard, since) == subject)
        {
            adopt_shard_jobs(s, shard, out);
            return;
        }
    }
}

void write_job_again(state& s, job_id const& job, effects& out)
{
    auto const found = s.jobs.find(job);
    if (found != s.jobs.end() && found->second.write_again)
    {
        save_job(s, found->second, out);
    }
}

} // namespace cicada
