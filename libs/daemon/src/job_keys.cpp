#include "job_keys.hpp"

#include <nlohmann/json.hpp>

namespace cicada
{

using json = nlohmann::json;

std::string encode_job_key(job_key_use const& use)
{
    json const value{{"job", use.job.value},
                     {"home", use.home.value},
                     {"body_digest", use.body_digest}};
    return value.dump();
}

std::optional<job_key_use> decode_job_key(std::string const& text)
{
    json const value = json::parse(text, nullptr, false);
    if (!value.is_object())
    {
        return std::nullopt;
    }
    auto const text_of = [&](char const* name)
    {
        auto const found = value.find(name);
        bool const usable = found != value.end() && found->is_string();
        return usable ? found->get<std::string>() : std::string();
    };
    job_key_use const use{job_id{text_of("job")},
                          shard_id{text_of("home")},
                          text_of("body_digest")};
    if (use.job.empty() || use.home.empty())
    {
        return std::nullopt;
    }
    return use;
}

} // namespace cicada
