#include "cell_impl.hpp"

#include <boost/asio/post.hpp>

namespace cicada::cell
{

namespace
{

constexpr milliseconds advisor_margin{800}; //!< beyond the expected time

} // namespace

bool cell_daemon::impl::send(std::string const& daemon, message const& m)
{
    if (daemon == this->shared.settings.name)
    {
        boost::asio::post(this->shared.loop,
                          [this, daemon, m]
                          {
                              std::visit(
                                  [this, &daemon](auto const& each)
                                  {
                                      this->handle(daemon, each);
                                  },
                                  m);
                          });
        return true;
    }
    if (this->connected_peers.count(daemon) == 0)
    {
        return false;
    }
    this->link.send(daemon, encode(m), std::to_string(m.index()));
    return true;
}

void cell_daemon::impl::send_all(message const& m)
{
    std::string const bytes = encode(m);
    for (std::string const& peer : this->connected_peers)
    {
        this->link.send(peer, bytes, std::to_string(m.index()));
    }
    if (std::holds_alternative<load_message>(m))
    {
        this->handle(this->shared.settings.name, std::get<load_message>(m));
    }
}

bool cell_daemon::impl::send_to_placer(message const& m)
{
    if (this->active_placer)
    {
        return this->send(this->shared.settings.name, m);
    }
    std::string const name = this->placer_name();
    return !name.empty() && this->send(name, m);
}

void cell_daemon::impl::handle_message(std::string const& peer,
                                       std::string const& bytes)
{
    result<message> const read = decode_message(bytes);
    if (!read.has_value())
    {
        this->shared.log_event(events::malformed_link_message,
                               "peer=" + peer + " " +
                                   describe(read.assume_error()));
        return;
    }
    std::visit(
        [this, &peer](auto const& each)
        {
            this->handle(peer, each);
        },
        read.assume_value());
}

void cell_daemon::impl::handle(std::string const&, job_message const& m)
{
    if (this->active_placer)
    {
        this->active_placer->handle_job(m);
    }
}

void cell_daemon::impl::handle(std::string const&, cancel_message const& m)
{
    if (this->active_placer)
    {
        this->active_placer->handle_cancel(m.job);
    }
}

void cell_daemon::impl::handle(std::string const& peer, state_query const& m)
{
    this->send(peer,
               state_reply{m.query,
                           this->active_placer
                               ? this->active_placer->state_of(m.job)
                               : std::nullopt});
}

void cell_daemon::impl::handle(std::string const&, state_reply const& m)
{
    this->api->handle_state_reply(m);
}

void cell_daemon::impl::handle(std::string const&, advice_result const& m)
{
    if (this->active_placer)
    {
        this->active_placer->handle_advice(m.answer);
    }
}

void cell_daemon::impl::handle(std::string const& peer, relay_request const& m)
{
    this->api->serve_relay(peer, m);
}

void cell_daemon::impl::handle(std::string const&, relay_reply const& m)
{
    this->api->handle_relay_reply(m);
}

void cell_daemon::impl::handle(std::string const& peer, load_message const& m)
{
    if (m.epoch >= this->load_epoch)
    {
        this->load_epoch = m.epoch;
        this->load_sender = peer;
        this->load_received_at = this->shared.now();
    }
    this->step_membership(membership::placer_message_received{m.epoch});
    this->api->handle_load(m);
}

void cell_daemon::impl::handle(std::string const&, leaving_message const&)
{
    this->step_membership(membership::placer_leaving{});
}

void cell_daemon::impl::handle(std::string const& peer, advice_request const& m)
{
    batch::advice_answered answer;
    answer.call = m.call.call;
    answer.requester = m.call.requester;
    answer.job = m.call.job;
    answer.step = m.call.step;
    answer.requested = m.call.workers;
    if (!this->advisor)
    {
        this->send(peer, advice_result{answer});
        return;
    }
    this->advisor->call(
        platform::encode_advice(m.call),
        m.call.expected + advisor_margin,
        [this, peer, answer](result<http_reply> const& reply)
        {
            batch::advice_answered completed = answer;
            result<platform::advice_reply> const read =
                platform::decode_advice(reply);
            if (read.has_value())
            {
                completed.answered = true;
                completed.allowed = read.assume_value().allowed;
                completed.validity =
                    read.assume_value().validity.value_or(milliseconds{0});
            }
            else
            {
                this->shared.log_event(events::advice_failed,
                                       "job=" + completed.job + " " +
                                           describe(read.assume_error()));
            }
            this->send(peer, advice_result{completed});
        });
}

} // namespace cicada::cell
