#include "http/http.hpp"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>

#include <algorithm>
#include <deque>
#include <optional>
#include <sys/socket.h>

#include <netinet/in.h>
#include <netinet/tcp.h>

namespace cicada
{

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace bhttp = boost::beast::http;
using failure = boost::system::error_code;
using clock = std::chrono::steady_clock;

namespace
{

/** A call that waits for a connection or is in progress. */
struct pending_call
{
    http_request request;
    clock::time_point called_at;
    clock::time_point deadline;
    http_callback callback;
};

} // namespace

struct http_client::impl : std::enable_shared_from_this<http_client::impl>
{
    class connection;

    impl(asio::io_context& given, address to, http_client_settings limits)
        : loop(given), where(std::move(to)), settings(limits),
          expiry_timer(given)
    {
    }

    void start_waiting_calls();
    void close_idle_since_before(clock::time_point when);
    void schedule_expiry();
    void fail_expired();

    asio::io_context& loop;
    address where;
    http_client_settings settings;
    std::vector<std::shared_ptr<connection>> idle;
    std::size_t open = 0;
    std::deque<pending_call> waiting;
    asio::steady_timer expiry_timer;
    bool closed = false;
};

/** One pooled connection; carries one call at a time. */
class http_client::impl::connection
    : public std::enable_shared_from_this<connection>
{
public:
    explicit connection(std::shared_ptr<impl> client)
        : owner(std::move(client)), stream(this->owner->loop)
    {
        this->owner->open += 1;
        // Beast limits a read to the buffer's spare capacity, at least 512.
        this->buffer.reserve(this->owner->settings.read_bytes);
    }

    ~connection()
    {
        this->owner->open -= 1;
    }

    connection(connection const&) = delete;
    connection& operator=(connection const&) = delete;

    void connect(pending_call call)
    {
        this->current = std::move(call);
        this->started_at = clock::now();
        failure problem;
        asio::ip::tcp::endpoint const to(
            asio::ip::make_address(this->owner->where.host, problem),
            this->owner->where.port);
        if (problem)
        {
            this->fail(error_code::unavailable, problem);
            return;
        }
        this->stream.expires_at(
            std::min(this->current->deadline,
                     clock::now() + this->owner->settings.connect_timeout));
        this->stream.async_connect(
            to,
            [self = this->shared_from_this()](failure const& failed)
            {
                if (failed)
                {
                    self->fail(error_code::unavailable, failed);
                    return;
                }
                self->set_socket_options();
                self->send();
            });
    }

    void reuse(pending_call call)
    {
        this->current = std::move(call);
        this->started_at = clock::now();
        this->reused = true;
        this->send();
    }

    void close()
    {
        this->stream.close();
    }

    clock::time_point last_used() const
    {
        return this->last_answer_at;
    }

private:
    void set_socket_options()
    {
        failure ignored;
        this->stream.socket().set_option(asio::ip::tcp::no_delay(true),
                                         ignored);
        unsigned const timeout_ms = static_cast<unsigned>(
            this->owner->settings.connect_timeout.count());
        // Without it, a write to an unreachable peer hangs for minutes.
        ::setsockopt(this->stream.socket().native_handle(),
                     IPPROTO_TCP,
                     TCP_USER_TIMEOUT,
                     &timeout_ms,
                     sizeof timeout_ms);
    }

    void send()
    {
        // The process may have been paused since the call was made.
        if (this->current->deadline <= clock::now())
        {
            this->fail(error_code::unavailable, asio::error::timed_out);
            return;
        }
        this->message = {};
        this->message.version(11);
        this->message.method_string(this->current->request.method);
        this->message.target(this->current->request.target);
        this->message.set(bhttp::field::host, to_string(this->owner->where));
        for (auto const& field : this->current->request.fields)
        {
            this->message.set(field.first, field.second);
        }
        this->message.body() = std::move(this->current->request.body);
        this->message.prepare_payload();
        this->stream.expires_at(this->current->deadline);
        bhttp::async_write(this->stream,
                           this->message,
                           [self = this->shared_from_this()](
                               failure const& failed, std::size_t sent)
                           {
                               if (failed)
                               {
                                   error_code const code =
                                       sent == 0 ? error_code::unavailable
                                                 : error_code::unknown;
                                   self->fail(code, failed);
                                   return;
                               }
                               self->receive();
                           });
    }

    void receive()
    {
        this->parser.emplace();
        this->parser->body_limit(this->owner->settings.response_body_bytes);
        bhttp::async_read(this->stream,
                          this->buffer,
                          *this->parser,
                          [self = this->shared_from_this()](
                              failure const& failed, std::size_t)
                          {
                              if (failed)
                              {
                                  self->fail(error_code::unknown, failed);
                                  return;
                              }
                              self->handle_response();
                          });
    }

    void handle_response()
    {
        bhttp::response<bhttp::string_body> response = this->parser->release();
        http_reply reply;
        reply.status = static_cast<int>(response.result_int());
        reply.body = std::move(response.body());
        bool const keep = response.keep_alive();
        this->finish(std::move(reply), keep);
    }

    void fail(error_code code, failure const& problem)
    {
        // The others may have gone silent with it.
        this->owner->close_idle_since_before(this->started_at);
        milliseconds const queued = std::chrono::duration_cast<milliseconds>(
            this->started_at - this->current->called_at);
        this->finish(error{code,
                           problem.message() + ", on a " +
                               (this->reused ? "reused" : "new") +
                               " connection, queued_ms=" +
                               std::to_string(queued.count())},
                     false);
    }

    void finish(result<http_reply> outcome, bool keep)
    {
        http_callback const callback = std::move(this->current->callback);
        this->current.reset();
        std::shared_ptr<impl> const client = this->owner;
        if (client->closed)
        {
            return;
        }
        if (keep)
        {
            this->stream.expires_never();
            this->last_answer_at = clock::now();
            client->idle.push_back(this->shared_from_this());
        }
        else
        {
            this->stream.close();
        }
        callback(std::move(outcome));
        if (!client->waiting.empty())
        {
            // This connection counts as open until its handler has returned.
            asio::post(client->loop,
                       [client]
                       {
                           client->start_waiting_calls();
                       });
        }
    }

    std::shared_ptr<impl> owner;
    beast::tcp_stream stream;
    beast::flat_buffer buffer;
    std::optional<pending_call> current;
    clock::time_point started_at; //!< when `current` got this connection
    clock::time_point last_answer_at;
    bool reused = false; //!< an earlier call succeeded
    bhttp::request<bhttp::string_body> message;
    std::optional<bhttp::response_parser<bhttp::string_body>> parser;
};

void http_client::impl::start_waiting_calls()
{
    while (!this->closed && !this->waiting.empty())
    {
        if (!this->idle.empty())
        {
            std::shared_ptr<connection> const reused = this->idle.back();
            this->idle.pop_back();
            pending_call call = std::move(this->waiting.front());
            this->waiting.pop_front();
            reused->reuse(std::move(call));
        }
        else if (this->open < this->settings.connections)
        {
            pending_call call = std::move(this->waiting.front());
            this->waiting.pop_front();
            std::make_shared<connection>(this->shared_from_this())
                ->connect(std::move(call));
        }
        else
        {
            this->schedule_expiry();
            return;
        }
    }
}

void http_client::impl::close_idle_since_before(clock::time_point when)
{
    auto const kept =
        std::stable_partition(this->idle.begin(),
                              this->idle.end(),
                              [when](std::shared_ptr<connection> const& each)
                              {
                                  return each->last_used() < when;
                              });
    for (auto each = this->idle.begin(); each != kept; ++each)
    {
        (*each)->close();
    }
    this->idle.erase(this->idle.begin(), kept);
}

void http_client::impl::schedule_expiry()
{
    this->expiry_timer.expires_at(this->waiting.front().deadline);
    this->expiry_timer.async_wait(
        [self = this->shared_from_this()](failure const& stopped)
        {
            if (!stopped && !self->closed)
            {
                self->fail_expired();
            }
        });
}

void http_client::impl::fail_expired()
{
    clock::time_point const now = clock::now();
    std::vector<http_callback> expired;
    for (auto call = this->waiting.begin(); call != this->waiting.end();)
    {
        if (call->deadline > now)
        {
            ++call;
            continue;
        }
        expired.push_back(std::move(call->callback));
        call = this->waiting.erase(call);
    }
    for (http_callback const& callback : expired)
    {
        callback(error{error_code::unavailable,
                       "no connection became free before the timeout"});
    }
    this->start_waiting_calls();
}

http_client::http_client(asio::io_context& loop,
                         address const& where,
                         http_client_settings settings)
    : self(std::make_shared<impl>(loop, where, settings))
{
}

http_client::~http_client()
{
    this->self->closed = true;
    this->self->expiry_timer.cancel();
    this->self->waiting.clear();
    for (std::shared_ptr<impl::connection> const& each : this->self->idle)
    {
        each->close();
    }
    this->self->idle.clear();
}

void http_client::call(http_request request,
                       milliseconds timeout,
                       http_callback callback)
{
    this->self->waiting.push_back({std::move(request),
                                   clock::now(),
                                   clock::now() + timeout,
                                   std::move(callback)});
    this->self->start_waiting_calls();
}

} // namespace cicada
