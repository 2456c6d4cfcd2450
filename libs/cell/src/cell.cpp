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
constexpr int reserved_descriptors = 500;  //!< workers, links, the store
constexpr char const* cell_token = "cell"; //!< peers are told apart by names

std::uint64_t random_number()
{
    std::random_device source;
    return (std::uint64_t{source()} << 20) ^ source();
}

http_server_settings caller_bounds(cell_settings const& settings)
{
    http_server_settings out;
    out.connections = static_cast<std::size_t>(
        std::max(100, settings.descriptors - reserved_descriptors));
    return out;
}

link_settings link_of(cell_settings const& settings, std::uint64_t incarnation)
{
    link_settings out;
    out.name = settings.name;
    out.incarnation = incarnation;
    out.token = cell_token;
    out.host = settings.link.host;
    out.port = settings.link.port;
    out.seed = static_cast<std::uint32_t>(incarnation);
    out.silence_limit = milliseconds{1500};
    out.dial_limit = milliseconds{1000};
    out.first_backoff = milliseconds{50};
    out.longest_backoff = milliseconds{500};
    return out;
}

} // namespace

cell_daemon::impl::impl(cell_settings const& given, std::string file)
    : shared(given), settings_file(std::move(file)),
      incarnation(random_number()),
      caller_server(this->shared.loop,
                    caller_bounds(given),
                    [this](http_request const& request, http_responder answer)
                    {
                        if (platform::is_readiness_probe(request))
                        {
                            this->answer_probe(answer);
                            return;
                        }
                        this->callers->handle(request, std::move(answer));
                    }),
      probe_server(this->shared.loop,
                   {},
                   [this](http_request const&, http_responder const& answer)
                   {
                       this->answer_probe(answer);
                   }),
      metrics_server(this->shared.loop,
                     {},
                     [this](http_request const&, http_responder const& answer)
                     {
                         this->answer_metrics(answer);
                     }),
      signals(this->shared.loop, SIGTERM, SIGINT, SIGHUP),
      link(link_of(given, this->incarnation),
           {[this](std::string const& peer)
            {
                boost::asio::post(this->shared.loop,
                                  [this, peer]
                                  {
                                      this->up.insert(peer);
                                      this->set_askers();
                                      this->note_placer_link(peer, true);
                                      this->shared.write(200, "peer=" + peer);
                                  });
            },
            [this](std::string const& peer, std::string const& why)
            {
                boost::asio::post(
                    this->shared.loop,
                    [this, peer, why]
                    {
                        this->up.erase(peer);
                        this->set_askers();
                        this->note_placer_link(peer, false);
                        this->shared.write(
                            201, "peer=" + peer + " why=\"" + why + "\"");
                    });
            },
            [this](std::string const& peer, std::string const& bytes)
            {
                boost::asio::post(this->shared.loop,
                                  [this, peer, bytes]
                                  {
                                      this->take_message(peer, bytes);
                                  });
            }})
{
    membership::membership_settings rules;
    rules.self = {given.name, given.link, this->incarnation, given.milli_cores};
    this->members = membership::make_membership(rules, this->shared.now());
    this->callers = std::make_shared<entry>(
        this->shared,
        entry_ports{[this](message const& m)
                    {
                        return this->send_to_placer(m);
                    },
                    [this](std::string const& job)
                    {
                        return this->placing ? this->placing->state_of(job)
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
    if (!given.advisor.host.empty())
    {
        this->advisor = std::make_unique<http_client>(
            this->shared.loop,
            given.advisor,
            http_client_settings{advisor_connections});
    }
    this->cell_watch = std::make_shared<watched_prefix>(
        this->shared,
        keys::cell,
        milliseconds{0},
        watch_wait,
        [this](watched_prefix::items const& items,
               std::vector<std::string> const&)
        {
            this->take_view(items);
        });
    this->config_watch = std::make_shared<watched_prefix>(
        this->shared,
        keys::config,
        milliseconds{0},
        watch_wait,
        [this](watched_prefix::items const& items,
               std::vector<std::string> const&)
        {
            this->take_config(items);
        });
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
    this->shared.write(100,
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
    this->shared.loop.run();
}

// ---- the public face

cell_daemon::cell_daemon(std::unique_ptr<impl> made) : self(std::move(made)) {}

cell_daemon::~cell_daemon()
{
    this->self->link.stop();
}

result<std::unique_ptr<cell_daemon>>
cell_daemon::open(cell_settings const& settings,
                  std::string const& settings_file)
{
    std::unique_ptr<impl> made =
        std::make_unique<impl>(settings, settings_file);
    result<void> const listening = made->listen();
    if (!listening.has_value())
    {
        return listening.assume_error();
    }
    return std::unique_ptr<cell_daemon>(new cell_daemon(std::move(made)));
}

void cell_daemon::run()
{
    this->self->run();
}

} // namespace cicada::cell
