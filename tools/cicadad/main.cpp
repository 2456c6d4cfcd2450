#include "daemon/daemon.hpp"
#include "events_log/events_log.hpp"

#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <popt.h>
#include <pplx/threadpool.h>

#include <csignal>
#include <iostream>
#include <random>
#include <thread>

/** The daemon's program: options, settings, signals. */
namespace
{

constexpr int library_threads = 4;
constexpr int exit_usage = 2;
constexpr int exit_settings = 3;
constexpr int exit_address = 4;

/** What the command line says. */
struct options
{
    std::string settings_file;
    bool check_only = false;
};

/** Reads the command line; none: it was wrong, and that was said. */
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
         "settings file (INI, docs/SETTINGS.md)",
         "FILE"},
        {"check", 'c', POPT_ARG_NONE, &check, 0, "check the settings", nullptr},
        POPT_AUTOHELP POPT_TABLEEND};
    poptContext context = poptGetContext("cicadad", argc, argv, table, 0);
    int const read = poptGetNextOpt(context);
    bool const right = read == -1 && file != nullptr;
    if (!right)
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
    return right ? std::optional<options>(given) : std::nullopt;
}

cicada::event_level level_of(cicada::log_level level)
{
    switch (level)
    {
    case cicada::log_level::info:
        return cicada::event_level::info;
    case cicada::log_level::warning:
        return cicada::event_level::warning;
    case cicada::log_level::error:
        return cicada::event_level::error;
    }
    return cicada::event_level::info;
}

/** Turns SIGTERM and SIGINT into stop(), on a thread of its own. */
class signal_thread
{
public:
    explicit signal_thread(cicada::daemon& target)
        : signals(this->context, SIGTERM, SIGINT)
    {
        this->wait(target);
        this->thread = std::thread(
            [this]
            {
                this->context.run();
            });
    }

    ~signal_thread()
    {
        this->context.stop();
        this->thread.join();
    }

    signal_thread(signal_thread const&) = delete;
    signal_thread& operator=(signal_thread const&) = delete;

private:
    void wait(cicada::daemon& target)
    {
        this->signals.async_wait(
            [this, &target](boost::system::error_code const& problem, int)
            {
                if (!problem)
                {
                    target.stop();
                    this->wait(target);
                }
            });
    }

    boost::asio::io_context context{1};
    boost::asio::signal_set signals;
    std::thread thread;
};

int run(cicada::cicadad_settings const& settings)
{
    cicada::log_settings log;
    log.program = "cicadad";
    log.directory = settings.log_directory;
    log.min_level = level_of(settings.level);
    cicada::open_log(log);
    cicada::result<std::unique_ptr<cicada::daemon>> opened =
        cicada::daemon::open(settings);
    if (!opened.has_value())
    {
        std::cerr << "cicadad: " << opened.assume_error().message << "\n";
        return exit_address;
    }
    cicada::daemon& daemon = *opened.assume_value();
    {
        signal_thread const signals(daemon);
        daemon.run();
    }
    cicada::close_log();
    return 0;
}

} // namespace

int main(int argc, char const** argv)
{
    crossplat::threadpool::initialize_with_threads(library_threads);
    std::optional<options> const given = read_options(argc, argv);
    if (!given)
    {
        return exit_usage;
    }
    cicada::checked<cicada::cicadad_settings> read =
        cicada::load_settings(given->settings_file);
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
    cicada::cicadad_settings settings = read.assume_value();
    settings.core.incarnation = std::random_device()();
    return run(settings);
}
