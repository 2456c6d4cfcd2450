#pragma once

#include "caller_api.hpp"
#include "http_status.hpp"

namespace cicada::cell
{

constexpr milliseconds default_deadline{3000}; //!< if the caller names none
constexpr milliseconds answer_margin{40};      //!< to send the answer
constexpr milliseconds retry_pause{60}; //!< between attempts of one request
constexpr milliseconds outage_retry_after{1000}; //!< while the store fails

inline http_reply unavailable(std::string const& why)
{
    return platform::encode_error(
        http_status::service_unavailable, why, outage_retry_after);
}

} // namespace cicada::cell
