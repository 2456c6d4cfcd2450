#include "config_check/config_check.hpp"
#include "platform/platform.hpp"

#include <popt.h>

#include <fstream>
#include <iostream>
#include <optional>
#include <sstream>

/** Checks a configuration before it is sent; reads files only. */
namespace
{

using cicada::batch::cell_config;
using cicada::config_check::finding;
using cicada::config_check::severity;

constexpr int exit_warnings = 1;
constexpr int exit_errors = 2;
constexpr int exit_usage = 3;

struct options
{
    std::string file;
    std::string in_force; //!< empty: none to compare with
};

/** Reads the command line; none: invalid, and the usage was printed. */
std::optional<options> read_options(int argc, char const** argv)
{
    char* in_force = nullptr;
    poptOption const table[] = {{"against",
                                 'a',
                                 POPT_ARG_STRING,
                                 &in_force,
                                 0,
                                 "the configuration in force, to compare with",
                                 "FILE"},
                                POPT_AUTOHELP POPT_TABLEEND};
    poptContext context = poptGetContext("cicada_check", argc, argv, table, 0);
    poptSetOtherOptionHelp(context, "[--against FILE] FILE");
    int const read = poptGetNextOpt(context);
    char const* const file = poptGetArg(context);
    std::optional<options> given;
    if (read == -1 && file != nullptr && poptPeekArg(context) == nullptr)
    {
        given = options{file, in_force == nullptr ? "" : in_force};
    }
    else
    {
        poptPrintUsage(context, stderr, 0);
    }
    std::free(in_force);
    poptFreeContext(context);
    return given;
}

/** Reads a configuration; none: it can't be read, and the reason was printed.
 */
std::optional<cell_config> read_config(std::string const& path)
{
    std::ifstream file(path);
    std::ostringstream text;
    text << file.rdbuf();
    if (!file)
    {
        std::cout << "error: " << path << ": can't be read\n";
        return std::nullopt;
    }
    cicada::result<cell_config> read =
        cicada::platform::decode_config(text.str());
    if (!read.has_value())
    {
        std::cout << "error: " << path << ": " << read.assume_error().message
                  << "\n";
        return std::nullopt;
    }
    return read.assume_value();
}

int exit_code(std::vector<finding> const& found)
{
    severity worst = severity::change;
    for (finding const& each : found)
    {
        worst = std::max(worst, each.kind);
    }
    return worst == severity::error     ? exit_errors
           : worst == severity::warning ? exit_warnings
                                        : 0;
}

} // namespace

int main(int argc, char const** argv)
{
    std::optional<options> const given = read_options(argc, argv);
    if (!given)
    {
        return exit_usage;
    }
    std::optional<cell_config> const config = read_config(given->file);
    std::optional<cell_config> in_force;
    if (!given->in_force.empty())
    {
        in_force = read_config(given->in_force);
    }
    if (!config || (!given->in_force.empty() && !in_force))
    {
        return exit_errors;
    }
    std::vector<finding> const found =
        cicada::config_check::check(*config, in_force);
    for (finding const& each : found)
    {
        std::cout << cicada::config_check::to_string(each.kind) << ": "
                  << each.text << "\n";
    }
    return exit_code(found);
}
