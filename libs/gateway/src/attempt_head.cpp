#include "attempt_head.hpp"

#include <nlohmann/json.hpp>

#include <array>

namespace cicada
{
namespace
{

constexpr unsigned http_1_1 = 11;
constexpr int status_conflict = 409;
constexpr int status_unavailable = 503;

constexpr std::array<http::field, 4> answer_fields{
    http::field::content_type,
    http::field::content_encoding,
    http::field::content_language,
    http::field::location,
};

constexpr std::array<char const*, 4> refusal_reasons{
    "stale_epoch", "no_capacity", "draining", "tombstone"};

void frame_body(endpoint_head& head,
                exchange const& request,
                body_parser const& parser)
{
    if (request.held_whole)
    {
        head.content_length(request.held.size());
        return;
    }
    if (parser.chunked())
    {
        head.chunked(true);
        return;
    }
    head.content_length(parser.content_length());
}

} // namespace

endpoint_head make_endpoint_head(exchange const& request,
                                 body_parser const& parser,
                                 slot_grant const& grant)
{
    request_arrived const& arrival = request.head.arrival;
    endpoint_head head(http::verb::post, "/run", http_1_1);
    head.set(http::field::host, to_string(grant.where));
    head.set(http::field::connection, "close");
    head.set("Cicada-Attempt", grant.attempt.value);
    head.set("Cicada-Epoch", std::to_string(grant.since.value));
    head.set("Cicada-Workload", arrival.workload.value);
    head.set("Cicada-Tenant", arrival.tenant.value);
    if (arrival.urgency)
    {
        head.set("Cicada-Class", to_string(*arrival.urgency));
    }
    if (!arrival.key.empty())
    {
        head.set("Idempotency-Key", arrival.key);
    }
    for (header_field const& field : request.head.forwarded)
    {
        head.insert(field.name, field.value);
    }
    frame_body(head, request, parser);
    head.body().data = nullptr;
    head.body().more = !request.held_whole;
    return head;
}

http::response_header<> make_caller_head(exchange const& request,
                                         http::response_header<> const& from)
{
    http::response_header<> head;
    head.version(http_1_1);
    head.result(from.result_int());
    for (http::field const name : answer_fields)
    {
        if (from.count(name) > 0)
        {
            head.set(name, from[name]);
        }
    }
    head.set("Cicada-Request", request.head.arrival.request.value);
    head.set("Cicada-Outcome", to_string(request_outcome::ran));
    return head;
}

std::optional<attempt_result> read_refusal(int status, std::string const& body)
{
    if (status != status_conflict && status != status_unavailable)
    {
        return std::nullopt;
    }
    nlohmann::json const text = nlohmann::json::parse(body, nullptr, false);
    auto const reason = text.is_object() ? text.find("reason") : text.end();
    if (reason == text.end() || !reason->is_string())
    {
        return std::nullopt;
    }
    for (char const* const known : refusal_reasons)
    {
        if (*reason == known)
        {
            return *reason == "draining" ? attempt_result::draining
                                         : attempt_result::not_run;
        }
    }
    return std::nullopt;
}

} // namespace cicada
