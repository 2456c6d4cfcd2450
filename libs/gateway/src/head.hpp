#pragma once

#include "gateway/gateway.hpp"

#include <boost/beast/http/message.hpp>

#include <variant>

/** Reads and checks the heads of callers' requests; no I/O. */
namespace cicada
{

using request_fields = boost::beast::http::request_header<>;

/** The head of a request to run. */
struct run_head
{
    request_arrived arrival;             //!< all but what the body tells
    std::vector<header_field> forwarded; //!< go to the endpoint as they are
    std::string body_digest;             //!< as the caller claims it, or empty

    bool operator==(run_head const&) const = default;
};

using checked_head = std::variant<run_head, other_request, answer_problem>;

/** Which call it is, or why it is refused. */
checked_head check_head(request_fields const& head, bool chunked);

} // namespace cicada
