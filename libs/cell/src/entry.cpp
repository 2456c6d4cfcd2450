#include "entry.hpp"

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
constexpr milliseconds default_deadline{3000};
constexpr milliseconds answer_way{40}; //!< kept for the answer's way back
constexpr milliseconds retry_pause{60};

constexpr std::size_t relay_peers = 3;     //!< asked in turn
constexpr milliseconds relay_limit{450};   //!< then the next peer
constexpr milliseconds placer_limit{300};  //!< for a state; then the store
constexpr milliseconds load_age{1500};     //!< counts may be 2 s old
constexpr milliseconds outage_retry{1000}; //!< Retry-After with no store
constexpr milliseconds unserved_retry{30'000};

http_reply unavailable(std::string const& why)
{
    return platform::encode_refusal(503, why, outage_retry);
}

} // namespace

entry::entry(context& given, entry_ports outside)
    : shared(given), ports(std::move(outside))
{
}

void entry::handle(http_request request, http_answer answer)
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
        answer(platform::encode_refusal(404, "no such queue"));
        return;
    }
    switch (call->verb)
    {
    case platform::caller_verb::submit:
        this->submit(*call, request, std::move(answer));
        return;
    case platform::caller_verb::query:
        this->query(call->job, std::move(answer));
        return;
    case platform::caller_verb::cancel:
        this->cancel(*call, std::move(answer));
        return;
    case platform::caller_verb::count:
        this->count(*call, std::move(answer));
        return;
    case platform::caller_verb::readiness:
    case platform::caller_verb::unsupported:
        answer(platform::encode_refusal(405, "no such method"));
        return;
    }
}

// ---- jobs

void entry::submit(platform::caller_call const& call,
                   http_request const& request,
                   http_answer answer)
{
    result<batch::job> read = platform::decode_job(request.body, call);
    if (!read.has_value())
    {
        bool const unserved = read.assume_error().code == error_code::refused;
        this->shared.write(606,
                           "job=" + call.job + " queue=" + call.queue.name +
                               " why=\"" + read.assume_error().message + "\"");
        answer(unserved ? platform::encode_refusal(
                              503, read.assume_error().message, unserved_retry)
                        : platform::encode_refusal(
                              400, read.assume_error().message));
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
            kept->answer(platform::encode_refusal(
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
    this->shared.store.commit(change,
                              [self = this->shared_from_this(),
                               kept](result<platform::kv_committed> const& done)
                              {
                                  self->committing -= 1;
                                  self->take_commit(std::move(*kept), done);
                                  self->commit_batch();
                              });
}

void entry::take_commit(std::vector<submission> sent,
                        result<platform::kv_committed> const& done)
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
    platform::kv_committed const& outcome = done.assume_value();
    if (outcome.outcome == platform::kv_commit::committed)
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
        given.answer(given.doubtful ? platform::encode_refusal(504, "no answer")
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
    given.answer(platform::encode_refusal(504, "the store did not answer"));
}

// ---- peers

void entry::relay(relay_request request, relay_handler then)
{
    std::uint64_t const number = this->next_query++;
    request.query = number;
    this->relays[number] = {std::move(request), {}, false, std::move(then)};
    this->relay_to_next(number);
}

void entry::relay_to_next(std::uint64_t number)
{
    auto const found = this->relays.find(number);
    if (found == this->relays.end())
    {
        return;
    }
    open_relay& open = found->second;
    std::string const peer = open.tried.size() < relay_peers
                                 ? this->ports.next_peer(open.tried)
                                 : "";
    if (peer.empty())
    {
        relay_handler const then = std::move(open.then);
        relay_reply none;
        none.outcome =
            open.doubtful ? relay_outcome::unknown : relay_outcome::refused;
        this->relays.erase(found);
        then(none);
        return;
    }
    open.tried.insert(peer);
    if (!this->ports.send(peer, open.request))
    {
        this->relay_to_next(number);
        return;
    }
    std::size_t const tries = open.tried.size();
    this->shared.after(relay_limit,
                       [self = this->shared_from_this(), number, tries]
                       {
                           auto const late = self->relays.find(number);
                           if (late != self->relays.end() &&
                               late->second.tried.size() == tries)
                           {
                               late->second.doubtful = true;
                               self->relay_to_next(number);
                           }
                       });
}

void entry::take_relay(relay_reply const& told)
{
    auto const found = this->relays.find(told.query);
    if (found == this->relays.end())
    {
        return;
    }
    open_relay& open = found->second;
    bool const settled = told.outcome == relay_outcome::done ||
                         told.outcome == relay_outcome::absent;
    if (!settled)
    {
        open.doubtful = open.doubtful || told.outcome == relay_outcome::unknown;
        this->relay_to_next(told.query);
        return;
    }
    relay_handler const then = std::move(open.then);
    this->relays.erase(found);
    then(told);
}

void entry::serve_relay(std::string const& peer, relay_request const& asked)
{
    relay_reply reply;
    reply.query = asked.query;
    auto const answer = [self = this->shared_from_this(), peer, reply](
                            relay_outcome outcome, batch::job_state state)
    {
        relay_reply told = reply;
        told.outcome = outcome;
        told.state = state;
        self->ports.send(peer, told);
    };
    http_answer const by_status = [answer](http_reply const& got)
    {
        relay_outcome const outcome =
            got.status == 200   ? relay_outcome::done
            : got.status == 410 ? relay_outcome::absent
            : got.status == 503 ? relay_outcome::refused
                                : relay_outcome::unknown;
        answer(outcome, batch::job_state::queued);
    };
    if (this->shared.store_suspect())
    {
        answer(relay_outcome::refused, batch::job_state::queued);
        return;
    }
    if (asked.verb == relay_verb::cancel)
    {
        this->cancel_here(asked.job, by_status, this->shared.now());
        return;
    }
    if (asked.verb == relay_verb::query)
    {
        this->find_record(
            asked.job,
            [answer](result<stored_record> const& found)
            {
                if (!found.has_value())
                {
                    answer(relay_outcome::refused, batch::job_state::queued);
                    return;
                }
                stored_record const& record = found.assume_value();
                answer(record.known ? relay_outcome::done
                                    : relay_outcome::absent,
                       record.state);
            });
        return;
    }
    result<batch::job> read = batch::decode_job(asked.record);
    if (!read.has_value())
    {
        this->shared.write(
            700, "peer=" + peer + " " + describe(read.assume_error()));
        answer(relay_outcome::refused, batch::job_state::queued);
        return;
    }
    submission given;
    given.job = std::move(read.assume_value());
    given.record = asked.record;
    given.arrived = this->shared.now();
    given.give_up = given.arrived;
    given.relayed = true;
    given.answer = by_status;
    this->enqueue(std::move(given));
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

// ---- states

void entry::query(std::string const& job, http_answer answer)
{
    std::optional<batch::job_state> const own = this->ports.own_state(job);
    if (own)
    {
        answer(platform::encode_state(*own));
        return;
    }
    std::uint64_t const number = this->next_query++;
    if (!this->ports.send_to_placer(state_query{number, job}))
    {
        this->query_store(job, std::move(answer));
        return;
    }
    this->queries[number] = {job, std::move(answer)};
    this->shared.after(placer_limit,
                       [self = this->shared_from_this(), number]
                       {
                           self->take_state({number, std::nullopt});
                       });
}

void entry::take_state(state_reply const& told)
{
    auto const found = this->queries.find(told.query);
    if (found == this->queries.end())
    {
        return;
    }
    open_query open = std::move(found->second);
    this->queries.erase(found);
    if (told.state)
    {
        open.answer(platform::encode_state(*told.state));
        return;
    }
    this->query_store(open.job, std::move(open.answer));
}

void entry::query_store(std::string const& job, http_answer answer)
{
    this->find_record(job,
                      [self = this->shared_from_this(), job, answer](
                          result<stored_record> const& found)
                      {
                          if (!found.has_value())
                          {
                              self->relay_query(job, answer);
                              return;
                          }
                          stored_record const& record = found.assume_value();
                          if (!record.known)
                          {
                              answer(
                                  platform::encode_refusal(410, "no such job"));
                              return;
                          }
                          answer(platform::encode_state(record.state));
                      });
}

void entry::relay_query(std::string const& job, http_answer answer)
{
    this->relay({0, relay_verb::query, job, ""},
                [answer](relay_reply const& told)
                {
                    if (told.outcome == relay_outcome::done)
                    {
                        answer(platform::encode_state(told.state));
                        return;
                    }
                    answer(told.outcome == relay_outcome::absent
                               ? platform::encode_refusal(410, "no such job")
                               : unavailable("the store is away"));
                });
}

/**
 * Reads a job's records: its end, its progress, itself. The end is read last
 * again, as it replaces the others while they are read.
 */
void entry::find_record(std::string const& job,
                        std::function<void(result<stored_record>)> then)
{
    std::vector<std::string> const order{keys::ends + job,
                                         keys::progress + job,
                                         keys::jobs + job,
                                         keys::ends + job};
    this->find_record_from(order, 0, std::move(then));
}

void entry::find_record_from(std::vector<std::string> const& order,
                             std::size_t at,
                             std::function<void(result<stored_record>)> then)
{
    if (at == order.size())
    {
        then(stored_record{});
        return;
    }
    this->shared.store.get(order[at],
                           [self = this->shared_from_this(), order, at, then](
                               result<platform::kv_item> const& item)
                           {
                               if (!item.has_value())
                               {
                                   then(item.assume_error());
                                   return;
                               }
                               platform::kv_item const& found =
                                   item.assume_value();
                               if (found.revision == 0)
                               {
                                   self->find_record_from(order, at + 1, then);
                                   return;
                               }
                               stored_record record;
                               record.known = true;
                               bool const has_state =
                                   keys::after(order[at], keys::jobs).empty();
                               if (has_state)
                               {
                                   result<batch::job_progress> const read =
                                       batch::decode_progress(found.value);
                                   if (!read.has_value())
                                   {
                                       then(read.assume_error());
                                       return;
                                   }
                                   record.state = read.assume_value().state;
                               }
                               then(record);
                           });
}

// ---- cancellations

void entry::cancel(platform::caller_call const& call, http_answer answer)
{
    instant const give_up = this->shared.now() +
                            call.deadline.value_or(default_deadline) -
                            answer_way;
    if (this->shared.store_suspect())
    {
        this->relay_cancel(call.job, std::move(answer), give_up);
        return;
    }
    this->cancel_here(call.job, std::move(answer), give_up);
}

void entry::cancel_here(std::string const& job,
                        http_answer answer,
                        instant give_up)
{
    this->find_record(
        job,
        [self = this->shared_from_this(), job, answer, give_up](
            result<stored_record> const& found)
        {
            if (!found.has_value())
            {
                self->retry_cancel(job, answer, give_up, found.assume_error());
                return;
            }
            if (!found.assume_value().known)
            {
                answer(platform::encode_refusal(410, "no such job"));
                return;
            }
            self->store_cancel(job, answer, give_up);
        });
}

void entry::store_cancel(std::string const& job,
                         http_answer answer,
                         instant give_up)
{
    platform::kv_transaction change;
    change.writes.push_back({keys::cancels + job, "1", 0});
    this->shared.store.commit(
        change,
        [self = this->shared_from_this(), job, answer, give_up](
            result<platform::kv_committed> const& done)
        {
            self->shared.note_store(done.has_value());
            if (!done.has_value())
            {
                self->retry_cancel(job, answer, give_up, done.assume_error());
                return;
            }
            self->shared.write(608, "job=" + job);
            self->ports.send_to_placer(cancel_message{job});
            answer(platform::encode_accepted());
        });
}

/** A cancellation may be made twice, so peers are asked without more ado. */
void entry::retry_cancel(std::string const& job,
                         http_answer answer,
                         instant give_up,
                         error const& why)
{
    if (this->shared.now() + retry_pause < give_up)
    {
        this->relay_cancel(job, std::move(answer), give_up);
        return;
    }
    this->shared.write(
        609, "job=" + job + " what=cancel why=\"" + describe(why) + "\"");
    answer(platform::encode_refusal(504, "the store did not answer"));
}

void entry::relay_cancel(std::string const& job,
                         http_answer answer,
                         instant give_up)
{
    this->relay({0, relay_verb::cancel, job, ""},
                [self = this->shared_from_this(), job, answer, give_up](
                    relay_reply const& told)
                {
                    if (told.outcome == relay_outcome::done)
                    {
                        answer(platform::encode_accepted());
                        return;
                    }
                    if (told.outcome == relay_outcome::absent)
                    {
                        answer(platform::encode_refusal(410, "no such job"));
                        return;
                    }
                    if (self->shared.now() + retry_pause >= give_up)
                    {
                        answer(unavailable("the store is away"));
                        return;
                    }
                    self->shared.after(retry_pause,
                                       [self, job, answer, give_up]
                                       {
                                           self->cancel_here(
                                               job, answer, give_up);
                                       });
                });
}

// ---- counts

void entry::count(platform::caller_call const& call, http_answer answer)
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
