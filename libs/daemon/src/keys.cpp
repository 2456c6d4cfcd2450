#include "keys.hpp"

#include <xxhash.h>

#include <array>
#include <cstdio>

namespace cicada::keys
{
namespace
{

constexpr std::size_t hash_text_size = 33; //!< 32 digits and the end

std::string hash_text(std::string const& text)
{
    XXH128_hash_t const hash = XXH3_128bits(text.data(), text.size());
    std::array<char, hash_text_size> digits{};
    std::snprintf(digits.data(),
                  digits.size(),
                  "%016llx%016llx",
                  static_cast<unsigned long long>(hash.high64),
                  static_cast<unsigned long long>(hash.low64));
    return digits.data();
}

} // namespace

std::string member_key(daemon_id const& name)
{
    return members_prefix + name.value;
}

std::string intent_key(tenant_id const& tenant, std::string const& key)
{
    return "cicada/intents/" + tenant.value + "/" + hash_text(key);
}

std::string job_use_key(tenant_id const& tenant, std::string const& key)
{
    return "cicada/job-keys/" + tenant.value + "/" + hash_text(key);
}

std::string jobs_prefix(shard_id const& home)
{
    return "cicada/jobs/" + home.value + "/";
}

std::string job_key(shard_id const& home, job_id const& name)
{
    return jobs_prefix(home) + name.value;
}

std::string done_job_key(shard_id const& home, job_id const& name)
{
    return "cicada/done/" + home.value + "/" + name.value;
}

} // namespace cicada::keys
