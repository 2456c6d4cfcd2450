#include "answers.hpp"

namespace cicada
{

namespace
{

/** True if the answer is a refusal or of the type that the order expects. */
bool answer_type_matches(agent_order const& order, agent_answer const& answer)
{
    if (std::holds_alternative<agent_refusal>(answer))
    {
        return true;
    }
    return std::holds_alternative<sync_order>(order) ==
           std::holds_alternative<agent_report>(answer);
}

} // namespace

result<agent_answer>
interpret_answer(agent_order const& order, int status, std::string const& body)
{
    constexpr int ok = 200;
    constexpr int first_client_error = 400;
    constexpr int conflict = 409;
    constexpr int first_server_error = 500;
    constexpr int service_unavailable = 503;
    std::string const description =
        "answered with status " + std::to_string(status);
    if (status >= first_client_error && status < first_server_error &&
        status != conflict)
    {
        return error{error_code::refused, description};
    }
    if (status != ok && status != conflict && status != service_unavailable)
    {
        return error{error_code::unknown, description};
    }
    result<agent_answer> answer = decode_agent_answer(body);
    bool const refusal_expected = status != ok;
    if (!answer.has_value() ||
        !answer_type_matches(order, answer.assume_value()) ||
        refusal_expected !=
            std::holds_alternative<agent_refusal>(answer.assume_value()))
    {
        return error{error_code::unknown,
                     description + " but no valid answer to the order"};
    }
    return answer;
}

} // namespace cicada
