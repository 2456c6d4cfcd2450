#include "link/link.hpp"

#include "link_core.hpp"

namespace cicada
{

peer_link::peer_link(link_settings settings, link_handlers handlers)
    : inner(std::make_shared<core>(std::move(settings), std::move(handlers)))
{
}

peer_link::~peer_link()
{
    this->stop();
}

std::string peer_link::start()
{
    return this->inner->start();
}

std::uint16_t peer_link::port() const
{
    return this->inner->port();
}

void peer_link::connect(std::string const& peer,
                        std::string const& host,
                        std::uint16_t port)
{
    this->inner->connect(peer, host, port);
}

void peer_link::disconnect(std::string const& peer)
{
    this->inner->disconnect(peer);
}

void peer_link::send(std::string const& peer,
                     std::string bytes,
                     std::string const& kind)
{
    this->inner->send(peer, std::move(bytes), kind);
}

link_counters peer_link::counters() const
{
    return this->inner->counters();
}

void peer_link::stop()
{
    this->inner->stop();
}

} // namespace cicada
