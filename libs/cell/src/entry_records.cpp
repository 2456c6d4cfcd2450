#include "entry_parts.hpp"

#include "keys.hpp"

namespace cicada::cell
{

namespace
{

constexpr milliseconds placer_limit{300}; //!< for a state; then the store

} // namespace

// ---- states

void entry::query(std::string const& job, http_responder const& answer)
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
        this->query_store(job, answer);
        return;
    }
    this->queries[number] = {job, answer};
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
    this->query_store(open.job, open.answer);
}

void entry::query_store(std::string const& job, http_responder const& answer)
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
                                  platform::encode_error(410, "no such job"));
                              return;
                          }
                          answer(platform::encode_state(record.state));
                      });
}

void entry::relay_query(std::string const& job, http_responder const& answer)
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
                               ? platform::encode_error(410, "no such job")
                               : unavailable("the store is away"));
                });
}

/**
 * Reads a job's records: its end, its progress, itself. The end is read last
 * again, as it replaces the others while they are read.
 */
void entry::find_record(std::string const& job, record_handler const& then)
{
    std::vector<std::string> const order{keys::ends + job,
                                         keys::progress + job,
                                         keys::jobs + job,
                                         keys::ends + job};
    this->find_record_from(order, 0, then);
}

void entry::find_record_from(std::vector<std::string> const& order,
                             std::size_t at,
                             record_handler const& then)
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

void entry::cancel(platform::caller_call const& call,
                   http_responder const& answer)
{
    instant const give_up = this->shared.now() +
                            call.deadline.value_or(default_deadline) -
                            answer_way;
    if (this->shared.store_suspect())
    {
        this->relay_cancel(call.job, answer, give_up);
        return;
    }
    this->cancel_here(call.job, answer, give_up);
}

void entry::cancel_here(std::string const& job,
                        http_responder const& answer,
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
                answer(platform::encode_error(410, "no such job"));
                return;
            }
            self->store_cancel(job, answer, give_up);
        });
}

void entry::store_cancel(std::string const& job,
                         http_responder const& answer,
                         instant give_up)
{
    platform::kv_transaction change;
    change.writes.push_back({keys::cancels + job, "1", 0});
    this->shared.store.commit(
        change,
        [self = this->shared_from_this(), job, answer, give_up](
            result<platform::kv_commit_result> const& done)
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
                         http_responder const& answer,
                         instant give_up,
                         error const& why)
{
    if (this->shared.now() + retry_pause < give_up)
    {
        this->relay_cancel(job, answer, give_up);
        return;
    }
    this->shared.write(
        609, "job=" + job + " what=cancel why=\"" + describe(why) + "\"");
    answer(platform::encode_error(504, "the store did not answer"));
}

void entry::relay_cancel(std::string const& job,
                         http_responder const& answer,
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
                        answer(platform::encode_error(410, "no such job"));
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

} // namespace cicada::cell
