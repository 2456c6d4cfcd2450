#include "store_session.hpp"

#include "job_keys.hpp"
#include "keys.hpp"
#include "store_outcomes.hpp"

namespace cicada
{

/** A job's creation; its key, if any, must be new as well. */
txn store_session::creation(write_job const& effect) const
{
    job_record const& job = effect.job;
    txn request = create_key(key_put{
        keys::job_key(job.home, job.name), encode_job(job), lease_id{}});
    if (effect.key.empty())
    {
        return request;
    }
    std::string const use = keys::job_use_key(job.tenant, effect.key);
    request.compares.push_back(key_compare{use, 0});
    request.puts.push_back(
        key_put{use,
                encode_job_key({job.name, job.home, effect.body_digest}),
                this->record_lease});
    request.otherwise = {range_request{use, false, 0, {}}};
    return request;
}

void store_session::carry_out(write_job const& effect)
{
    job_record const job = effect.job;
    txn request;
    if (effect.create)
    {
        request = this->creation(effect);
    }
    else
    {
        bool const current = effect.table_version == this->table_version;
        std::int64_t const revision = current ? this->table_revision : -1;
        request.compares.push_back(key_compare{keys::ownership, revision});
        if (is_final(job.state))
        {
            request.deletes.push_back(keys::job_key(job.home, job.name));
        }
        request.puts.push_back(
            key_put{is_final(job.state) ? keys::done_job_key(job.home, job.name)
                                        : keys::job_key(job.home, job.name),
                    encode_job(job),
                    is_final(job.state) ? this->record_lease : lease_id{}});
    }
    this->client.commit(
        request,
        this->settings.store_timeout,
        [this, job](txn_answer const& answer)
        {
            this->run.post(
                [this, job, answer]
                {
                    std::optional<job_key_use> existing;
                    if (!answer.existing.empty())
                    {
                        existing =
                            decode_job_key(answer.existing.front().value);
                    }
                    this->run.feed(job_written{
                        job.name, outcome_of(answer.outcome), existing});
                });
        });
}

void store_session::carry_out(load_jobs const& effect)
{
    shard_id const home = effect.home;
    this->client.range(
        range_request{keys::jobs_prefix(home), true, 0, {}},
        this->settings.store_timeout,
        [this, home](result<range_answer> const& answer)
        {
            this->run.post(
                [this, home, answer]
                {
                    if (!answer.has_value())
                    {
                        this->run.feed(
                            jobs_loaded{home, answer.assume_error()});
                        return;
                    }
                    std::vector<job_record> jobs;
                    for (key_value const& each : answer.assume_value().values)
                    {
                        result<job_record> const job = decode_job(each.value);
                        if (job.has_value())
                        {
                            jobs.push_back(job.assume_value());
                        }
                    }
                    this->run.feed(jobs_loaded{home, std::move(jobs)});
                });
        });
}

void store_session::find_job(
    shard_id const& home,
    job_id const& name,
    std::function<void(result<std::optional<job_record>>)> const& handler)
{
    auto const finish = [this, handler](result<range_answer> const& answer)
    {
        this->run.post(
            [handler, answer]
            {
                if (!answer.has_value())
                {
                    handler(answer.assume_error());
                    return;
                }
                if (answer.assume_value().values.empty())
                {
                    handler(std::optional<job_record>{});
                    return;
                }
                result<job_record> const job =
                    decode_job(answer.assume_value().values.front().value);
                if (!job.has_value())
                {
                    handler(job.assume_error());
                    return;
                }
                handler(std::optional<job_record>(job.assume_value()));
            });
    };
    range_request const done{keys::done_job_key(home, name), false, 0, {}};
    this->client.range(
        range_request{keys::job_key(home, name), false, 0, {}},
        this->settings.store_timeout,
        [this, done, finish](result<range_answer> const& answer)
        {
            bool const found =
                !answer.has_value() || !answer.assume_value().values.empty();
            if (found)
            {
                finish(answer);
                return;
            }
            this->client.range(done, this->settings.store_timeout, finish);
        });
}

} // namespace cicada
