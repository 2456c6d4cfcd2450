#include "note_calls.hpp"

#include <nlohmann/json.hpp>

#include <condition_variable>
#include <cstdio>
#include <mutex>

namespace cicada
{
namespace
{

using json = nlohmann::json;

constexpr milliseconds poll_period{200};

/** The live daemons that haven't the note yet; empty optional: no answer. */
std::optional<std::vector<std::string>> daemons_without(invocation const& asked,
                                                        std::uint64_t number)
{
    result<operators_answer> const answer =
        call_daemon(asked, "GET", "/v1/status");
    if (!answer.has_value() || answer.assume_value().status != 200)
    {
        return std::nullopt;
    }
    json const body = json::parse(answer.assume_value().body, nullptr, false);
    std::vector<std::string> names;
    for (json const& each : body.at("daemons"))
    {
        if (each.at("note_number").get<std::uint64_t>() < number)
        {
            names.push_back(each.at("name").get<std::string>());
        }
    }
    return names;
}

void wait_a_period()
{
    std::mutex mutex;
    std::unique_lock<std::mutex> lock(mutex);
    std::condition_variable().wait_for(lock, poll_period);
}

} // namespace

exit_code
wait_in_force(invocation const& asked, std::uint64_t number, bool repeated)
{
    std::chrono::steady_clock::time_point const end =
        std::chrono::steady_clock::now() + asked.wait;
    std::optional<std::vector<std::string>> missing =
        daemons_without(asked, number);
    while ((!missing || !missing->empty()) &&
           std::chrono::steady_clock::now() < end)
    {
        std::fprintf(stderr,
                     "\rnote %lu is published; waiting for %zu daemons ",
                     static_cast<unsigned long>(number),
                     missing ? missing->size() : 0);
        wait_a_period();
        missing = daemons_without(asked, number);
    }
    bool const everywhere = missing && missing->empty();
    if (asked.json)
    {
        json const told{
            {"number", number},
            {"repeated", repeated},
            {"in_force_everywhere", everywhere},
            {"missing", missing.value_or(std::vector<std::string>{})}};
        std::printf("%s\n", told.dump(2).c_str());
    }
    else if (everywhere)
    {
        std::printf("Note %lu %s in force on all live daemons.\n",
                    static_cast<unsigned long>(number),
                    repeated ? "was published before and is" : "is");
    }
    else
    {
        std::printf("Note %lu is published, but not yet in force on: %s\n",
                    static_cast<unsigned long>(number),
                    missing ? join_names(*missing).c_str() : "unknown");
    }
    return everywhere ? exit_code::ok : exit_code::unknown;
}

} // namespace cicada
