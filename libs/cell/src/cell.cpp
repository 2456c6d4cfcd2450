#include "cell_impl.hpp"

#include <boost/asio/post.hpp>

#include <algorithm>
#include <csignal>
#include <random>

namespace cicada::cell
{

namespace
{

constexpr std::size_t advisor_connections = 12;
constexpr int reserved_descriptors = 500; //!< for workers, peers, the store
constexpr int min_caller_connections = 100;
constexpr milliseconds startup_grace{500};   //!< instances start within 0.3 s
constexpr milliseconds handover_delay{3000}; //!< a new instance may end again
/** Parts of the memory, as 1/N: all requests without a response, and what
 * idle connections of callers take, about 6 KiB each. */
constexpr std::size_t unfinished_part = 4;
constexpr std::size_t connections_part = 8;
constexpr std::size_t connection_bytes = std::size_t{8} << 10;
/** Of the readiness probes and of the metrics, which have few callers. */
constexpr std::size_t side_connections = 100;
constexpr std::size_t side_unfinished_bytes = std::size_t{2} << 20;
constexpr char const* link_token = "cell"; //!< the same in every daemon
constexpr milliseconds link_silence_limit{1500};
constexpr milliseconds link_dial_limit{1000};
constexpr milliseconds link_first_backoff{50};
constexpr milliseconds link_longest_backoff{500};

std::uint64_t random_incarnation()
{
    std::random_device source;
    return (std::uint64_t{source()} << 20) ^ source();
}

http_server_settings caller_server_settings(cell_settings const& settings)
{
    http_server_settings out;
    out.connections = static_cast<std::size_t>(std::max(
        min_caller_connections, settings.descriptors - reserved_descriptors));
    if (settings.memory_mib > 0)
    {
        std::size_t const memory = static_cast<std::size_t>(settings.memory_mib)
                                   << 20;
        out.unfinished_bytes = memory / unfinished_part;
        out.connections = std::min(
            out.connections, memory / connections_part / connection_bytes);
    }
    return out;
}

http_server_settings side_server_settings()
{
    http_server_settings out;
    out.connections = side_connections;
    out.unfinished_bytes = side_unfinished_bytes;
    return out;
}

link_settings make_link_settings(cell_settings const& settings,
                                 std::uint64_t incarnation)
{
    link_settings out;
    out.name = settings.name;
    out.incarnation = incarnation;
    out.token = link_token;
    out.host = settings.link.host;
    out.port = settings.link.port;
    out.seed = static_cast<std::uint32_t>(incarnation);
    out.silence_limit = link_silence_limit;
    out.dial_limit = link_dial_limit;
    out.first_backoff = link_first_backoff;
    out.longest_backoff = link_longest_backoff;
    return out;
}

} // namespace

cell_daemon::impl::impl(cell_settings const& settings, std::string file)
    : shared(settings), settings_file(std::move(file)),
      incarnation(random_incarnation()),
      caller_server(this->shared.loop,
                    caller_server_settings(settings),
                    [this](http_request const& request, http_responder answer)
                    {
                        if (platform::is_readiness_probe(request))
                        {
                            this->answer_probe(answer);
                            return;
                        }
                        this->api->handle(request, std::move(answer));
                    }),
      probe_server(this->shared.loop,
                   side_server_settings(),
                   [this](http_request const&, http_responder const& answer)
                   {
                       this->answer_probe(answer);
                   }),
      metrics_server(this->shared.loop,
                     side_server_settings(),
                     [this](http_request const&, http_responder const& answer)
                     {
                         this->answer_metrics(answer);
                     }),
      signals(this->shared.loop, SIGTERM, SIGINT, SIGHUP),
      link(make_link_settings(settings, this->incarnation),
           {[this](std::string const& peer)
            {
                boost::asio::post(this->shared.loop,
                                  [this, peer]
                                  {
                                      this->connected_peers.insert(peer);
                                      this->update_askers();
                                      this->report_placer_link(peer, true);
                                      this->shared.log_event(events::peer_up,
                                                             "peer=" + peer);
                                  });
            },
            [this](std::string const& peer, std::string const& why)
            {
                boost::asio::post(this->shared.loop,
                                  [this, peer, why]
                                  {
                                      this->connected_peers.erase(peer);
                                      this->update_askers();
                                      this->report_placer_link(peer, false);
                                      this->shared.log_event(events::peer_down,
                                                             "peer=" + peer +
                                                                 " why=\"" +
                                                                 why + "\"");
                                  });
            },
            [this](std::string const& peer, std::string const& bytes)
            {
                boost::asio::post(this->shared.loop,
                                  [this, peer, bytes]
                                  {
                                      this->handle_message(peer, bytes);
                                  });
            }})
{
    membership::membership_settings rules;
    rules.self = {
        settings.name, settings.link, this->incarnation, settings.milli_cores};
    rules.startup_grace = startup_grace;
    rules.handover_delay = handover_delay;
    this->members = membership::make_membership(rules, this->shared.now());
    this->api = std::make_shared<caller_api>(
        this->shared,
        caller_api_ports{[this](message const& m)
                         {
                             return this->send_to_placer(m);
                         },
                         [this](std::string const& job)
                         {
                             return this->active_placer
                                        ? this->active_placer->state_of(job)
                                        : std::nullopt;
                         },
                         [this](std::set<std::string> const& tried)
                         {
                             return this->next_peer(tried);
                         },
                         [this](std::string const& peer, message const& m)
                         {
                             return this->send(peer, m);
                         }});
    if (!settings.advisor.host.empty())
    {
        this->advisor = std::make_unique<http_client>(
            this->shared.loop,
            settings.advisor,
            http_client_settings{advisor_connections});
    }
    store_watch::watch_settings const watch_settings =
        store_watch::make_watch_settings(settings.catch_up_limit,
                                         milliseconds{0});
    this->cell_watch = std::make_shared<watched_prefix>(
        this->shared,
        keys::cell,
        watch_settings,
        [this](watched_prefix::items const& items,
               std::vector<std::string> const&)
        {
            this->handle_view(items);
        });
    this->config_watch = std::make_shared<watched_prefix>(
        this->shared,
        keys::config,
        watch_settings,
        [this](watched_prefix::items const& items,
               std::vector<std::string> const&)
        {
            this->handle_config(items);
        });
    this->shared.on_store_recovery = [this](instant sent_at)
    {
        this->handle_store_recovery(sent_at);
    };
}

result<void> cell_daemon::impl::listen()
{
    std::pair<http_server*, address> const all[] = {
        {&this->caller_server, this->shared.settings.callers},
        {&this->probe_server, this->shared.settings.readiness},
        {&this->metrics_server, this->shared.settings.metrics},
    };
    for (auto const& each : all)
    {
        result<address> const opened = each.first->listen(each.second);
        if (!opened.has_value())
        {
            return opened.assume_error();
        }
    }
    std::string const problem = this->link.start();
    if (!problem.empty())
    {
        return error{error_code::unavailable, "link: " + problem};
    }
    return BOOST_OUTCOME_V2_NAMESPACE::success();
}

void cell_daemon::impl::run()
{
    this->shared.log_event(
        events::process_started,
        "zone=" + this->shared.settings.zone +
            " incarnation=" + std::to_string(this->incarnation));
    this->signals.async_wait(
        [this](boost::system::error_code const& problem, int number)
        {
            if (!problem)
            {
                this->on_signal(number);
            }
        });
    this->cell_watch->start();
    this->config_watch->start();
    this->tick();
    this->flush_log();
    this->log_closed_connections();
    this->shared.loop.run();
}

// ---- public interface

cell_daemon::cell_daemon(std::unique_ptr<impl> created)
    : implementation(std::move(created))
{
}

cell_daemon::~cell_daemon()
{
    this->implementation->link.stop();
}

result<std::unique_ptr<cell_daemon>>
cell_daemon::open(cell_settings const& settings,
                  std::string const& settings_file)
{
    std::unique_ptr<impl> created =
        std::make_unique<impl>(settings, settings_file);
    result<void> const listening = created->listen();
    if (!listening.has_value())
    {
        return listening.assume_error();
    }
    return std::unique_ptr<cell_daemon>(new cell_daemon(std::move(created)));
}

void cell_daemon::run()
{
    this->implementation->run();
}

} // namespace cicada::cell
