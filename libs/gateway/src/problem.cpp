#include "problem.hpp"

#include <boost/beast/http/status.hpp>
#include <nlohmann/json.hpp>

namespace cicada
{
namespace
{

constexpr char const* type_prefix = "urn:cicada:problem:";

} // namespace

answer_problem make_problem(int status, std::string code, std::string detail)
{
    answer_problem problem;
    problem.status = status;
    problem.code = std::move(code);
    problem.detail = std::move(detail);
    return problem;
}

std::string reason_phrase(int status)
{
    namespace http = boost::beast::http;
    http::status const known = http::int_to_status(status);
    return std::string(http::obsolete_reason(known));
}

std::string problem_json(answer_problem const& problem)
{
    nlohmann::json text;
    text["type"] = type_prefix + problem.code;
    text["title"] = reason_phrase(problem.status);
    text["status"] = problem.status;
    text["code"] = problem.code;
    text["detail"] = problem.detail;
    text["outcome"] = to_string(problem.outcome);
    text["request"] = problem.request.value;
    return text.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

std::string retry_after_seconds(milliseconds wait)
{
    return std::to_string(std::chrono::ceil<seconds>(wait).count());
}

} // namespace cicada
