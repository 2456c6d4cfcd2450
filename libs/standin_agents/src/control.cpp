#include "server.hpp"

#include <nlohmann/json.hpp>

namespace cicada::standin
{

namespace
{

using json = nlohmann::json;

/** The fault of that name, if there is one. */
std::optional<agent_fault> parse_fault(std::string const& name)
{
    static std::map<std::string, agent_fault> const faults{
        {"none", agent_fault::none},
        {"delay", agent_fault::delay},
        {"drop", agent_fault::drop},
        {"silent", agent_fault::silent},
        {"fail_all", agent_fault::fail_all},
        {"pause", agent_fault::pause},
        {"drain", agent_fault::drain},
        {"lose_answers", agent_fault::lose_answers}};
    std::map<std::string, agent_fault>::const_iterator const found =
        faults.find(name);
    return found == faults.end() ? std::nullopt
                                 : std::optional<agent_fault>(found->second);
}

http_answer answer_fault(server_state& server, std::string const& body)
{
    json const in = json::parse(body, nullptr, false);
    if (!in.is_object() || !in.value("kind", json()).is_string())
    {
        return make_answer(http::status::bad_request, "{}");
    }
    json const agent = in.value("agent", json(""));
    json const length = in.value("ms", json(0));
    std::optional<agent_fault> const fault =
        parse_fault(in["kind"].get<std::string>());
    if (!fault.has_value() || !agent.is_string() || !length.is_number_integer())
    {
        return make_answer(http::status::bad_request, "{}");
    }
    set_fault(server,
              agent.get<std::string>(),
              *fault,
              milliseconds(length.get<std::int64_t>()));
    return make_answer(http::status::ok, "{}");
}

http_answer answer_counts(server_state const& server)
{
    standin_agent_counts const counts = count_all(server);
    json const out = {{"starts", counts.starts},
                      {"started_twice", counts.started_twice},
                      {"repeated", counts.repeated},
                      {"over_capacity", counts.over_capacity},
                      {"stale", counts.stale},
                      {"tombstones", counts.tombstones},
                      {"tombstoned", counts.tombstoned},
                      {"cut_off", counts.cut_off},
                      {"expired", counts.expired},
                      {"syncs", counts.syncs}};
    return make_answer(http::status::ok, out.dump());
}

http_answer answer_ran(server_state const& server, std::string const& key)
{
    std::map<std::string, std::uint64_t>::const_iterator const found =
        server.ran.find(key);
    json const out = {{"ran", found == server.ran.end() ? 0 : found->second}};
    return make_answer(http::status::ok, out.dump());
}

} // namespace

http_answer make_answer(http::status status, std::string const& body)
{
    constexpr unsigned http_1_1 = 11;
    http_answer answer(status, http_1_1);
    answer.set(http::field::content_type, "application/json");
    answer.body() = body;
    answer.prepare_payload();
    return answer;
}

http_answer make_refusal(agent_refusal const& refusal)
{
    http::status const status = refusal.reason == "draining"
                                    ? http::status::service_unavailable
                                    : http::status::conflict;
    return make_answer(status, encode_agent_answer(refusal));
}

std::string run_body(std::string const& attempt,
                     std::uint64_t bytes,
                     std::uint64_t digest,
                     std::size_t padded_to)
{
    json const out = {
        {"attempt", attempt}, {"bytes", bytes}, {"digest", digest}};
    std::string body = out.dump(-1, ' ', false, json::error_handler_t::replace);
    body.resize(std::max(body.size(), padded_to), ' ');
    return body;
}

http_answer answer_control(server_state& server,
                           http::request<http::string_body> const& request)
{
    std::string const target(request.target());
    std::string const ran = "/ran?key=";
    if (target == "/counts")
    {
        return answer_counts(server);
    }
    if (target.compare(0, ran.size(), ran) == 0)
    {
        return answer_ran(server, target.substr(ran.size()));
    }
    if (target == "/fault" && request.method() == http::verb::post)
    {
        return answer_fault(server, request.body());
    }
    return make_answer(http::status::not_found, "{}");
}

} // namespace cicada::standin
