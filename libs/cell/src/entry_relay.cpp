#include "entry_parts.hpp"

#include "keys.hpp"

namespace cicada::cell
{

namespace
{

constexpr std::size_t relay_peers = 3;   //!< asked in turn
constexpr milliseconds relay_limit{450}; //!< then the next peer

} // namespace

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
    http_responder const by_status = [answer](http_reply const& got)
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

} // namespace cicada::cell
