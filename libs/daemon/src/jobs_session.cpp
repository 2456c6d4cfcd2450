#include "jobs_session.hpp"

namespace cicada
{
namespace
{

constexpr char jobs_path[] = "/v1/jobs";
constexpr char job_prefix[] = "/v1/jobs/";
constexpr char health_path[] = "/v1/healthz";
constexpr int accepted = 202;

other_answer not_found(std::string const& what)
{
    return problem_answer(404, "not_found", what, request_outcome::not_run);
}

other_answer store_problem()
{
    return problem_answer(503,
                          "store_unavailable",
                          "The platform's service can't be asked now.",
                          request_outcome::unknown);
}

} // namespace

jobs_session::jobs_session(loop& run,
                           store_session& store,
                           std::function<cell_config const&()> config,
                           daemon_settings const& settings)
    : run(run), store(store), config(std::move(config)), settings(settings)
{
}

void jobs_session::take(other_request const& call, responder const& answer)
{
    if (call.path == health_path)
    {
        answer.reply({200, "text/plain", "ok\n", {}});
        return;
    }
    if (call.path == jobs_path && call.method == "POST")
    {
        this->submit(call, answer);
        return;
    }
    std::optional<job_place> const place =
        call.path.starts_with(job_prefix)
            ? parse_public_job_id(call.path.substr(std::size(job_prefix) - 1))
            : std::nullopt;
    if (place && call.method == "GET")
    {
        this->show(*place, answer);
        return;
    }
    if (place && call.method == "DELETE")
    {
        this->cancel(*place, answer);
        return;
    }
    answer.reply(not_found("There is no " + call.method + " " + call.path));
}

void jobs_session::submit(other_request const& call, responder const& answer)
{
    this->submitted += 1;
    job_id const name{this->settings.self.name.value + "-" +
                      std::to_string(this->settings.incarnation) + "-j" +
                      std::to_string(this->submitted)};
    result<job_record> const job = parse_submission(call, this->config(), name);
    if (!job.has_value())
    {
        answer.reply(problem_answer(400,
                                    "bad_submission",
                                    job.assume_error().message,
                                    request_outcome::not_run));
        return;
    }
    this->waiting.emplace(name, answer);
    this->run.feed(
        job_submitted{job.assume_value(), call.key, digest_of(call.body)});
}

void jobs_session::show(job_place const& place, responder const& answer)
{
    this->store.find_job(
        place.home,
        place.name,
        [answer](result<std::optional<job_record>> const& found)
        {
            if (!found.has_value())
            {
                answer.reply(store_problem());
                return;
            }
            if (!found.assume_value())
            {
                answer.reply(not_found("There is no such job."));
                return;
            }
            answer.reply(job_answer(200, *found.assume_value()));
        });
}

void jobs_session::cancel(job_place const& place, responder const& answer)
{
    this->store.find_job(
        place.home,
        place.name,
        [this, place, answer](result<std::optional<job_record>> const& found)
        {
            if (!found.has_value())
            {
                answer.reply(store_problem());
                return;
            }
            if (!found.assume_value())
            {
                answer.reply(not_found("There is no such job."));
                return;
            }
            job_record const& job = *found.assume_value();
            if (!is_final(job.state))
            {
                this->run.feed(job_cancel_asked{place.name, place.home});
            }
            int const status = is_final(job.state) ? 200 : accepted;
            answer.reply(job_answer(status, job));
        });
}

void jobs_session::carry_out(answer_job const& effect)
{
    auto const found = this->waiting.find(effect.job);
    if (found == this->waiting.end())
    {
        return;
    }
    found->second.reply(submission_answer(effect));
    this->waiting.erase(found);
}

} // namespace cicada
