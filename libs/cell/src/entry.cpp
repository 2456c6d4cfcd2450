#include "entry_parts.hpp"

#include "keys.hpp"

#include <algorithm>

namespace cicada::cell
{

namespace
{

/** Jobs in one transaction: each takes two conditions and a write of 32. */
constexpr std::size_t jobs_per_commit = 10;
constexpr int commits_at_once = 4; //!< a slow store answers after 0.3 s
constexpr milliseconds gather{4};  //!< about one call to the store

constexpr milliseconds load_age{1500}; //!< counts may be 2 s old
constexpr milliseconds unserved_retry{30'000};

} // namespace

entry::entry(context& given, entry_ports outside)
    : shared(given), ports(std::move(outside))
{
}

void entry::handle(http_request const& request, http_responder answer)
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
        answer(platform::encode_error(404, "no such queue"));
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
        answer(platform::encode_error(405, "no such method"));
        return;
    }
}

// ---- jobs

void entry::submit(platform::caller_call const& call,
                   http_request const& request,
                   http_responder answer)
{
    result<batch::job> read = platform::decode_job(request.body, call);
    if (!read.has_value())
    {
        bool const unserved = read.assume_error().code == error_code::refused;
        this->shared.write(606,
                           "job=" + call.job + " queue=" + call.queue.name +
                               " why=\"" + read.assume_error().message + "\"");
        answer(unserved
                   ? platform::encode_error(
                         503, read.assume_error().message, unserved_retry)
                   : platform::encode_error(400, read.assume_error().message));
        return;
    }
    submission given;
    given.job = std::move(read.assume_value());
    given.job.epoch = this->placer_epoch;
    given.record = batch::encode_job(given.job);
    given.arrived = this->shared.now();
    given.give_up =
        given.arrived + call.deadline.value_or(default_deadline) - answer_way;
    given.answer = std::move(answer);
    if (this->load_is_fresh() && this->load->settled)
    {
        batch::admission const decision =
            batch::admit(given.job, this->load->wait);
        if (!decision.accepted)
        {
            this->refuse_unless_stored(std::move(given), decision.retry_after);
            return;
        }
    }
    this->enqueue(std::move(given));
}

void entry::refuse_unless_stored(submission given, milliseconds retry_after)
{
    auto const kept = std::make_shared<submission>(std::move(given));
    this->find_record(
        kept->job.id,
        [self = this->shared_from_this(), kept, retry_after](
            result<stored_record> const& found)
        {
            if (found.has_value() && found.assume_value().known)
            {
                kept->answer(platform::encode_accepted());
                return;
            }
            self->shared.write(
                606,
                "job=" + kept->job.id + " queue=" + kept->job.queue.name +
                    " why=overload load_age_ms=" +
                    std::to_string(
                        (self->shared.now() - self->load_at).count()) +
                    " retry_after_ms=" + std::to_string(retry_after.count()));
            kept->answer(platform::encode_error(
                429, "too much is waiting", retry_after));
        });
}

void entry::enqueue(submission given)
{
    if (this->shared.store_suspect() && !given.relayed)
    {
        this->relay_submission(
            std::move(given),
            {error_code::unavailable, "the store doesn't answer"});
        return;
    }
    this->queue.push_back(std::move(given));
    if (this->committing >= commits_at_once || this->flush_set)
    {
        return;
    }
    this->flush_set = true;
    this->shared.after(gather,
                       [self = this->shared_from_this()]
                       {
                           self->flush_set = false;
                           self->commit_batch();
                       });
}

void entry::commit_batch()
{
    if (this->committing >= commits_at_once || this->queue.empty())
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
        if (sent.size() == jobs_per_commit || !ids.insert(next.job.id).second)
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
    this->committing += 1;
    auto const kept =
        std::make_shared<std::vector<submission>>(std::move(sent));
    this->shared.store.commit(
        change,
        [self = this->shared_from_this(),
         kept](result<platform::kv_commit_result> const& done)
        {
            self->committing -= 1;
            self->take_commit(std::move(*kept), done);
            self->commit_batch();
        });
}

void entry::take_commit(std::vector<submission> sent,
                        result<platform::kv_commit_result> const& done)
{
    this->shared.note_store(done.has_value());
    if (!done.has_value())
    {
        for (submission& each : sent)
        {
            each.doubtful = each.doubtful ||
                            done.assume_error().code == error_code::unknown;
            this->retry(std::move(each), done.assume_error());
        }
        return;
    }
    platform::kv_commit_result const& outcome = done.assume_value();
    if (outcome.outcome == platform::kv_commit_status::committed)
    {
        for (submission const& each : sent)
        {
            this->accept(each, outcome.revision);
        }
        return;
    }
    std::map<std::string, std::int64_t> present; // 0: it has ended
    for (platform::kv_item const& item : outcome.found)
    {
        if (item.revision == 0 || item.deleted)
        {
            continue;
        }
        std::string const job = keys::after(item.key, keys::jobs);
        present[job.empty() ? keys::after(item.key, keys::ends) : job] =
            job.empty() ? 0 : item.revision;
    }
    for (submission& each : sent)
    {
        auto const found = present.find(each.job.id);
        if (found != present.end())
        {
            this->accept(each, found->second);
        }
        else
        {
            this->queue.push_front(std::move(each));
        }
    }
}

/** Peers first; then again here, as long as there is doubt and time. */
void entry::retry(submission given, error const& why)
{
    if (given.relayed)
    {
        given.answer(given.doubtful ? platform::encode_error(504, "no answer")
                                    : unavailable("the store is away"));
        return;
    }
    this->relay_submission(std::move(given), why);
}

void entry::relay_submission(submission given, error const& why)
{
    auto const kept = std::make_shared<submission>(std::move(given));
    this->relay(
        {0, relay_verb::submit, kept->job.id, kept->record},
        [self = this->shared_from_this(), kept, why](relay_reply const& told)
        {
            if (told.outcome == relay_outcome::done)
            {
                kept->answer(platform::encode_accepted());
                return;
            }
            kept->doubtful =
                kept->doubtful || told.outcome == relay_outcome::unknown;
            self->give_up_or_wait(std::move(*kept), why);
        });
}

void entry::give_up_or_wait(submission given, error const& why)
{
    if (!given.doubtful)
    {
        this->shared.write(606,
                           "job=" + given.job.id +
                               " queue=" + given.job.queue.name +
                               " why=\"store " + describe(why) + "\"");
        given.answer(unavailable("the store is away"));
        return;
    }
    if (this->shared.now() + retry_pause < given.give_up)
    {
        auto const kept = std::make_shared<submission>(std::move(given));
        this->shared.after(retry_pause,
                           [self = this->shared_from_this(), kept]
                           {
                               self->enqueue(std::move(*kept));
                           });
        return;
    }
    this->shared.write(
        609, "job=" + given.job.id + " why=\"" + describe(why) + "\"");
    given.answer(platform::encode_error(504, "the store did not answer"));
}

void entry::accept(submission const& given, std::int64_t revision)
{
    this->shared.write(
        607,
        "job=" + given.job.id + " queue=" + given.job.queue.name + " config=" +
            std::to_string(this->shared.config->version) + " took_ms=" +
            std::to_string((this->shared.now() - given.arrived).count()));
    given.answer(platform::encode_accepted());
    // If the message is lost, the placer reads the job from the store.
    this->ports.send_to_placer(job_message{given.record, revision});
}

// ---- counts

void entry::count(platform::caller_call const& call,
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

void entry::take_load(load_message const& told)
{
    if (told.epoch < this->placer_epoch)
    {
        return;
    }
    this->placer_epoch = told.epoch;
    this->load = told.load;
    this->load_at = this->shared.now();
}

bool entry::load_is_fresh() const
{
    return this->load && this->shared.now() < this->load_at + load_age;
}

} // namespace cicada::cell
