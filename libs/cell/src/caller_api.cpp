#include "caller_api_common.hpp"

#include "keys.hpp"

#include <algorithm>

namespace cicada::cell
{

namespace
{

/** A transaction has at most 32 entries; a job takes three of them. */
constexpr std::size_t max_jobs_per_commit = 10;
constexpr int max_concurrent_commits = 4; //!< a slow store takes 0.3 s
constexpr milliseconds batch_delay{4};    //!< about the time of one store call

constexpr milliseconds max_load_age{1500}; //!< counts may be up to 2 s old
constexpr milliseconds not_served_retry_after{30'000};

/** When a job was stored, for the log: none is stored for one that has ended.
 */
char const* when_stored(std::string const& submitted_record,
                        std::optional<job_message> const& stored)
{
    if (!stored)
    {
        return "ended";
    }
    return stored->record == submitted_record ? "now" : "earlier";
}

} // namespace

caller_api::caller_api(context& daemon_context, caller_api_ports daemon_ports)
    : shared(daemon_context), ports(std::move(daemon_ports))
{
}

void caller_api::handle(http_request const& request, http_responder answer)
{
    if (!this->shared.config)
    {
        answer(unavailable("no configuration yet"));
        return;
    }
    std::optional<platform::caller_call> const call =
        platform::decode_call(request, *this->shared.config);
    if (!call)
    {
        answer(platform::encode_error(http_status::not_found, "no such queue"));
        return;
    }
    if (!call->authorized)
    {
        this->unauthorized += 1;
        this->shared.log_event(events::job_rejected,
                               "job=" + call->job + " queue=" +
                                   call->queue.name + " why=unknown_key");
        answer(platform::encode_unauthorized());
        return;
    }
    switch (call->verb)
    {
    case platform::caller_verb::submit:
        this->submit(*call, request, std::move(answer));
        return;
    case platform::caller_verb::query:
        this->query(call->job, answer);
        return;
    case platform::caller_verb::cancel:
        this->cancel(*call, answer);
        return;
    case platform::caller_verb::count:
        this->count(*call, answer);
        return;
    case platform::caller_verb::readiness:
    case platform::caller_verb::unsupported:
        answer(platform::encode_error(http_status::method_not_allowed,
                                      "no such method"));
        return;
    }
}

// ---- jobs

void caller_api::submit(platform::caller_call const& call,
                        http_request const& request,
                        http_responder answer)
{
    result<batch::job> read = platform::decode_job(request.body, call);
    if (!read.has_value())
    {
        bool const not_served = read.assume_error().code == error_code::refused;
        this->shared.log_event(events::job_rejected,
                               "job=" + call.job + " queue=" + call.queue.name +
                                   " why=\"" + read.assume_error().message +
                                   "\"");
        answer(not_served
                   ? platform::encode_error(http_status::service_unavailable,
                                            read.assume_error().message,
                                            not_served_retry_after)
                   : platform::encode_error(http_status::bad_request,
                                            read.assume_error().message));
        return;
    }
    submission submitted;
    submitted.job = std::move(read.assume_value());
    submitted.job.epoch = this->placer_epoch;
    submitted.job.config_version = this->shared.config->version;
    submitted.record = batch::encode_job(submitted.job);
    submitted.arrived = this->shared.now();
    submitted.deadline = submitted.arrived +
                         call.deadline.value_or(default_deadline) -
                         answer_margin;
    submitted.answer = std::move(answer);
    std::string const problem = this->check_customer(submitted.job);
    if (!problem.empty())
    {
        this->refuse_unless_stored(std::move(submitted),
                                   {http_status::service_unavailable,
                                    "exceeds_customer_cap",
                                    problem,
                                    not_served_retry_after});
        return;
    }
    if (this->load_is_fresh() && this->load->settled)
    {
        batch::admission const decision =
            batch::admit(submitted.job, *this->load);
        if (!decision.accepted)
        {
            this->refuse_unless_stored(std::move(submitted),
                                       {http_status::too_many_requests,
                                        batch::to_string(decision.cause),
                                        "too much is waiting",
                                        decision.retry_after});
            return;
        }
    }
    this->enqueue(std::move(submitted));
}

std::string caller_api::check_customer(batch::job const& given) const
{
    std::optional<std::vector<batch::customer_rule>> const& customers =
        this->shared.config->customers;
    if (!customers)
    {
        return "";
    }
    auto const found =
        std::find_if(customers->begin(),
                     customers->end(),
                     [&given](batch::customer_rule const& each)
                     {
                         return each.share.name == given.customer;
                     });
    return found == customers->end() ? ""
                                     : batch::check_caps(given, found->share);
}

void caller_api::refuse_unless_stored(submission submitted, refusal const& why)
{
    auto const kept = std::make_shared<submission>(std::move(submitted));
    this->find_record(
        kept->job.id,
        [self = this->shared_from_this(), kept, why](
            result<stored_record> const& found)
        {
            if (!found.has_value())
            {
                // An earlier attempt may have stored the job: "not accepted"
                // could be false.
                self->enqueue(std::move(*kept));
                return;
            }
            if (found.assume_value().known)
            {
                kept->answer(platform::encode_accepted());
                return;
            }
            std::string const customer =
                kept->job.customer.empty() ? ""
                                           : " customer=" + kept->job.customer;
            self->shared.log_event(
                events::job_rejected,
                "job=" + kept->job.id + " queue=" + kept->job.queue.name +
                    customer + " why=" + why.cause + " load_age_ms=" +
                    std::to_string(
                        (self->shared.now() - self->load_received_at).count()) +
                    " retry_after_ms=" +
                    std::to_string(why.retry_after.count()));
            kept->answer(
                platform::encode_error(why.status, why.text, why.retry_after));
        });
}

void caller_api::enqueue(submission submitted)
{
    if (this->shared.store_failing() && !submitted.from_peer)
    {
        this->relay_submission(
            std::move(submitted),
            {error_code::unavailable, "the store doesn't answer"});
        return;
    }
    this->queue.push_back(std::move(submitted));
    if (this->commits_in_progress >= max_concurrent_commits ||
        this->commit_scheduled)
    {
        return;
    }
    this->commit_scheduled = true;
    this->shared.after(batch_delay,
                       [self = this->shared_from_this()]
                       {
                           self->commit_scheduled = false;
                           self->commit_batch();
                       });
}

void caller_api::commit_batch()
{
    if (this->commits_in_progress >= max_concurrent_commits ||
        this->queue.empty())
    {
        return;
    }
    std::vector<submission> sent;
    platform::kv_transaction change;
    std::set<std::string> ids;
    std::deque<submission> later;
    while (!this->queue.empty())
    {
        submission next = std::move(this->queue.front());
        this->queue.pop_front();
        if (sent.size() == max_jobs_per_commit ||
            !ids.insert(next.job.id).second)
        {
            later.push_back(std::move(next));
            continue;
        }
        std::string const key = keys::jobs + next.job.id;
        change.conditions.push_back({key, 0});
        change.conditions.push_back({keys::ends + next.job.id, 0});
        change.writes.push_back({key, next.record, 0});
        sent.push_back(std::move(next));
    }
    this->queue = std::move(later);
    this->commits_in_progress += 1;
    auto const kept =
        std::make_shared<std::vector<submission>>(std::move(sent));
    this->shared.store.commit(
        change,
        [self = this->shared_from_this(),
         kept,
         call = store_call{"what=jobs", this->shared.now()}](
            result<platform::kv_commit_result> const& reply)
        {
            self->commits_in_progress -= 1;
            self->shared.record_store_call(call, reply);
            self->handle_commit_reply(std::move(*kept), reply);
            self->commit_batch();
        });
}

void caller_api::handle_commit_reply(
    std::vector<submission> sent,
    result<platform::kv_commit_result> const& reply)
{
    if (!reply.has_value())
    {
        for (submission& each : sent)
        {
            each.outcome_unknown =
                each.outcome_unknown ||
                reply.assume_error().code == error_code::unknown;
            this->handle_write_failure(std::move(each), reply.assume_error());
        }
        return;
    }
    platform::kv_commit_result const& outcome = reply.assume_value();
    if (outcome.outcome == platform::kv_commit_status::committed)
    {
        for (submission const& each : sent)
        {
            this->accept(each, job_message{each.record, outcome.revision});
        }
        return;
    }
    // The jobs as another call has stored them; none: the job has ended. Their
    // epochs may be lower, and tell the placer whether a former one may have
    // started them.
    std::map<std::string, std::optional<job_message>> present;
    std::set<std::string> cancelled;
    for (platform::kv_item const& item : outcome.found)
    {
        if (item.revision == 0 || item.deleted)
        {
            continue;
        }
        std::string const job = keys::strip_prefix(item.key, keys::jobs);
        if (job.empty() && item.value == keys::cancel_mark)
        {
            cancelled.insert(keys::strip_prefix(item.key, keys::ends));
        }
        else if (job.empty())
        {
            present.emplace(keys::strip_prefix(item.key, keys::ends),
                            std::nullopt);
        }
        else
        {
            present.emplace(job, job_message{item.value, item.revision});
        }
    }
    for (submission& each : sent)
    {
        auto const found = present.find(each.job.id);
        if (found != present.end())
        {
            this->accept(each, found->second);
        }
        else if (cancelled.count(each.job.id) != 0)
        {
            this->reject_cancelled(each);
        }
        else
        {
            this->queue.push_front(std::move(each));
        }
    }
}

/** Relays the submission to peers, unless it comes from one. */
void caller_api::handle_write_failure(submission submitted, error const& why)
{
    if (submitted.from_peer)
    {
        submitted.answer(submitted.outcome_unknown
                             ? platform::encode_error(
                                   http_status::gateway_timeout, "no answer")
                             : unavailable("the store is away"));
        return;
    }
    this->relay_submission(std::move(submitted), why);
}

void caller_api::relay_submission(submission submitted, error const& why)
{
    auto const kept = std::make_shared<submission>(std::move(submitted));
    this->relay(
        {0, relay_verb::submit, kept->job.id, kept->record},
        [self = this->shared_from_this(), kept, why](relay_reply const& reply)
        {
            if (reply.outcome == relay_outcome::done)
            {
                kept->answer(platform::encode_accepted());
                return;
            }
            if (reply.outcome == relay_outcome::absent)
            {
                self->reject_cancelled(*kept);
                return;
            }
            kept->outcome_unknown = kept->outcome_unknown ||
                                    reply.outcome == relay_outcome::unknown;
            self->retry_or_give_up(std::move(*kept), why);
        });
}

void caller_api::reject_cancelled(submission const& submitted)
{
    this->shared.log_event(events::job_rejected,
                           "job=" + submitted.job.id + " queue=" +
                               submitted.job.queue.name + " why=cancelled");
    // A peer passes "gone" on; the caller learns that the job never runs.
    submitted.answer(platform::encode_error(
        submitted.from_peer ? http_status::gone
                            : http_status::service_unavailable,
        "the job was cancelled"));
}

/** A write that may have succeeded is repeated until the deadline, so that
 * the caller learns the outcome. */
void caller_api::retry_or_give_up(submission submitted, error const& why)
{
    if (!submitted.outcome_unknown)
    {
        this->shared.log_event(events::job_rejected,
                               "job=" + submitted.job.id +
                                   " queue=" + submitted.job.queue.name +
                                   " why=\"store " + describe(why) + "\"");
        submitted.answer(unavailable("the store is away"));
        return;
    }
    if (this->shared.now() + retry_pause < submitted.deadline)
    {
        auto const kept = std::make_shared<submission>(std::move(submitted));
        this->shared.after(retry_pause,
                           [self = this->shared_from_this(), kept]
                           {
                               self->enqueue(std::move(*kept));
                           });
        return;
    }
    this->shared.log_event(events::job_outcome_unknown,
                           "job=" + submitted.job.id + " why=\"" +
                               describe(why) + "\"");
    submitted.answer(platform::encode_error(http_status::gateway_timeout,
                                            "the store did not answer"));
}

void caller_api::accept(submission const& submitted,
                        std::optional<job_message> const& stored)
{
    this->shared.log_event(
        events::job_submitted,
        "job=" + submitted.job.id + " queue=" + submitted.job.queue.name +
            " config=" + std::to_string(this->shared.config->version) +
            " took_ms=" +
            std::to_string((this->shared.now() - submitted.arrived).count()) +
            " epoch=" + std::to_string(submitted.job.epoch) +
            " stored=" + when_stored(submitted.record, stored));
    submitted.answer(platform::encode_accepted());
    if (stored)
    {
        // If this message is lost, the placer finds the job in the store.
        this->ports.send_to_placer(*stored);
    }
}

// ---- counts

void caller_api::count(platform::caller_call const& call,
                       http_responder const& answer)
{
    if (!this->load_is_fresh())
    {
        answer(unavailable("no count is known"));
        return;
    }
    auto const found = this->load->pending.find(call.queue.name);
    answer(platform::encode_count(
        found == this->load->pending.end() ? 0 : found->second));
}

void caller_api::handle_load(load_message const& received)
{
    if (received.epoch < this->placer_epoch)
    {
        return;
    }
    this->placer_epoch = received.epoch;
    this->load = received.load;
    this->load_received_at = this->shared.now();
}

bool caller_api::load_is_fresh() const
{
    return this->load &&
           this->shared.now() < this->load_received_at + max_load_age;
}

} // namespace cicada::cell
