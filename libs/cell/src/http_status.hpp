#pragma once

/** HTTP status codes of the daemon's answers. */
namespace cicada::cell::http_status
{

constexpr int ok = 200;
constexpr int bad_request = 400;
constexpr int not_found = 404;
constexpr int method_not_allowed = 405;
constexpr int gone = 410;
constexpr int too_many_requests = 429;
constexpr int service_unavailable = 503;
constexpr int gateway_timeout = 504;

} // namespace cicada::cell::http_status
