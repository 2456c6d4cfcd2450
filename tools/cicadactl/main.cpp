#include "command.hpp"

#include <nlohmann/json.hpp>
#include <popt.h>
#include <pplx/threadpool.h>

#include <cstdio>
#include <cstdlib>
#include <fstream>

namespace cicada
{
namespace
{

constexpr int client_threads = 2;

/** What popt fills in; it owns the texts until they are copied. */
struct raw_options
{
    char* address = nullptr;
    char* token_file = nullptr;
    char* wait = nullptr;
    char* since = nullptr;
    int json = 0;
};

std::string text_or(char const* given, char const* variable)
{
    if (given != nullptr)
    {
        return given;
    }
    char const* const set = std::getenv(variable);
    return set == nullptr ? "" : set;
}

std::string token_from(std::string const& path)
{
    if (path.empty())
    {
        return text_or(nullptr, "CICADA_TOKEN");
    }
    std::ifstream file(path);
    std::string token;
    std::getline(file, token);
    return token;
}

std::optional<invocation> make_invocation(raw_options const& raw)
{
    invocation asked;
    std::string const where = text_or(raw.address, "CICADA_OPERATORS");
    std::optional<address> const daemon = parse_address(where);
    if (!where.empty() && !daemon)
    {
        std::fprintf(stderr, "--daemon: IP:port is allowed\n");
        return std::nullopt;
    }
    asked.daemon = daemon.value_or(address{"127.0.0.1", 8081});
    asked.token = token_from(text_or(raw.token_file, "CICADA_TOKEN_FILE"));
    asked.json = raw.json != 0;
    asked.since = text_or(raw.since, "");
    if (raw.wait != nullptr)
    {
        std::optional<milliseconds> const wait = parse_duration(raw.wait);
        if (!wait)
        {
            std::fprintf(stderr, "--wait: a time such as 10s is allowed\n");
            return std::nullopt;
        }
        asked.wait = *wait;
    }
    return asked;
}

/** A daemon's answer that breaks its format ends no process. */
exit_code run_checked(invocation const& asked)
{
    try
    {
        return run_command(asked);
    }
    catch (nlohmann::json::exception const& fault)
    {
        std::fprintf(
            stderr, "the daemon's answer is malformed: %s\n", fault.what());
        return exit_code::unknown;
    }
}

exit_code run(int count, char const** words)
{
    raw_options raw;
    poptOption const options[] = {
        {"daemon",
         'd',
         POPT_ARG_STRING,
         static_cast<void*>(&raw.address),
         0,
         "operators' address of a daemon (or CICADA_OPERATORS)",
         "IP:PORT"},
        {"token-file",
         't',
         POPT_ARG_STRING,
         static_cast<void*>(&raw.token_file),
         0,
         "file with the token (or CICADA_TOKEN_FILE, CICADA_TOKEN)",
         "FILE"},
        {"json", 'j', POPT_ARG_NONE, &raw.json, 0, "print JSON", nullptr},
        {"wait",
         'w',
         POPT_ARG_STRING,
         static_cast<void*>(&raw.wait),
         0,
         "how long publish waits for all daemons (10s)",
         "TIME"},
        {"since",
         's',
         POPT_ARG_STRING,
         static_cast<void*>(&raw.since),
         0,
         "how far back note log goes",
         "7d"},
        POPT_AUTOHELP POPT_TABLEEND};
    poptContext context = poptGetContext("cicadactl", count, words, options, 0);
    int const ended = poptGetNextOpt(context);
    if (ended < -1)
    {
        std::fprintf(stderr,
                     "%s: %s\n",
                     poptBadOption(context, POPT_BADOPTION_NOALIAS),
                     poptStrerror(ended));
        poptFreeContext(context);
        return print_usage();
    }
    std::optional<invocation> asked = make_invocation(raw);
    for (char const* word = poptGetArg(context); asked && word != nullptr;
         word = poptGetArg(context))
    {
        asked->words.emplace_back(word);
    }
    poptFreeContext(context);
    return asked ? run_checked(*asked) : exit_code::usage;
}

} // namespace
} // namespace cicada

int main(int count, char** words)
{
    crossplat::threadpool::initialize_with_threads(cicada::client_threads);
    return static_cast<int>(
        cicada::run(count, const_cast<char const**>(words)));
}
