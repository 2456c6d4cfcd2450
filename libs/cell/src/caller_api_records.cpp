#include "caller_api_common.hpp"

#include "keys.hpp"

#include <algorithm>

namespace cicada::cell
{

namespace
{

constexpr milliseconds placer_reply_timeout{300}; //!< then the store is read

} // namespace

// ---- states

void caller_api::query(std::string const& job, http_responder const& answer)
{
    std::optional<batch::job_state> const own = this->ports.local_state(job);
    if (own)
    {
        answer(platform::encode_state(*own));
        return;
    }
    std::uint64_t const query_id = this->next_query++;
    if (!this->ports.send_to_placer(state_query{query_id, job}))
    {
        this->query_store(job, answer);
        return;
    }
    this->queries[query_id] = {job, answer};
    this->shared.after(placer_reply_timeout,
                       [self = this->shared_from_this(), query_id]
                       {
                           self->handle_state_reply({query_id, std::nullopt});
                       });
}

void caller_api::handle_state_reply(state_reply const& reply)
{
    auto const found = this->queries.find(reply.query);
    if (found == this->queries.end())
    {
        return;
    }
    pending_query pending = std::move(found->second);
    this->queries.erase(found);
    if (reply.state)
    {
        pending.answer(platform::encode_state(*reply.state));
        return;
    }
    this->query_store(pending.job, pending.answer);
}

void caller_api::query_store(std::string const& job,
                             http_responder const& answer)
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
                              answer(platform::encode_error(http_status::gone,
                                                            "no such job"));
                              return;
                          }
                          answer(platform::encode_state(record.state));
                      });
}

void caller_api::relay_query(std::string const& job,
                             http_responder const& answer)
{
    this->relay({0, relay_verb::query, job, ""},
                [answer](relay_reply const& reply)
                {
                    if (reply.outcome == relay_outcome::done)
                    {
                        answer(platform::encode_state(reply.state));
                        return;
                    }
                    answer(reply.outcome == relay_outcome::absent
                               ? platform::encode_error(http_status::gone,
                                                        "no such job")
                               : unavailable("the store is away"));
                });
}

/**
 * Reads a job's end, its progress and the job itself, until one exists. The
 * end is read a second time, as it may replace the others between the reads.
 */
void caller_api::find_record(std::string const& job, record_handler const& then)
{
    std::vector<std::string> const record_keys{keys::ends + job,
                                               keys::progress + job,
                                               keys::jobs + job,
                                               keys::ends + job};
    this->find_record_from(record_keys, 0, then);
}

void caller_api::find_record_from(std::vector<std::string> const& record_keys,
                                  std::size_t index,
                                  record_handler const& then)
{
    if (index == record_keys.size())
    {
        then(stored_record{});
        return;
    }
    this->shared.store.get(
        record_keys[index],
        [self = this->shared_from_this(), record_keys, index, then](
            result<platform::kv_item> const& item)
        {
            if (!item.has_value())
            {
                then(item.assume_error());
                return;
            }
            platform::kv_item const& found = item.assume_value();
            if (found.value == keys::cancel_mark)
            {
                then(stored_record{false, true});
                return;
            }
            if (found.revision == 0)
            {
                self->find_record_from(record_keys, index + 1, then);
                return;
            }
            stored_record record;
            record.known = true;
            bool const has_state =
                keys::strip_prefix(record_keys[index], keys::jobs).empty();
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

void caller_api::cancel(platform::caller_call const& call,
                        http_responder const& answer)
{
    instant const deadline = this->shared.now() +
                             call.deadline.value_or(default_deadline) -
                             answer_margin;
    if (this->shared.store_failing())
    {
        this->relay_cancel(call.job, answer, deadline);
        return;
    }
    this->cancel_locally(call.job, answer, deadline);
}

void caller_api::cancel_locally(std::string const& job,
                                http_responder const& answer,
                                instant deadline)
{
    this->find_record(job,
                      [self = this->shared_from_this(), job, answer, deadline](
                          result<stored_record> const& found)
                      {
                          if (!found.has_value())
                          {
                              self->handle_cancel_failure(
                                  job, answer, deadline, found.assume_error());
                              return;
                          }
                          if (found.assume_value().cancelled_early)
                          {
                              answer(platform::encode_error(http_status::gone,
                                                            "no such job"));
                              return;
                          }
                          if (!found.assume_value().known)
                          {
                              self->mark_cancelled(job, answer, deadline);
                              return;
                          }
                          self->store_cancel(job, answer, deadline);
                      });
}

/** Without the mark, a submission that is still on its way would be stored and
 * run after the answer: one that a daemon holds or relays, or whose transaction
 * the store executes late. */
void caller_api::mark_cancelled(std::string const& job,
                                http_responder const& answer,
                                instant deadline)
{
    platform::kv_transaction change;
    change.conditions.push_back({keys::jobs + job, 0});
    change.conditions.push_back({keys::ends + job, 0});
    change.writes.push_back({keys::ends + job, keys::cancel_mark, 0});
    this->commit_cancel(
        change,
        job,
        answer,
        deadline,
        [self = this->shared_from_this(), job, answer, deadline](
            platform::kv_commit_result const& outcome)
        {
            if (outcome.outcome != platform::kv_commit_status::committed)
            {
                self->handle_mark_conflict(
                    outcome.found, job, answer, deadline);
                return;
            }
            self->shared.log_event(events::cancel_submitted,
                                   "job=" + job + " known=no");
            answer(platform::encode_error(http_status::gone, "no such job"));
        });
}

/** The job was stored, or another cancellation of it, since it was looked for.
 */
void caller_api::handle_mark_conflict(
    std::vector<platform::kv_item> const& found,
    std::string const& job,
    http_responder const& answer,
    instant deadline)
{
    bool const marked = std::any_of(found.begin(),
                                    found.end(),
                                    [&job](platform::kv_item const& item)
                                    {
                                        return item.key == keys::ends + job &&
                                               !item.deleted &&
                                               item.value == keys::cancel_mark;
                                    });
    if (marked)
    {
        answer(platform::encode_error(http_status::gone, "no such job"));
        return;
    }
    this->store_cancel(job, answer, deadline);
}

void caller_api::store_cancel(std::string const& job,
                              http_responder const& answer,
                              instant deadline)
{
    platform::kv_transaction change;
    change.conditions.push_back({keys::ends + job, 0});
    change.writes.push_back({keys::cancels + job, "1", 0});
    this->commit_cancel(
        change,
        job,
        answer,
        deadline,
        [self = this->shared_from_this(), job, answer](
            platform::kv_commit_result const& outcome)
        {
            if (outcome.outcome == platform::kv_commit_status::committed)
            {
                self->shared.log_event(events::cancel_submitted, "job=" + job);
                self->ports.send_to_placer(cancel_message{job});
            }
            // Otherwise the job has ended, and nothing is left to cancel.
            answer(platform::encode_accepted());
        });
}

void caller_api::commit_cancel(platform::kv_transaction const& change,
                               std::string const& job,
                               http_responder const& answer,
                               instant deadline,
                               commit_handler const& then)
{
    this->shared.store.commit(
        change,
        [self = this->shared_from_this(),
         job,
         answer,
         deadline,
         then,
         call = store_call{"what=cancel job=" + job, this->shared.now()}](
            result<platform::kv_commit_result> const& reply)
        {
            self->shared.record_store_call(call, reply);
            if (!reply.has_value())
            {
                self->handle_cancel_failure(
                    job, answer, deadline, reply.assume_error());
                return;
            }
            then(reply.assume_value());
        });
}

/** Cancelling is idempotent, so it is relayed even if the write may have
 * succeeded. */
void caller_api::handle_cancel_failure(std::string const& job,
                                       http_responder const& answer,
                                       instant deadline,
                                       error const& why)
{
    if (this->shared.now() + retry_pause < deadline)
    {
        this->relay_cancel(job, answer, deadline);
        return;
    }
    this->shared.log_event(events::job_outcome_unknown,
                           "job=" + job + " what=cancel why=\"" +
                               describe(why) + "\"");
    answer(platform::encode_error(http_status::gateway_timeout,
                                  "the store did not answer"));
}

void caller_api::relay_cancel(std::string const& job,
                              http_responder const& answer,
                              instant deadline)
{
    this->relay(
        {0, relay_verb::cancel, job, ""},
        [self = this->shared_from_this(), job, answer, deadline](
            relay_reply const& reply)
        {
            if (reply.outcome == relay_outcome::done)
            {
                answer(platform::encode_accepted());
                return;
            }
            if (reply.outcome == relay_outcome::absent)
            {
                answer(
                    platform::encode_error(http_status::gone, "no such job"));
                return;
            }
            if (self->shared.now() + retry_pause >= deadline)
            {
                answer(unavailable("the store is away"));
                return;
            }
            self->shared.after(retry_pause,
                               [self, job, answer, deadline]
                               {
                                   self->cancel_locally(job, answer, deadline);
                               });
        });
}

} // namespace cicada::cell
