#include "session.hpp"

#include <algorithm>

#include <boost/asio/write.hpp>

namespace cicada::standin
{

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;

namespace
{

constexpr std::uint64_t body_limit_bytes = 8UL * 1024UL * 1024UL;

std::string text_of(beast::string_view view)
{
    return std::string(view.data(), view.size());
}

} // namespace

session::session(asio::ip::tcp::socket socket,
                 session_host& host_of_it,
                 bool is_control)
    : stream(std::move(socket)), host(host_of_it), control(is_control),
      timer(stream.get_executor())
{
}

void session::run()
{
    beast::error_code ignored;
    this->stream.socket().set_option(asio::ip::tcp::no_delay(true), ignored);
    this->read();
}

void session::close()
{
    this->end();
}

bool session::serves_control() const
{
    return this->control;
}

void session::go_silent()
{
    this->silent = true;
    this->timer.cancel();
    if (this->delaying)
    {
        this->delaying = false;
        this->read();
    }
}

void session::read()
{
    this->parser.emplace();
    this->parser->body_limit(body_limit_bytes);
    std::shared_ptr<session> const kept = this->shared_from_this();
    http::async_read(this->stream,
                     this->buffer,
                     *this->parser,
                     [kept](beast::error_code failed, std::size_t)
                     {
                         if (failed)
                         {
                             kept->end();
                             return;
                         }
                         kept->take();
                     });
}

void session::take()
{
    if (this->silent)
    {
        this->read();
        return;
    }
    http::request<http::string_body> const& request = this->parser->get();
    platform_call call;
    call.method = text_of(request.method_string());
    call.path = text_of(request.target());
    call.body = request.body();
    call.if_none_match = text_of(request[http::field::if_none_match]);
    call.control = this->control;
    this->act(take_call(this->host.platform, this->host.now(), call));
}

void session::act(platform_plan const& plan)
{
    if (plan.watch)
    {
        this->start_watch(this->parser->get().body());
        return;
    }
    if (plan.lose)
    {
        this->end();
        this->host.keys_changed();
        return;
    }
    this->host.faults_changed(plan.silence);
    this->host.keys_changed();
    if (!this->over)
    {
        this->answer_later(plan);
    }
}

void session::answer_later(platform_plan const& plan)
{
    if (plan.delay == milliseconds(0))
    {
        this->answer(plan);
        return;
    }
    std::shared_ptr<session> const kept = this->shared_from_this();
    this->delaying = true;
    this->timer.expires_after(plan.delay);
    this->timer.async_wait(
        [kept, plan](beast::error_code failed)
        {
            if (!failed && !kept->over && kept->delaying)
            {
                kept->delaying = false;
                kept->answer(plan);
            }
        });
}

void session::answer(platform_plan const& plan)
{
    this->response = {};
    this->response.result(static_cast<unsigned>(plan.reply.status));
    this->response.set(http::field::content_type, "application/json");
    if (!plan.etag.empty())
    {
        this->response.set(http::field::etag, plan.etag);
    }
    this->response.body() = plan.reply.body;
    this->response.keep_alive(this->parser->get().keep_alive());
    this->response.prepare_payload();
    std::shared_ptr<session> const kept = this->shared_from_this();
    http::async_write(this->stream,
                      this->response,
                      [kept](beast::error_code failed, std::size_t)
                      {
                          kept->wrote(!failed && kept->response.keep_alive());
                      });
}

void session::wrote(bool keep)
{
    if (this->over)
    {
        return;
    }
    if (!keep)
    {
        this->end();
        return;
    }
    this->read();
}

void session::start_watch(std::string const& body)
{
    result<watch_call> const call = decode_watch(body);
    if (!call.has_value())
    {
        platform_plan plan;
        plan.reply = {400, call.assume_error().message};
        this->answer(plan);
        return;
    }
    this->watch_head.result(http::status::ok);
    this->watch_head.set(http::field::content_type, "application/json");
    this->watch_head.chunked(true);
    this->head_serializer.emplace(this->watch_head);
    std::shared_ptr<session> const kept = this->shared_from_this();
    watch_call const& wanted = call.assume_value();
    http::async_write_header(
        this->stream,
        *this->head_serializer,
        [kept, wanted](beast::error_code failed, std::size_t)
        {
            if (failed)
            {
                kept->end();
                return;
            }
            kept->watch_started(wanted);
        });
}

void session::watch_started(watch_call const& call)
{
    kv_state const& keys = this->host.platform.keys;
    this->send_line(encode_created(keys.revision));
    if (call.start_revision != 0 && call.start_revision <= keys.compacted)
    {
        this->send_line(encode_compacted(keys.revision, keys.compacted));
        return;
    }
    this->watched = call.keys;
    this->next_revision =
        call.start_revision == 0 ? keys.revision + 1 : call.start_revision;
    this->await_close();
    this->send_changes();
    this->arm_progress();
}

void session::await_close()
{
    std::shared_ptr<session> const kept = this->shared_from_this();
    this->stream.async_read_some(this->buffer.prepare(1),
                                 [kept](beast::error_code, std::size_t)
                                 {
                                     kept->end();
                                 });
}

void session::send_changes()
{
    if (!this->watched.has_value() || this->silent || this->over)
    {
        return;
    }
    kv_state const& keys = this->host.platform.keys;
    std::vector<change> const changes =
        changes_since(keys, *this->watched, this->next_revision);
    this->next_revision = std::max(this->next_revision, keys.revision + 1);
    if (!changes.empty())
    {
        this->send_line(encode_changes(keys.revision, changes));
    }
}

void session::arm_progress()
{
    std::shared_ptr<session> const kept = this->shared_from_this();
    this->timer.expires_after(this->host.progress_period);
    this->timer.async_wait(
        [kept](beast::error_code failed)
        {
            if (!failed && !kept->over && !kept->silent)
            {
                kept->send_progress();
            }
        });
}

void session::send_progress()
{
    this->send_line(encode_changes(this->host.platform.keys.revision, {}));
    this->arm_progress();
}

void session::send_line(std::string line)
{
    this->lines.push_back(std::move(line));
    if (this->lines.size() == 1)
    {
        this->write_line();
    }
}

void session::write_line()
{
    std::shared_ptr<session> const kept = this->shared_from_this();
    asio::async_write(this->stream,
                      http::make_chunk(asio::buffer(this->lines.front())),
                      [kept](beast::error_code failed, std::size_t)
                      {
                          if (failed || kept->over)
                          {
                              kept->end();
                              return;
                          }
                          kept->lines.pop_front();
                          if (!kept->lines.empty())
                          {
                              kept->write_line();
                          }
                      });
}

void session::end()
{
    if (this->over)
    {
        return;
    }
    this->over = true;
    this->timer.cancel();
    beast::error_code ignored;
    this->stream.socket().close(ignored);
    this->host.ended(this->shared_from_this());
}

} // namespace cicada::standin
