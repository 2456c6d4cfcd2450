#include "http/http.hpp"

#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>

#include <algorithm>
#include <cctype>
#include <optional>
#include <set>

namespace cicada
{

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace bhttp = boost::beast::http;
using failure = boost::system::error_code;

namespace
{

constexpr milliseconds write_timeout{5000}; //!< for one response

std::string to_lower(std::string text)
{
    std::transform(text.begin(),
                   text.end(),
                   text.begin(),
                   [](unsigned char c)
                   {
                       return static_cast<char>(std::tolower(c));
                   });
    return text;
}

int status_of(failure const& problem)
{
    if (problem == bhttp::error::body_limit)
    {
        return 413;
    }
    return problem == bhttp::error::header_limit ? 431 : 400;
}

bool is_malformed(failure const& problem)
{
    return problem.category() ==
               bhttp::make_error_code(bhttp::error::bad_method).category() &&
           problem != bhttp::error::end_of_stream &&
           problem != bhttp::error::partial_message;
}

} // namespace

struct http_server::impl : std::enable_shared_from_this<http_server::impl>
{
    class connection;

    impl(asio::io_context& loop,
         http_server_settings given,
         http_handler given_handler)
        : acceptor(loop), settings(given), handler(std::move(given_handler))
    {
    }

    void accept();
    void start_connection(asio::ip::tcp::socket socket);
    void accept_pending();

    asio::ip::tcp::acceptor acceptor;
    http_server_settings settings;
    http_handler handler;
    std::set<std::shared_ptr<connection>> open;
    std::size_t in_progress = 0;
    bool draining = false;
};

/** One accepted connection; handles one request at a time. */
class http_server::impl::connection
    : public std::enable_shared_from_this<connection>
{
public:
    connection(asio::ip::tcp::socket socket, std::shared_ptr<impl> server)
        : stream(std::move(socket)), owner(std::move(server))
    {
        this->buffer.reserve(this->owner->settings.read_bytes);
    }

    void read()
    {
        this->parser.emplace();
        this->parser->header_limit(
            static_cast<std::uint32_t>(this->owner->settings.header_bytes));
        this->parser->body_limit(this->owner->settings.body_bytes);
        this->stream.expires_after(this->owner->settings.idle_timeout);
        this->reading = true;
        bhttp::async_read(this->stream,
                          this->buffer,
                          *this->parser,
                          [self = this->shared_from_this()](
                              failure const& problem, std::size_t)
                          {
                              self->reading = false;
                              self->on_read(problem);
                          });
    }

    void close()
    {
        failure ignored;
        this->stream.socket().shutdown(asio::ip::tcp::socket::shutdown_both,
                                       ignored);
        this->stream.close();
        this->owner->open.erase(this->shared_from_this());
    }

    /** Closes unless a byte of a request was read or waits in the socket. */
    void close_if_idle()
    {
        failure problem;
        bool const unread = this->stream.socket().available(problem) > 0;
        if (this->reading && !this->parser->got_some() &&
            this->buffer.size() == 0 && !unread)
        {
            this->stream.cancel();
        }
    }

private:
    void on_read(failure const& problem)
    {
        if (problem)
        {
            if (is_malformed(problem))
            {
                this->write({status_of(problem), {}, ""}, false);
                return;
            }
            this->close();
            return;
        }
        bhttp::request<bhttp::string_body> message = this->parser->release();
        http_request request;
        request.method = std::string(message.method_string());
        request.target = std::string(message.target());
        for (auto const& field : message)
        {
            request.fields[to_lower(std::string(field.name_string()))] =
                std::string(field.value());
        }
        request.body = std::move(message.body());
        bool const keep = message.keep_alive();
        this->stream.expires_never();
        this->owner->in_progress += 1;
        this->owner->handler(
            std::move(request),
            [self = this->shared_from_this(), keep](http_reply reply)
            {
                self->write(std::move(reply), keep, true);
            });
    }

    void write(http_reply reply, bool keep, bool handled = false)
    {
        bhttp::response<bhttp::string_body>& message = this->response;
        message = {};
        message.version(11);
        message.result(static_cast<unsigned>(reply.status));
        for (auto const& field : reply.fields)
        {
            message.set(field.first, field.second);
        }
        message.body() = std::move(reply.body);
        bool const keep_open = keep && !this->owner->draining;
        message.keep_alive(keep_open);
        message.prepare_payload();
        this->stream.expires_after(write_timeout);
        bhttp::async_write(
            this->stream,
            message,
            [self = this->shared_from_this(), keep_open, handled](
                failure const& problem, std::size_t)
            {
                if (handled)
                {
                    self->owner->in_progress -= 1;
                }
                if (problem || !keep_open || self->owner->draining)
                {
                    self->close();
                    return;
                }
                self->read();
            });
    }

    /** Makes the protected got_some() accessible. */
    class request_parser : public bhttp::request_parser<bhttp::string_body>
    {
    public:
        bool got_some() const
        {
            return bhttp::request_parser<bhttp::string_body>::got_some();
        }
    };

    beast::tcp_stream stream;
    std::shared_ptr<impl> owner;
    beast::flat_buffer buffer;
    std::optional<request_parser> parser;
    bhttp::response<bhttp::string_body> response;
    bool reading = false;
};

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
            if (!problem)
            {
                self->start_connection(std::move(socket));
            }
            self->accept();
        });
}

void http_server::impl::start_connection(asio::ip::tcp::socket socket)
{
    if (this->open.size() >= this->settings.connections)
    {
        return;
    }
    failure ignored;
    socket.set_option(asio::ip::tcp::no_delay(true), ignored);
    std::shared_ptr<connection> const accepted =
        std::make_shared<connection>(std::move(socket), shared_from_this());
    this->open.insert(accepted);
    accepted->read();
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

} // namespace cicada
