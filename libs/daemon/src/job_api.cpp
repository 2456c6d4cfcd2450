#include "job_api.hpp"

#include <nlohmann/json.hpp>
#include <xxhash.h>

#include <algorithm>
#include <array>
#include <cmath>
#include <cstdio>

namespace cicada
{
namespace
{

using json = nlohmann::json;

constexpr char json_type[] = "application/json";
constexpr char problem_type[] = "application/problem+json";
constexpr std::int64_t most_tasks = 10'000;
constexpr std::int64_t most_run_time_ms = 30LL * 24 * 3600 * 1000;
constexpr std::int64_t most_memory_mib = 1LL << 30;
constexpr std::int64_t most_accelerators = 1024;
constexpr double most_cores = 100'000.0;
constexpr double milli = 1000.0;

error bad_field(std::string const& name, std::string const& wants)
{
    return error{error_code::invalid_input,
                 "\"" + name + "\" must be " + wants + "."};
}

/** The fields of a submission, as read so far. */
struct submission
{
    json fields;
    std::optional<error> problem;
};

/** Reads a whole number; `otherwise` if the field isn't there. */
std::int64_t whole_number(submission& s,
                          char const* name,
                          std::int64_t otherwise,
                          std::int64_t least,
                          std::int64_t most)
{
    auto const found = s.fields.find(name);
    if (found == s.fields.end())
    {
        return otherwise;
    }
    std::int64_t const value =
        found->is_number_integer() ? found->get<std::int64_t>() : least - 1;
    if (value < least || value > most)
    {
        s.problem = bad_field(name,
                              "a whole number from " + std::to_string(least) +
                                  " to " + std::to_string(most));
        return otherwise;
    }
    return value;
}

std::int64_t milli_cores(submission& s, std::int64_t otherwise)
{
    auto const found = s.fields.find("cores");
    if (found == s.fields.end())
    {
        return otherwise;
    }
    double const value = found->is_number() ? found->get<double>() : -1.0;
    if (!(value > 0.0) || value > most_cores)
    {
        s.problem = bad_field("cores", "a number above 0");
        return otherwise;
    }
    return std::llround(value * milli);
}

work_class urgency_of(submission& s, work_class otherwise)
{
    auto const found = s.fields.find("class");
    if (found == s.fields.end())
    {
        return otherwise;
    }
    std::optional<work_class> const value =
        found->is_string() ? parse_work_class(found->get<std::string>())
                           : std::nullopt;
    if (!value)
    {
        s.problem = bad_field("class", "urgent, normal or background");
        return otherwise;
    }
    return *value;
}

std::optional<error> unknown_field(json const& fields)
{
    static constexpr std::array<char const*, 7> known{"workload",
                                                      "tasks",
                                                      "cores",
                                                      "memory_mib",
                                                      "accelerators",
                                                      "run_time_ms",
                                                      "class"};
    for (auto const& [name, value] : fields.items())
    {
        if (std::find(known.begin(), known.end(), name) == known.end())
        {
            return error{error_code::invalid_input,
                         "\"" + name + "\" is not a field."};
        }
    }
    return std::nullopt;
}

void read_shape(submission& s, workload const& w, job_record& job)
{
    job.urgency = urgency_of(s, w.urgency);
    job.gang = w.kind == workload_kind::gang;
    job.size.milli_cores = milli_cores(s, w.size.milli_cores);
    job.size.memory_mib =
        whole_number(s, "memory_mib", w.size.memory_mib, 0, most_memory_mib);
    job.size.accelerators = whole_number(
        s, "accelerators", w.size.accelerators, 0, most_accelerators);
    job.run_time = milliseconds{whole_number(
        s, "run_time_ms", job.run_time.count(), 1, most_run_time_ms)};
    std::int64_t const tasks = whole_number(s, "tasks", w.tasks, 1, most_tasks);
    for (int i = 0; i < tasks; ++i)
    {
        task_record task;
        task.index = i;
        job.tasks.push_back(task);
    }
}

json job_fields(job_record const& job)
{
    json tasks = json::array();
    for (task_record const& task : job.tasks)
    {
        tasks.push_back({{"index", task.index},
                         {"attempt", task.attempt},
                         {"worker", task.worker.value},
                         {"done", task.done}});
    }
    return {{"id", public_job_id({job.home, job.name})},
            {"state", to_string(job.state)},
            {"tenant", job.tenant.value},
            {"workload", job.workload.value},
            {"class", to_string(job.urgency)},
            {"tasks", tasks}};
}

} // namespace

std::string public_job_id(job_place const& place)
{
    std::string home = place.home.value;
    std::replace(home.begin(), home.end(), '/', '~');
    return home + "~" + place.name.value;
}

std::optional<job_place> parse_public_job_id(std::string const& text)
{
    std::size_t const first = text.find('~');
    std::size_t const second =
        first == std::string::npos ? first : text.find('~', first + 1);
    if (second == std::string::npos || second + 1 == text.size())
    {
        return std::nullopt;
    }
    std::string const home = text.substr(0, first) + "/" +
                             text.substr(first + 1, second - first - 1);
    return job_place{shard_id{home}, job_id{text.substr(second + 1)}};
}

result<job_record> parse_submission(other_request const& call,
                                    cell_config const& config,
                                    job_id const& name)
{
    submission s;
    s.fields = json::parse(call.body, nullptr, false);
    if (!s.fields.is_object())
    {
        return error{error_code::invalid_input,
                     "The body must be a JSON object."};
    }
    std::optional<error> const unknown = unknown_field(s.fields);
    if (unknown)
    {
        return *unknown;
    }
    auto const workload_field = s.fields.find("workload");
    if (workload_field == s.fields.end() || !workload_field->is_string())
    {
        return bad_field("workload", "the name of a workload");
    }
    if (call.tenant.empty())
    {
        return error{error_code::invalid_input,
                     "The header Cicada-Tenant is missing."};
    }
    job_record job;
    job.name = name;
    job.tenant = call.tenant;
    job.workload = workload_id{workload_field->get<std::string>()};
    auto const found = config.workloads.find(job.workload);
    read_shape(
        s, found == config.workloads.end() ? workload{} : found->second, job);
    if (s.problem)
    {
        return *s.problem;
    }
    return job;
}

other_answer job_answer(int status, job_record const& job)
{
    return {status, json_type, job_fields(job).dump(), {}};
}

other_answer submission_answer(answer_job const& effect)
{
    if (!effect.code.empty())
    {
        return problem_answer(
            effect.status, effect.code, effect.detail, effect.outcome);
    }
    job_id const name = effect.existing.empty() ? effect.job : effect.existing;
    std::string const id = public_job_id({effect.home, name});
    json const body{{"id", id}, {"state", to_string(job_state::queued)}};
    return {effect.status,
            json_type,
            body.dump(),
            {header_field{"Location", "/v1/jobs/" + id}}};
}

other_answer problem_answer(int status,
                            std::string const& code,
                            std::string const& detail,
                            request_outcome outcome)
{
    json const body{{"type", "about:blank"},
                    {"title", code},
                    {"status", status},
                    {"code", code},
                    {"detail", detail},
                    {"outcome", to_string(outcome)}};
    other_answer answer{status, problem_type, body.dump(), {}};
    answer.headers.push_back({"Cicada-Outcome", to_string(outcome)});
    if (status == 503)
    {
        answer.headers.push_back({"Retry-After", "1"});
    }
    return answer;
}

std::string digest_of(std::string const& body)
{
    std::array<char, 17> digits{};
    std::snprintf(
        digits.data(),
        digits.size(),
        "%016llx",
        static_cast<unsigned long long>(XXH3_64bits(body.data(), body.size())));
    return digits.data();
}

} // namespace cicada
