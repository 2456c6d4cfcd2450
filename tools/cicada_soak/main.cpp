#include "soak/soak.hpp"

#include <popt.h>

#include <csignal>
#include <cstdlib>
#include <filesystem>
#include <iostream>

/** Soaks the cell's daemon with faults from seeds; docs/ops/soak.md. */
namespace
{

constexpr int exit_breach = 1;
constexpr int exit_usage = 2;
constexpr int exit_start = 3;

struct options
{
    long long first_seed = 1;
    int seeds = 1;
    int daemons = 5;
    int workers = 12;
    int seconds = 15;
    int calm = 0;
    double rate = 12.0;
    std::string program;
    std::string folder;
    bool right = false;
};

options read_options(int argc, char const** argv)
{
    options given;
    char* program = nullptr;
    char* folder = nullptr;
    poptOption const table[] = {
        {"seed",
         's',
         POPT_ARG_LONGLONG,
         &given.first_seed,
         0,
         "first seed",
         "N"},
        {"seeds", 'n', POPT_ARG_INT, &given.seeds, 0, "how many seeds", "N"},
        {"daemons", 'd', POPT_ARG_INT, &given.daemons, 0, "processes", "N"},
        {"workers", 'w', POPT_ARG_INT, &given.workers, 0, "workers", "N"},
        {"seconds", 't', POPT_ARG_INT, &given.seconds, 0, "of load", "N"},
        {"rate", 'r', POPT_ARG_DOUBLE, &given.rate, 0, "jobs a second", "X"},
        {"calm", 'c', POPT_ARG_NONE, &given.calm, 0, "no faults", nullptr},
        {"program",
         'p',
         POPT_ARG_STRING,
         &program,
         0,
         "of cicada_cell",
         "FILE"},
        {"folder", 'f', POPT_ARG_STRING, &folder, 0, "for logs", "DIR"},
        POPT_AUTOHELP POPT_TABLEEND};
    poptContext context = poptGetContext("cicada_soak", argc, argv, table, 0);
    bool const read = poptGetNextOpt(context) == -1;
    given.right = read && program != nullptr && folder != nullptr &&
                  given.seeds > 0 && given.daemons > 0 && given.workers > 0 &&
                  given.seconds > 0 && given.rate > 0.0;
    if (!given.right)
    {
        poptPrintUsage(context, stderr, 0);
    }
    given.program = program != nullptr ? program : "";
    given.folder = folder != nullptr ? folder : "";
    std::free(program);
    std::free(folder);
    poptFreeContext(context);
    return given;
}

void print(std::uint64_t seed, cicada::soak::soak_report const& report)
{
    std::cout << "seed " << seed << ": " << report.faults.size() << " faults, "
              << report.handed_in << " jobs handed in, " << report.accepted
              << " accepted, " << report.refused << " refused, "
              << report.completed << " completed, " << report.failed
              << " failed, " << report.cancelled << " cancelled, "
              << report.runs << " runs, " << report.breaches.size()
              << " breaches" << std::endl;
    for (std::string const& each : report.breaches)
    {
        std::cout << "  BREACH " << each << "\n";
    }
    if (!report.breaches.empty())
    {
        for (std::string const& each : report.faults)
        {
            std::cout << "  fault " << each << "\n";
        }
    }
}

} // namespace

int main(int argc, char const** argv)
{
    options const given = read_options(argc, argv);
    if (!given.right)
    {
        return exit_usage;
    }
    std::signal(SIGPIPE, SIG_IGN);
    int broken = 0;
    for (int k = 0; k < given.seeds; ++k)
    {
        cicada::soak::soak_settings settings;
        settings.seed = static_cast<std::uint64_t>(given.first_seed + k);
        settings.program = given.program;
        settings.folder =
            given.folder + "/seed-" + std::to_string(settings.seed);
        settings.daemons = given.daemons;
        settings.workers = given.workers;
        settings.jobs_per_second = given.rate;
        settings.load = cicada::seconds(given.seconds);
        settings.faults = given.calm == 0;
        std::error_code problem;
        std::filesystem::remove_all(settings.folder, problem);
        std::filesystem::create_directories(settings.folder, problem);
        cicada::result<cicada::soak::soak_report> const report =
            cicada::soak::run_soak(settings);
        if (!report.has_value())
        {
            std::cerr << "cicada_soak: " << report.assume_error().message
                      << "\n";
            return exit_start;
        }
        print(settings.seed, report.assume_value());
        broken += report.assume_value().breaches.empty() ? 0 : 1;
    }
    return broken == 0 ? 0 : exit_breach;
}
