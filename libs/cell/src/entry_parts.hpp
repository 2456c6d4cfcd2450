#pragma once

#include "entry.hpp"

/** What the parts of an entry share. */
namespace cicada::cell
{

constexpr milliseconds default_deadline{3000}; //!< of a caller that names none
constexpr milliseconds answer_way{40};     //!< kept for the answer's way back
constexpr milliseconds retry_pause{60};    //!< between tries of one request
constexpr milliseconds outage_retry{1000}; //!< Retry-After with no store

inline http_reply unavailable(std::string const& why)
{
    return platform::encode_error(503, why, outage_retry);
}

} // namespace cicada::cell
