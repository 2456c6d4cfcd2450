#pragma once

#include "core/core.hpp"
#include "gateway/gateway.hpp"

/** The callers' interface to jobs: JSON in and out (docs/API.md). */
namespace cicada
{

/** Where a job is kept, as its public id says. */
struct job_place
{
    shard_id home;
    job_id name;

    bool operator==(job_place const&) const = default;
};

/** "zone~rack~name". */
std::string public_job_id(job_place const& place);

/** None if the text isn't a job's public id. */
std::optional<job_place> parse_public_job_id(std::string const& text);

/**
 * Reads a submission; what it leaves out is as the note says.
 *
 * Errors: invalid_input, naming the field.
 */
result<job_record> parse_submission(other_request const& call,
                                    cell_config const& config,
                                    job_id const& name);

/** An answer with a job in it. */
other_answer job_answer(int status, job_record const& job);

/** The answer to a submission. */
other_answer submission_answer(answer_job const& effect);

/** application/problem+json. */
other_answer problem_answer(int status,
                            std::string const& code,
                            std::string const& detail,
                            request_outcome outcome);

/** A digest of a body, hexadecimal. */
std::string digest_of(std::string const& body);

} // namespace cicada
