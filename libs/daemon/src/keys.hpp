#pragma once

#include "model/model.hpp"

/** Names of the keys in the platform's service. */
namespace cicada::keys
{

/** Everything that each daemon watches: little, and seldom changed. */
constexpr char watched_prefix[] = "cicada/cell/";
constexpr char members_prefix[] = "cicada/cell/members/";
constexpr char ownership[] = "cicada/cell/ownership";
constexpr char config[] = "cicada/cell/config";

std::string member_key(daemon_id const& name);

/** The caller's key is hashed: it may hold any bytes. */
std::string intent_key(tenant_id const& tenant, std::string const& key);

/** All jobs that aren't over, of one home shard. */
std::string jobs_prefix(shard_id const& home);
std::string job_key(shard_id const& home, job_id const& name);

/** Which job a caller's key was used for. */
std::string job_use_key(tenant_id const& tenant, std::string const& key);

/** A job that is over; kept for a while. */
std::string done_job_key(shard_id const& home, job_id const& name);

} // namespace cicada::keys
