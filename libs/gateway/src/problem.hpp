#pragma once

#include "core/core.hpp"

#include <string>

/** Answers that tell a caller why there is no other (RFC 7807). */
namespace cicada
{

/** A problem that the gateway finds itself, before a request is known. */
answer_problem make_problem(int status, std::string code, std::string detail);

/** The standard reason phrase of a status. */
std::string reason_phrase(int status);

/** The application/problem+json text. */
std::string problem_json(answer_problem const& problem);

/** Retry-After, in whole seconds, rounded up. */
std::string retry_after_seconds(milliseconds wait);

} // namespace cicada
