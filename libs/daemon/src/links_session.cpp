#include "links_session.hpp"

namespace cicada
{
namespace
{

constexpr int malformed_message_event = 700;

} // namespace

links_session::links_session(loop& run, link_settings const& settings)
    : run(run),
      link(std::make_unique<peer_link>(settings, this->make_handlers()))
{
}

link_handlers links_session::make_handlers()
{
    link_handlers handlers;
    handlers.up = [this](std::string const& peer)
    {
        this->run.post(
            [this, peer]
            {
                this->run.feed(peer_up{daemon_id{peer}});
            });
    };
    handlers.down = [this](std::string const& peer, std::string const&)
    {
        this->run.post(
            [this, peer]
            {
                this->run.feed(peer_down{daemon_id{peer}});
            });
    };
    handlers.message = [this](std::string const& peer, std::string const& bytes)
    {
        this->run.post(
            [this, peer, bytes]
            {
                this->take(peer, bytes);
            });
    };
    return handlers;
}

result<std::uint16_t> links_session::start()
{
    std::string const problem = this->link->start();
    if (!problem.empty())
    {
        return error{error_code::unavailable, problem};
    }
    return this->link->port();
}

void links_session::take(std::string const& peer, std::string const& bytes)
{
    result<std::optional<peer_message>> const read = decode_peer_message(bytes);
    if (!read.has_value())
    {
        this->run.log(malformed_message_event,
                      peer + " " + read.assume_error().message);
        this->link->disconnect(peer);
        return;
    }
    if (read.assume_value())
    {
        this->run.feed(
            peer_message_received{daemon_id{peer}, *read.assume_value()});
    }
}

void links_session::carry_out(send_peer const& effect)
{
    this->link->send(effect.to.value,
                     encode_peer_message(effect.message),
                     kind_of(effect.message));
}

void links_session::carry_out(want_peer const& effect)
{
    if (effect.wanted)
    {
        this->link->connect(effect.peer.name.value,
                            effect.peer.link.host,
                            effect.peer.link.port);
        return;
    }
    this->link->disconnect(effect.peer.name.value);
}

link_counters links_session::counters() const
{
    return this->link->counters();
}

void links_session::stop()
{
    this->link->stop();
}

} // namespace cicada
