#include "publishing/publishing.hpp"

#include "protocol/protocol.hpp"

#include <memory>

namespace cicada
{
namespace
{

constexpr milliseconds call_limit{2'000};
constexpr int most_sendings = 4;
constexpr int most_notes_between = 20;

/** One publishing under way; kept by the handlers of its calls. */
struct publication : std::enable_shared_from_this<publication>
{
    publication(store_client& store,
                publish_request const& asked,
                publish_handler done)
        : client(store), request(asked), handler(std::move(done))
    {
    }

    store_client& client;
    publish_request request;
    publish_handler handler;
    config_snapshot snapshot;
    txn write;
    int sendings = 0;

    void begin();
    void check_id();
    void send();
    void take(txn_answer const& answer);
    void take_refusal(txn_answer const& answer);
    void tell_conflict();
    void finish(publish_outcome outcome, std::string const& message) const;
    void finish_repeated(std::string const& number) const;
};

void publication::finish(publish_outcome outcome,
                         std::string const& message) const
{
    publish_answer answer;
    answer.outcome = outcome;
    answer.message = message;
    answer.number = outcome == publish_outcome::published
                        ? this->snapshot.config.note_number + 1
                        : 0;
    this->handler(answer);
}

void publication::finish_repeated(std::string const& number) const
{
    publish_answer answer;
    bool const is_ours = this->sendings > 1;
    answer.outcome =
        is_ours ? publish_outcome::published : publish_outcome::repeated;
    answer.number = static_cast<std::uint64_t>(parse_count(number).value_or(0));
    this->handler(answer);
}

/** Reads what is in force. */
void publication::begin()
{
    std::shared_ptr<publication> const self = this->shared_from_this();
    this->client.range(
        {config_key},
        call_limit,
        [self](result<range_answer> const& found)
        {
            if (!found.has_value())
            {
                self->finish(publish_outcome::failed,
                             found.assume_error().message);
                return;
            }
            if (!found.assume_value().values.empty())
            {
                key_value const& held = found.assume_value().values.front();
                result<cell_config> const config = decode_config(held.value);
                if (!config.has_value())
                {
                    self->finish(publish_outcome::failed,
                                 config.assume_error().message);
                    return;
                }
                self->snapshot = {config.assume_value(), held.mod_revision};
            }
            self->check_id();
        });
}

/** A note published before is told so, though it no longer applies. */
void publication::check_id()
{
    checked<release_note> const note = parse_note(this->request.text);
    if (!note.has_value())
    {
        publish_answer answer;
        answer.outcome = publish_outcome::refused;
        answer.problems = note.assume_error();
        this->handler(answer);
        return;
    }
    std::string const id =
        publication_id(note.assume_value(), this->request.text);
    std::shared_ptr<publication> const self = this->shared_from_this();
    this->client.range({note_id_key(id)},
                       call_limit,
                       [self](result<range_answer> const& found)
                       {
                           if (!found.has_value())
                           {
                               self->finish(publish_outcome::failed,
                                            found.assume_error().message);
                           }
                           else if (!found.assume_value().values.empty())
                           {
                               self->finish_repeated(
                                   found.assume_value().values[0].value);
                           }
                           else
                           {
                               self->send();
                           }
                       });
}

void publication::send()
{
    std::uint64_t const head = this->snapshot.config.note_number;
    if (this->request.expected_head.value_or(head) != head)
    {
        this->tell_conflict();
        return;
    }
    checked<txn> const made = make_publication(this->snapshot, this->request);
    if (!made.has_value())
    {
        publish_answer answer;
        answer.outcome = publish_outcome::refused;
        answer.problems = made.assume_error();
        this->handler(answer);
        return;
    }
    this->write = made.assume_value();
    this->sendings = 1;
    std::shared_ptr<publication> const self = this->shared_from_this();
    this->client.commit(this->write,
                        call_limit,
                        [self](txn_answer const& answer)
                        {
                            self->take(answer);
                        });
}

void publication::take(txn_answer const& answer)
{
    if (answer.outcome == txn_outcome::done)
    {
        this->finish(publish_outcome::published, "");
        return;
    }
    if (answer.outcome == txn_outcome::refused)
    {
        this->take_refusal(answer);
        return;
    }
    bool const is_unknown =
        answer.outcome == txn_outcome::unknown || this->sendings > 1;
    if (!is_unknown || this->sendings == most_sendings)
    {
        this->finish(is_unknown ? publish_outcome::unknown
                                : publish_outcome::failed,
                     answer.message);
        return;
    }
    ++this->sendings;
    std::shared_ptr<publication> const self = this->shared_from_this();
    this->client.commit(this->write,
                        call_limit,
                        [self](txn_answer const& next)
                        {
                            self->take(next);
                        });
}

void publication::take_refusal(txn_answer const& answer)
{
    for (key_value const& held : answer.existing)
    {
        if (held.key == this->write.puts[1].key)
        {
            this->finish_repeated(held.value);
            return;
        }
    }
    this->tell_conflict();
}

void publication::tell_conflict()
{
    std::shared_ptr<publication> const self = this->shared_from_this();
    std::uint64_t const seen =
        this->request.expected_head.value_or(this->snapshot.config.note_number);
    note_publisher(this->client)
        .list(seen,
              most_notes_between,
              [self](result<std::vector<published_note>> const& notes)
              {
                  publish_answer answer;
                  answer.outcome = publish_outcome::conflict;
                  if (notes.has_value())
                  {
                      answer.since = notes.assume_value();
                  }
                  self->handler(answer);
              });
}

result<std::vector<published_note>>
decode_notes(result<range_answer> const& found)
{
    if (!found.has_value())
    {
        return found.assume_error();
    }
    std::vector<published_note> notes;
    for (key_value const& held : found.assume_value().values)
    {
        result<published_note> const note = decode_published(held.value);
        if (!note.has_value())
        {
            return note.assume_error();
        }
        notes.push_back(note.assume_value());
    }
    return notes;
}

} // namespace

note_publisher::note_publisher(store_client& store) : client(store) {}

void note_publisher::publish(publish_request const& request,
                             publish_handler handler)
{
    std::make_shared<publication>(this->client, request, std::move(handler))
        ->begin();
}

void note_publisher::list(std::uint64_t after, int limit, notes_handler handler)
{
    this->client.range(
        {"cicada/notes/", true, limit, note_key(after)},
        call_limit,
        [done = std::move(handler)](result<range_answer> const& found)
        {
            done(decode_notes(found));
        });
}

} // namespace cicada
