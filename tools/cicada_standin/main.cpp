#include "options.hpp"

#include "standin_agents/standin_agents.hpp"
#include "standin_store/standin_store.hpp"

#include <csignal>
#include <cstdio>

/**
 * Stand-ins of the platform's service, instance list, workers and endpoints in
 * one process, for tests and trials. Prints a line "ready store=HOST:PORT
 * control=HOST:PORT store_control=HOST:PORT" once all listen; ends on SIGTERM
 * or SIGINT.
 */
namespace
{

constexpr int exit_usage = 2;
constexpr int exit_failed = 1;

cicada::standin_agents_settings
agents_settings(cicada::standin_options const& options)
{
    cicada::standin_agents_settings settings;
    settings.host = options.host;
    settings.control_port = options.control_port;
    settings.agents = make_instances(options);
    for (cicada::served_pool const& pool : options.pools)
    {
        settings.service_times[pool.name] = pool.service_time;
    }
    return settings;
}

int fail(cicada::error const& why, int status)
{
    std::fprintf(stderr, "cicada_standin: %s\n", why.message.c_str());
    return status;
}

int run(cicada::standin_options const& options, sigset_t const& end_signals)
{
    cicada::standin_store store;
    cicada::standin_settings store_settings;
    store_settings.host = options.host;
    store_settings.port = options.store_port;
    store_settings.instance_lag = options.instance_lag;
    cicada::result<std::uint16_t> const store_port =
        store.start(store_settings);
    if (!store_port.has_value())
    {
        return fail(store_port.assume_error(), exit_failed);
    }
    cicada::standin_agents agents;
    cicada::result<std::vector<cicada::instance>> const listed =
        agents.start(agents_settings(options));
    if (!listed.has_value())
    {
        return fail(listed.assume_error(), exit_failed);
    }
    store.set_instances(cicada::encode_instances(listed.assume_value()));
    std::string const host = options.host;
    std::printf("ready store=%s:%d control=%s:%d store_control=%s:%d\n",
                host.c_str(),
                store_port.assume_value(),
                host.c_str(),
                agents.control_port(),
                host.c_str(),
                store.control_port());
    std::fflush(stdout);
    int received = 0;
    sigwait(&end_signals, &received);
    agents.stop();
    store.stop();
    return 0;
}

} // namespace

int main(int argc, char** argv)
{
    sigset_t end_signals;
    sigemptyset(&end_signals);
    sigaddset(&end_signals, SIGTERM);
    sigaddset(&end_signals, SIGINT);
    pthread_sigmask(SIG_BLOCK, &end_signals, nullptr);
    std::signal(SIGPIPE, SIG_IGN);
    cicada::result<cicada::standin_options> const options =
        cicada::read_options(argc, const_cast<char const**>(argv));
    if (!options.has_value())
    {
        return fail(options.assume_error(), exit_usage);
    }
    return run(options.assume_value(), end_signals);
}
