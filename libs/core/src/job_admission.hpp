#pragma once

#include "state.hpp"

/** Admission of jobs, and the choice of their home shard. */
namespace cicada
{

/** Why a job is rejected. */
struct job_problem
{
    int status = 422; //!< HTTP
    std::string code;
    std::string detail;

    bool operator==(job_problem const&) const = default;
};

/** The reason to reject this job, now or for ever; none if admissible. */
std::optional<job_problem> check_job(state const& s, job_record const& job);

/** The shard with the most free capacity for it; none if it can never fit. */
std::optional<shard_id> choose_home(state const& s, job_record const& job);

} // namespace cicada
