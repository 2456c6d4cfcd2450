#pragma once

#include "core/core.hpp"

/** The record of the job that a caller's Idempotency-Key was used for. */
namespace cicada
{

std::string encode_job_key(job_key_use const& use);

/** None if the text breaks the format. */
std::optional<job_key_use> decode_job_key(std::string const& text);

} // namespace cicada
