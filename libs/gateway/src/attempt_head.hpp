#pragma once

#include "state.hpp"

/** The heads that go to endpoints and callers, and endpoints' refusals. */
namespace cicada
{

using endpoint_head = http::request<http::buffer_body>;
using answer_head = http::response<http::buffer_body>;

/** The head that goes to the endpoint. */
endpoint_head make_endpoint_head(exchange const& request,
                                 body_parser const& parser,
                                 slot_grant const& grant);

/** The head that goes to the caller, for an answer of its own request. */
http::response_header<> make_caller_head(exchange const& request,
                                         http::response_header<> const& from);

/** Why an endpoint refused; nothing if it ran the request. */
std::optional<attempt_result> read_refusal(int status, std::string const& body);

} // namespace cicada
