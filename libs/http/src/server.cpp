#include "server_impl.hpp"

#include <boost/asio/ip/tcp.hpp>

namespace cicada
{

namespace
{

constexpr milliseconds accept_pause{50}; //!< after an accept that failed
/** Idle connections with unread bytes that are passed over, at most. */
constexpr int max_idle_checks = 16;

} // namespace

http_server::impl::impl(asio::io_context& loop,
                        http_server_settings given,
                        http_handler given_handler)
    : acceptor(loop), accept_timer(loop), settings(given),
      handler(std::move(given_handler))
{
}

void http_server::impl::accept()
{
    this->acceptor.async_accept(
        [self = this->shared_from_this()](failure const& problem,
                                          asio::ip::tcp::socket socket)
        {
            if (problem == asio::error::operation_aborted || self->draining)
            {
                return;
            }
            if (problem)
            {
                self->accept_later();
                return;
            }
            self->start_connection(std::move(socket));
            self->accept();
        });
}

/** Without a pause, a process without free descriptors would fail to accept the
 * same connection again and again. */
void http_server::impl::accept_later()
{
    this->accept_timer.expires_after(accept_pause);
    this->accept_timer.async_wait(
        [self = this->shared_from_this()](failure const& problem)
        {
            if (!problem && !self->draining)
            {
                self->accept();
            }
        });
}

void http_server::impl::start_connection(asio::ip::tcp::socket socket)
{
    if (this->open.size() >= this->settings.connections)
    {
        this->closed.connections += 1;
        if (!this->close_longest_waiting())
        {
            return;
        }
    }
    failure ignored;
    socket.set_option(asio::ip::tcp::no_delay(true), ignored);
    std::shared_ptr<connection> const accepted =
        std::make_shared<connection>(std::move(socket), shared_from_this());
    this->open.insert(accepted);
    accepted->read();
}

/** Closes one connection that waits for a request or the rest of one; false if
 * there is none. */
bool http_server::impl::close_longest_waiting()
{
    int checked = 0;
    for (auto each = this->idle.begin();
         each != this->idle.end() && checked < max_idle_checks;
         ++each, ++checked)
    {
        if (!each->second->has_unread_bytes())
        {
            each->second->close();
            return true;
        }
    }
    if (this->unfinished.empty())
    {
        return false;
    }
    this->unfinished.begin()->second->close();
    return true;
}

void http_server::impl::enforce_unfinished_bytes()
{
    while (this->exceeds_unfinished_bytes() && !this->unfinished.empty())
    {
        this->closed.unfinished_bytes += 1;
        this->unfinished.begin()->second->close();
    }
}

bool http_server::impl::exceeds_unfinished_bytes() const
{
    return this->settings.unfinished_bytes > 0 &&
           this->bytes > this->settings.unfinished_bytes;
}

/** Accepts what waits in the listen queue: closing the listener would reset
 * those connections. */
void http_server::impl::accept_pending()
{
    failure problem;
    this->acceptor.non_blocking(true, problem);
    while (!problem)
    {
        asio::ip::tcp::socket socket = this->acceptor.accept(problem);
        if (!problem)
        {
            this->start_connection(std::move(socket));
        }
    }
}

http_server::http_server(asio::io_context& loop,
                         http_server_settings settings,
                         http_handler handler)
    : self(std::make_shared<impl>(loop, settings, std::move(handler)))
{
}

http_server::~http_server()
{
    this->drain();
}

result<address> http_server::listen(address const& where)
{
    failure problem;
    asio::ip::tcp::endpoint const endpoint(
        asio::ip::make_address(where.host, problem), where.port);
    if (!problem)
    {
        this->self->acceptor.open(endpoint.protocol(), problem);
    }
    if (!problem)
    {
        this->self->acceptor.set_option(asio::socket_base::reuse_address(true),
                                        problem);
        this->self->acceptor.bind(endpoint, problem);
    }
    if (!problem)
    {
        this->self->acceptor.listen(asio::socket_base::max_listen_connections,
                                    problem);
    }
    if (problem)
    {
        return error{cicada::error_code::unavailable,
                     to_string(where) + ": " + problem.message()};
    }
    this->self->accept();
    return address{where.host,
                   this->self->acceptor.local_endpoint(problem).port()};
}

void http_server::set_bounds(std::size_t header_bytes, std::size_t body_bytes)
{
    this->self->settings.header_bytes = header_bytes;
    this->self->settings.body_bytes = body_bytes;
}

void http_server::set_timeouts(milliseconds header_timeout,
                               milliseconds idle_timeout)
{
    this->self->settings.header_timeout = header_timeout;
    this->self->settings.idle_timeout = idle_timeout;
}

void http_server::drain()
{
    if (this->self->draining)
    {
        return;
    }
    if (this->self->acceptor.is_open())
    {
        this->self->accept_pending();
    }
    this->self->draining = true;
    failure ignored;
    this->self->acceptor.close(ignored);
    this->self->accept_timer.cancel();
    std::set<std::shared_ptr<impl::connection>> const open = this->self->open;
    for (std::shared_ptr<impl::connection> const& each : open)
    {
        each->close_if_idle();
    }
}

std::size_t http_server::in_progress() const
{
    return this->self->in_progress;
}

http_closed_connections const& http_server::closed_connections() const
{
    return this->self->closed;
}

} // namespace cicada
