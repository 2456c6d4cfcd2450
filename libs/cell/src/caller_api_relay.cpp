#include "caller_api_common.hpp"

#include "keys.hpp"

namespace cicada::cell
{

namespace
{

constexpr std::size_t max_relay_peers = 3; //!< tried for one request
constexpr milliseconds relay_timeout{450}; //!< then the next peer is tried

} // namespace

void caller_api::relay(relay_request request, relay_handler then)
{
    std::uint64_t const query_id = this->next_query++;
    request.query = query_id;
    this->relays[query_id] = {std::move(request), {}, false, std::move(then)};
    this->relay_to_next(query_id);
}

void caller_api::relay_to_next(std::uint64_t query_id)
{
    auto const found = this->relays.find(query_id);
    if (found == this->relays.end())
    {
        return;
    }
    pending_relay& pending = found->second;
    std::string const peer = pending.tried.size() < max_relay_peers
                                 ? this->ports.next_peer(pending.tried)
                                 : "";
    if (peer.empty())
    {
        relay_handler const then = std::move(pending.then);
        relay_reply failure;
        failure.outcome = pending.outcome_unknown ? relay_outcome::unknown
                                                  : relay_outcome::refused;
        this->relays.erase(found);
        then(failure);
        return;
    }
    pending.tried.insert(peer);
    if (!this->ports.send(peer, pending.request))
    {
        this->relay_to_next(query_id);
        return;
    }
    std::size_t const tries = pending.tried.size();
    this->shared.after(relay_timeout,
                       [self = this->shared_from_this(), query_id, tries]
                       {
                           auto const waiting = self->relays.find(query_id);
                           if (waiting != self->relays.end() &&
                               waiting->second.tried.size() == tries)
                           {
                               waiting->second.outcome_unknown = true;
                               self->relay_to_next(query_id);
                           }
                       });
}

void caller_api::handle_relay_reply(relay_reply const& reply)
{
    auto const found = this->relays.find(reply.query);
    if (found == this->relays.end())
    {
        return;
    }
    pending_relay& pending = found->second;
    bool const conclusive = reply.outcome == relay_outcome::done ||
                            reply.outcome == relay_outcome::absent;
    if (!conclusive)
    {
        pending.outcome_unknown =
            pending.outcome_unknown || reply.outcome == relay_outcome::unknown;
        this->relay_to_next(reply.query);
        return;
    }
    relay_handler const then = std::move(pending.then);
    this->relays.erase(found);
    then(reply);
}

void caller_api::serve_relay(std::string const& peer,
                             relay_request const& request)
{
    relay_reply reply;
    reply.query = request.query;
    auto const answer = [self = this->shared_from_this(), peer, reply](
                            relay_outcome outcome, batch::job_state state)
    {
        relay_reply out = reply;
        out.outcome = outcome;
        out.state = state;
        self->ports.send(peer, out);
    };
    http_responder const answer_by_status = [answer](http_reply const& response)
    {
        relay_outcome const outcome =
            response.status == http_status::ok     ? relay_outcome::done
            : response.status == http_status::gone ? relay_outcome::absent
            : response.status == http_status::service_unavailable
                ? relay_outcome::refused
                : relay_outcome::unknown;
        answer(outcome, batch::job_state::queued);
    };
    if (this->shared.store_failing())
    {
        answer(relay_outcome::refused, batch::job_state::queued);
        return;
    }
    if (request.verb == relay_verb::cancel)
    {
        this->cancel_locally(request.job, answer_by_status, this->shared.now());
        return;
    }
    if (request.verb == relay_verb::query)
    {
        this->find_record(
            request.job,
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
    result<batch::job> read = batch::decode_job(request.record);
    if (!read.has_value())
    {
        this->shared.log_event(events::malformed_link_message,
                               "peer=" + peer + " " +
                                   describe(read.assume_error()));
        answer(relay_outcome::refused, batch::job_state::queued);
        return;
    }
    submission submitted;
    submitted.job = std::move(read.assume_value());
    submitted.record = request.record;
    submitted.arrived = this->shared.now();
    submitted.deadline = submitted.arrived;
    submitted.from_peer = true;
    submitted.answer = answer_by_status;
    this->enqueue(std::move(submitted));
}

} // namespace cicada::cell
