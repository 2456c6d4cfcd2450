#include "worker_connections.hpp"

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

namespace cicada::cell
{

namespace
{

constexpr std::size_t poll_connections = 2; //!< a second one if the first hangs
constexpr std::size_t order_connections = 4; //!< a worker has about 64 in all

} // namespace

worker_connections::worker_connections(boost::asio::io_context& daemon_loop)
    : loop(daemon_loop)
{
}

worker_clients& worker_connections::at(std::string const& worker,
                                       address const& where)
{
    worker_clients& found = this->clients[worker];
    if (found.polls && found.where == where)
    {
        return found;
    }
    this->keep_until_calls_end(found);
    found.where = where;
    found.polls = std::make_shared<http_client>(
        this->loop, where, http_client_settings{poll_connections});
    found.orders = std::make_shared<http_client>(
        this->loop, where, http_client_settings{order_connections});
    return found;
}

void worker_connections::clear()
{
    this->clients.clear();
}

void worker_connections::keep_until_calls_end(worker_clients const& former)
{
    if (!former.polls)
    {
        return;
    }
    auto const timer = std::make_shared<boost::asio::steady_timer>(
        this->loop, max_worker_call);
    timer->async_wait([timer, former](boost::system::error_code const&) {});
}

} // namespace cicada::cell
