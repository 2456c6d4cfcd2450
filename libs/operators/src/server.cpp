#include "operators/operators.hpp"

#include "bodies.hpp"

#include <cpprest/http_listener.h>

#include <utility>

namespace cicada
{
namespace
{

namespace http = web::http;
using http::experimental::listener::http_listener;

constexpr std::uint64_t most_body_bytes = 262'144;
constexpr int notes_in_a_page = 200;
constexpr int operator_refused = 303;
constexpr int note_published = 302;
constexpr char json_type[] = "application/json";
constexpr char bearer[] = "Bearer ";

struct context
{
    std::string token;
    operators_callbacks callbacks;
    note_publisher publisher;
};

void reply(http::http_request const& request,
           int status,
           std::string const& body,
           char const* type = json_type)
{
    http::http_response answer(static_cast<http::status_code>(status));
    answer.set_body(body, type);
    request.reply(answer).then(
        [](pplx::task<void> const& done)
        {
            try
            {
                done.get();
            }
            catch (std::exception const&)
            {
                return; // the operator went away
            }
        });
}

std::string query_value(http::http_request const& request, char const* name)
{
    std::map<std::string, std::string> const query =
        web::uri::split_query(request.relative_uri().query());
    std::map<std::string, std::string>::const_iterator const found =
        query.find(name);
    return found == query.end() ? "" : found->second;
}

bool is_allowed(context const& shared, http::http_request const& request)
{
    http::http_headers::const_iterator const header =
        request.headers().find("Authorization");
    std::string const given =
        header == request.headers().end() ? "" : header->second;
    return given.rfind(bearer, 0) == 0 &&
           same_token(given.substr(sizeof(bearer) - 1), shared.token);
}

bool is_too_large(http::http_request const& request)
{
    http::http_headers const& headers = request.headers();
    return headers.has("Transfer-Encoding") ||
           headers.content_length() > most_body_bytes;
}

void reply_notes(context& shared, http::http_request const& request)
{
    std::optional<std::int64_t> const after =
        parse_count(query_value(request, "after"));
    shared.publisher.list(
        static_cast<std::uint64_t>(after.value_or(0)),
        notes_in_a_page,
        [request](result<std::vector<published_note>> const& notes)
        {
            if (notes.has_value())
            {
                reply(request, 200, notes_body(notes.assume_value()));
                return;
            }
            reply(request,
                  503,
                  problem_body("store_unavailable",
                               notes.assume_error().message));
        });
}

void reply_get(context& shared, http::http_request const& request)
{
    std::string const path = web::uri::decode(request.relative_uri().path());
    std::string const explain_path = "/v1/explain/";
    if (path == "/v1/status")
    {
        reply(request, 200, status_body(shared.callbacks.view()));
    }
    else if (path == "/v1/workers")
    {
        reply(request,
              200,
              instances_body(shared.callbacks.view().state.workers));
    }
    else if (path == "/v1/endpoints")
    {
        reply(request,
              200,
              instances_body(shared.callbacks.view().state.endpoints));
    }
    else if (path == "/v1/jobs")
    {
        reply(request, 200, jobs_body(shared.callbacks.view().state.jobs));
    }
    else if (path == "/v1/metrics")
    {
        reply(request,
              200,
              shared.callbacks.metrics(),
              "text/plain; version=0.0.4");
    }
    else if (path == "/v1/notes")
    {
        reply_notes(shared, request);
    }
    else if (path.rfind(explain_path, 0) == 0)
    {
        std::string const why =
            shared.callbacks.explain(path.substr(explain_path.size()));
        reply(request,
              why.empty() ? 404 : 200,
              problem_body(why.empty() ? "not_known_here" : "explained", why));
    }
    else
    {
        reply(request, 404, problem_body("no_such_path", path));
    }
}

void publish(std::shared_ptr<context> const& shared,
             http::http_request const& request,
             std::string const& text)
{
    publish_request asked;
    asked.text = text;
    asked.at = std::chrono::time_point_cast<milliseconds>(
        std::chrono::system_clock::now());
    std::optional<std::int64_t> const head =
        parse_count(query_value(request, "head"));
    if (head)
    {
        asked.expected_head = static_cast<std::uint64_t>(*head);
    }
    shared->publisher.publish(
        asked,
        [shared, request](publish_answer const& answer)
        {
            if (answer.outcome == publish_outcome::published)
            {
                shared->callbacks.log(
                    note_published, "number " + std::to_string(answer.number));
            }
            reply(request, status_of(answer.outcome), publish_body(answer));
        });
}

void reply_post(std::shared_ptr<context> const& shared,
                http::http_request const& request,
                std::string const& body)
{
    std::string const path = request.relative_uri().path();
    if (path == "/v1/notes/preview")
    {
        int status = 200;
        std::string const answer =
            preview_body(shared->callbacks.view(), body, status);
        reply(request, status, answer);
    }
    else if (path == "/v1/notes")
    {
        publish(shared, request, body);
    }
    else if (path == "/v1/drain")
    {
        shared->callbacks.drain();
        reply(request, 202, problem_body("draining", ""));
    }
    else
    {
        reply(request, 404, problem_body("no_such_path", path));
    }
}

void take_post(std::shared_ptr<context> const& shared,
               http::http_request const& request)
{
    request.extract_vector().then(
        [shared, request](pplx::task<std::vector<unsigned char>> const& read)
        {
            try
            {
                std::vector<unsigned char> const bytes = read.get();
                reply_post(
                    shared, request, std::string(bytes.begin(), bytes.end()));
            }
            catch (std::exception const& fault)
            {
                reply(request, 400, problem_body("no_body", fault.what()));
            }
        });
}

void take(std::shared_ptr<context> const& shared,
          http::http_request const& request)
{
    if (!is_allowed(*shared, request))
    {
        shared->callbacks.log(operator_refused, request.remote_address());
        reply(request, 401, problem_body("wrong_token", ""));
    }
    else if (is_too_large(request))
    {
        reply(request, 413, problem_body("too_large", "at most 256 KiB"));
    }
    else if (request.method() == http::methods::GET)
    {
        reply_get(*shared, request);
    }
    else if (request.method() == http::methods::POST)
    {
        take_post(shared, request);
    }
    else
    {
        reply(request, 405, problem_body("no_such_method", ""));
    }
}

} // namespace

struct operators_server::impl
{
    http_listener listener;
};

operators_server::operators_server(std::unique_ptr<impl> made)
    : self(std::move(made))
{
}

operators_server::~operators_server()
{
    try
    {
        this->self->listener.close().wait();
    }
    catch (std::exception const&)
    {
        return; // it was not listening
    }
}

result<std::unique_ptr<operators_server>>
operators_server::open(address const& where,
                       std::string const& token,
                       operators_callbacks const& callbacks,
                       note_publisher publisher)
{
    try
    {
        std::shared_ptr<context> const shared =
            std::make_shared<context>(context{token, callbacks, publisher});
        std::unique_ptr<impl> made = std::make_unique<impl>(
            impl{http_listener("http://" + to_string(where))});
        made->listener.support(
            [shared](http::http_request const& request)
            {
                take(shared, request);
            });
        made->listener.open().wait();
        return std::unique_ptr<operators_server>(
            new operators_server(std::move(made)));
    }
    catch (std::exception const& fault)
    {
        return error{error_code::unavailable, fault.what()};
    }
}

} // namespace cicada
