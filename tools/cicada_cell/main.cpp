#include "cell/cell.hpp"

#include <popt.h>

#include <csignal>
#include <cstdlib>
#include <iostream>
#include <optional>

/** The daemon of a cell: command line and settings. */
namespace
{

constexpr int exit_usage = 2;
constexpr int exit_settings = 3;
constexpr int exit_address = 4;

struct options
{
    std::string settings_file;
    bool check_only = false;
};

/** Reads the command line; none: invalid, and the usage was printed. */
std::optional<options> read_options(int argc, char const** argv)
{
    char* file = nullptr;
    int check = 0;
    poptOption const table[] = {
        {"settings",
         's',
         POPT_ARG_STRING,
         &file,
         0,
         "settings file (INI, docs/SETTINGS-CELL.md)",
         "FILE"},
        {"check",
         'c',
         POPT_ARG_NONE,
         &check,
         0,
         "check the settings, name every problem, and end",
         nullptr},
        POPT_AUTOHELP POPT_TABLEEND};
    poptContext context = poptGetContext("cicada_cell", argc, argv, table, 0);
    int const read = poptGetNextOpt(context);
    bool const valid = read == -1 && file != nullptr;
    if (!valid)
    {
        poptPrintUsage(context, stderr, 0);
    }
    options given;
    given.check_only = check != 0;
    if (file != nullptr)
    {
        given.settings_file = file;
        std::free(file);
    }
    poptFreeContext(context);
    return valid ? std::optional<options>(given) : std::nullopt;
}

} // namespace

int main(int argc, char const** argv)
{
    std::optional<options> const given = read_options(argc, argv);
    if (!given)
    {
        return exit_usage;
    }
    std::signal(SIGPIPE, SIG_IGN);
    cicada::checked<cicada::cell::cell_settings> const read =
        cicada::cell::load_settings(given->settings_file);
    if (!read.has_value())
    {
        for (cicada::text_problem const& problem : read.assume_error())
        {
            std::cerr << cicada::describe(problem, given->settings_file)
                      << "\n";
        }
        return exit_settings;
    }
    if (given->check_only)
    {
        std::cout << "settings are good\n";
        return 0;
    }
    cicada::result<std::unique_ptr<cicada::cell::cell_daemon>> opened =
        cicada::cell::cell_daemon::open(read.assume_value(),
                                        given->settings_file);
    if (!opened.has_value())
    {
        std::cerr << "cicada_cell: " << opened.assume_error().message << "\n";
        return exit_address;
    }
    opened.assume_value()->run();
    return 0;
}
