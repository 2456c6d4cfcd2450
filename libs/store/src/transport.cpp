#include "transport.hpp"

#include <cpprest/containerstream.h>
#include <cpprest/http_client.h>
#include <cpprest/streams.h>

#include <map>
#include <mutex>

namespace cicada::store_detail
{

namespace
{

using web::http::http_request;
using web::http::http_response;
using web::http::client::http_client;
using client_ptr = std::shared_ptr<http_client>;
using body_stream = concurrency::streams::istream;
using line_buffer = concurrency::streams::container_buffer<std::string>;

/** A bound on what nobody cancels. */
constexpr seconds idle_limit{60};

client_ptr make_client(address const& where)
{
    web::http::client::http_client_config config;
    config.set_timeout(idle_limit);
    return std::make_shared<http_client>("http://" + to_string(where), config);
}

http_request make_request(outgoing const& what, body_stream const& body)
{
    http_request request(web::http::methods::POST);
    request.set_request_uri(what.path);
    request.set_body(body, what.body.size(), "application/json");
    return request;
}

/** True if no byte of the body was taken to be sent. */
bool untouched(body_stream const& body)
{
    return body.streambuf().getpos(std::ios_base::in) ==
           concurrency::streams::istream::pos_type(0);
}

exchange lost(body_stream const& body, std::string const& message)
{
    exchange made;
    made.how =
        untouched(body) ? exchange_result::not_sent : exchange_result::unknown;
    made.message = message;
    return made;
}

exchange answered(http_response& response, std::string const& text)
{
    exchange made;
    made.how = exchange_result::answered;
    made.status = response.status_code();
    made.body = text;
    return made;
}

/** Waits for an exchange's parts in turn; its tasks never throw. */
struct exchange_run
{
    client_ptr client; //!< lives as long as the exchange
    body_stream body;
    exchange_handler handler;

    void take_response(pplx::task<http_response> const& done,
                       std::shared_ptr<exchange_run> const& kept)
    {
        try
        {
            http_response response = done.get();
            response.extract_utf8string(true).then(
                [kept, response](pplx::task<std::string> const& text) mutable
                {
                    kept->take_text(response, text);
                });
        }
        catch (std::exception const& failed)
        {
            this->handler(lost(this->body, failed.what()));
        }
    }

    void take_text(http_response& response, pplx::task<std::string> const& text)
    {
        try
        {
            this->handler(answered(response, text.get()));
        }
        catch (std::exception const& failed)
        {
            this->handler(lost(this->body, failed.what()));
        }
    }
};

/** Reads a stream line by line until it ends; its tasks never throw. */
struct stream_run : std::enable_shared_from_this<stream_run>
{
    client_ptr client; //!< lives as long as the stream
    body_stream lines;
    line_handler on_line;
    end_handler on_end;

    void take_response(pplx::task<http_response> const& done)
    {
        try
        {
            http_response const response = done.get();
            if (response.status_code() != web::http::status_codes::OK)
            {
                this->on_end("HTTP status " +
                             std::to_string(response.status_code()));
                return;
            }
            this->lines = response.body();
            this->read();
        }
        catch (std::exception const& failed)
        {
            this->on_end(failed.what());
        }
    }

    void read()
    {
        line_buffer const line;
        std::shared_ptr<stream_run> const kept = this->shared_from_this();
        this->lines.read_line(line).then(
            [kept, line](pplx::task<std::size_t> const& done)
            {
                kept->take_line(done, line);
            });
    }

    void take_line(pplx::task<std::size_t> const& done, line_buffer const& line)
    {
        try
        {
            done.get();
            // collection() isn't const: the copy shares the buffer.
            // NOLINTNEXTLINE(performance-unnecessary-copy-initialization)
            line_buffer filled = line;
            std::string const& text = filled.collection();
            if (!text.empty())
            {
                this->on_line(text);
            }
            if (this->lines.is_eof())
            {
                this->on_end("the stream ended");
                return;
            }
            this->read();
        }
        catch (std::exception const& failed)
        {
            this->on_end(failed.what());
        }
    }
};

cancel_function cancels(pplx::cancellation_token_source const& source)
{
    return [source]()
    {
        source.cancel();
    };
}

} // namespace

struct transport::impl
{
    std::mutex mutex;
    std::map<address, client_ptr> kept;

    client_ptr client_for(outgoing const& what)
    {
        if (what.use == connection_use::fresh)
        {
            return make_client(what.where);
        }
        std::lock_guard<std::mutex> const lock(this->mutex);
        client_ptr& found = this->kept[what.where];
        if (found == nullptr)
        {
            found = make_client(what.where);
        }
        return found;
    }
};

transport::transport() : self(std::make_unique<impl>()) {}

transport::~transport() = default;

cancel_function transport::post(outgoing const& what,
                                exchange_handler const& handler)
try
{
    std::shared_ptr<exchange_run> const run = std::make_shared<exchange_run>();
    run->client = this->self->client_for(what);
    run->body = concurrency::streams::bytestream::open_istream(what.body);
    run->handler = handler;
    pplx::cancellation_token_source const source;
    run->client->request(make_request(what, run->body), source.get_token())
        .then(
            [run](pplx::task<http_response> const& done)
            {
                run->take_response(done, run);
            });
    return cancels(source);
}
catch (std::exception const& failed)
{
    exchange made;
    made.how = exchange_result::not_sent;
    made.message = failed.what();
    handler(made);
    return []() {};
}

cancel_function transport::stream(outgoing const& what,
                                  line_handler const& on_line,
                                  end_handler const& on_end)
try
{
    std::shared_ptr<stream_run> const run = std::make_shared<stream_run>();
    run->client = make_client(what.where);
    run->on_line = on_line;
    run->on_end = on_end;
    body_stream const body =
        concurrency::streams::bytestream::open_istream(what.body);
    pplx::cancellation_token_source const source;
    run->client->request(make_request(what, body), source.get_token())
        .then(
            [run](pplx::task<http_response> const& done)
            {
                run->take_response(done);
            });
    return cancels(source);
}
catch (std::exception const& failed)
{
    on_end(failed.what());
    return []() {};
}

void transport::drop_kept(address const& where)
{
    std::lock_guard<std::mutex> const lock(this->self->mutex);
    this->self->kept.erase(where);
}

} // namespace cicada::store_detail
