#include "server_impl.hpp"

#include <algorithm>
#include <cctype>

namespace cicada
{

namespace
{

constexpr milliseconds write_timeout{5000}; //!< for one response
/** Memory of a field besides its text: Beast takes about 80 bytes for a field
 * of three bytes, a node of the handler's map with its strings up to 112. */
constexpr std::size_t field_overhead = 112;
constexpr int bad_request = 400;
constexpr int body_too_large = 413;
constexpr int header_too_large = 431;
constexpr int no_room = 503;
constexpr char const* retry_after_s = "1"; //!< the oldest requests go first

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

} // namespace

http_server::impl::connection::connection(asio::ip::tcp::socket socket,
                                          std::shared_ptr<impl> server)
    : stream(std::move(socket)), owner(std::move(server))
{
}

void http_server::impl::connection::enter(phase next)
{
    this->owner->idle.erase(this->place);
    this->owner->unfinished.erase(this->place);
    this->now = next;
    this->place = ++this->owner->last_place;
    if (next == phase::idle)
    {
        this->owner->idle.emplace(this->place, this);
    }
    if (next == phase::unfinished)
    {
        this->owner->unfinished.emplace(this->place, this);
    }
}

void http_server::impl::connection::set_charge(std::size_t bytes)
{
    this->owner->bytes += bytes - this->charge;
    this->charge = bytes;
}

std::size_t http_server::impl::connection::unfinished_bytes() const
{
    // The parser reserves the whole announced body at once.
    return this->buffer.capacity() + this->parser->get().body().capacity() +
           this->head_bytes + this->head_lines * field_overhead;
}

void http_server::impl::connection::read()
{
    this->parser.emplace();
    this->parser->header_limit(
        static_cast<std::uint32_t>(this->owner->settings.header_bytes));
    this->parser->body_limit(this->owner->settings.body_bytes);
    this->parser->eager(true);
    this->head_bytes = 0;
    this->head_lines = 0;
    this->set_charge(0);
    this->enter(phase::idle);
    if (this->buffer.size() > 0)
    {
        this->begin_request();
        this->parse(this->buffer.size());
        return;
    }
    if (this->buffer.capacity() != this->owner->settings.read_bytes)
    {
        // A long header grew the buffer; idle connections are not charged.
        this->buffer = beast::flat_buffer();
        this->buffer.reserve(this->owner->settings.read_bytes);
    }
    this->stream.expires_after(this->owner->settings.idle_timeout);
    this->read_some();
}

void http_server::impl::connection::close()
{
    this->set_charge(0);
    this->enter(phase::closed);
    failure ignored;
    this->stream.socket().shutdown(asio::ip::tcp::socket::shutdown_both,
                                   ignored);
    this->stream.close();
    this->owner->open.erase(this->shared_from_this());
}

bool http_server::impl::connection::has_unread_bytes()
{
    failure problem;
    return this->stream.socket().available(problem) > 0;
}

void http_server::impl::connection::close_if_idle()
{
    if (this->now == phase::idle && !this->has_unread_bytes())
    {
        this->stream.cancel();
    }
}

void http_server::impl::connection::read_some()
{
    this->stream.async_read_some(
        this->buffer.prepare(this->owner->settings.read_bytes),
        [self = this->shared_from_this()](failure const& problem,
                                          std::size_t count)
        {
            self->on_read(problem, count);
        });
}

void http_server::impl::connection::on_read(failure const& problem,
                                            std::size_t count)
{
    if (this->now == phase::closed)
    {
        return;
    }
    if (problem)
    {
        if (problem == beast::error::timeout)
        {
            this->count_timeout();
        }
        this->close();
        return;
    }
    this->buffer.commit(count);
    if (this->now == phase::idle)
    {
        this->begin_request();
    }
    this->parse(count);
}

void http_server::impl::connection::count_timeout()
{
    if (this->now == phase::unfinished)
    {
        http_closed_connections& closed = this->owner->closed;
        (this->parser->is_header_done() ? closed.request_timeout
                                        : closed.header_timeout) += 1;
    }
}

void http_server::impl::connection::begin_request()
{
    this->enter(phase::unfinished);
    this->began = std::chrono::steady_clock::now();
    this->stream.expires_at(this->began + this->owner->settings.header_timeout);
}

/** Parses the buffer, of which the last `new_bytes` were just read. */
void http_server::impl::connection::parse(std::size_t new_bytes)
{
    if (!this->parser->is_header_done())
    {
        auto const* const end =
            static_cast<char const*>(this->buffer.data().data()) +
            this->buffer.size();
        this->head_bytes += new_bytes;
        this->head_lines +=
            static_cast<std::size_t>(std::count(end - new_bytes, end, '\n'));
    }
    failure problem;
    this->buffer.consume(this->parser->put(this->buffer.data(), problem));
    if (problem == bhttp::error::need_more)
    {
        problem = {};
        // The parser limits a header, but not trailers or chunk extensions.
        if (this->buffer.size() >= this->owner->settings.header_bytes)
        {
            problem = bhttp::error::header_limit;
        }
    }
    if (problem)
    {
        this->refuse(problem);
        return;
    }
    if (this->parser->is_done())
    {
        this->hand_over();
        return;
    }
    if (this->parser->is_header_done())
    {
        this->stream.expires_at(
            this->began + std::max(this->owner->settings.header_timeout,
                                   this->owner->settings.request_timeout));
    }
    this->set_charge(this->unfinished_bytes());
    this->owner->enforce_unfinished_bytes();
    if (this->now != phase::closed)
    {
        this->read_some();
    }
}

void http_server::impl::connection::refuse(failure const& problem)
{
    int status = bad_request;
    http_closed_connections& closed = this->owner->closed;
    if (problem == bhttp::error::body_limit)
    {
        status = body_too_large;
        closed.body_bytes += 1;
    }
    else if (problem == bhttp::error::header_limit)
    {
        status = header_too_large;
        closed.header_bytes += 1;
    }
    else
    {
        closed.malformed += 1;
    }
    this->write({status, {}, ""}, false);
}

void http_server::impl::connection::hand_over()
{
    bhttp::request<bhttp::string_body> message = this->parser->release();
    http_request request;
    request.method = std::string(message.method_string());
    request.target = std::string(message.target());
    std::size_t bytes = request.target.size();
    for (auto const& field : message)
    {
        std::string& value =
            request.fields[to_lower(std::string(field.name_string()))];
        value = std::string(field.value());
        bytes += field_overhead + field.name_string().size() + value.size();
    }
    request.body = std::move(message.body());
    bool const keep = message.keep_alive();
    message = {};
    this->enter(phase::answering);
    this->set_charge(this->buffer.capacity() + request.body.capacity() + bytes);
    this->owner->enforce_unfinished_bytes();
    if (this->owner->exceeds_unfinished_bytes())
    {
        this->owner->closed.unfinished_bytes += 1;
        this->write({no_room, {{"Retry-After", retry_after_s}}, ""}, false);
        return;
    }
    this->stream.expires_never();
    this->owner->in_progress += 1;
    this->owner->handler(
        std::move(request),
        [self = this->shared_from_this(), keep](http_reply reply)
        {
            self->write(std::move(reply), keep, true);
        });
}

void http_server::impl::connection::write(http_reply reply,
                                          bool keep,
                                          bool handled)
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
    this->parser.reset();
    this->enter(phase::answering);
    this->set_charge(this->buffer.capacity() + message.body().capacity());
    this->owner->enforce_unfinished_bytes();
    this->stream.expires_after(write_timeout);
    bhttp::async_write(this->stream,
                       message,
                       [self = this->shared_from_this(), keep_open, handled](
                           failure const& problem, std::size_t)
                       {
                           self->response = {};
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

} // namespace cicada
