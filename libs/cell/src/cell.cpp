#include "cell/cell.hpp"

#include "entry.hpp"
#include "keys.hpp"
#include "link/link.hpp"
#include "membership/membership.hpp"
#include "placer.hpp"
#include "watched_prefix.hpp"

#include <boost/asio/post.hpp>
#include <boost/asio/signal_set.hpp>

#include <algorithm>
#include <csignal>
#include <random>

namespace cicada::cell
{

namespace
{

constexpr milliseconds membership_tick{25};
constexpr milliseconds store_silence{3000};  //!< then no longer ready
constexpr milliseconds placer_silence{1000}; //!< the same, without the store
constexpr milliseconds flush_period{50};     //!< of the log
constexpr milliseconds leave_rotation{2300}; //!< two probes a second apart
constexpr milliseconds exit_margin{700};     //!< before the platform kills
constexpr milliseconds last_requests{150};   //!< in the kernel, not yet read
constexpr milliseconds advisor_slack{800};
constexpr std::size_t advisor_connections = 12;
constexpr std::size_t full_mesh_members = 16;
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

} // namespace

struct cell_daemon::impl
{
    impl(cell_settings const& given, std::string file);

    result<void> listen();
    void run();

    // membership
    void tick();
    void member_step(membership::event_body body);
    void do_effect(membership::grant_lease const& effect);
    void do_effect(membership::renew_lease const& effect);
    void do_effect(membership::end_lease const& effect);
    void do_effect(membership::register_self const& effect);
    void do_effect(membership::claim_placer const& effect);
    void do_effect(membership::start_placing const& effect);
    void do_effect(membership::stop_placing const& effect);
    void take_claim(membership::claim_placer const& claim,
                    result<platform::kv_committed> const& done);
    void check_claim(membership::claim_placer const& claim);
    void take_view(watched_prefix::items const& items);
    void connect_peers();

    // messages
    void take_message(std::string const& peer, std::string const& bytes);
    void take(std::string const& peer, job_message const& m);
    void take(std::string const& peer, cancel_message const& m);
    void take(std::string const& peer, state_query const& m);
    void take(std::string const& peer, state_reply const& m);
    void take(std::string const& peer, load_message const& m);
    void take(std::string const& peer, leaving_message const& m);
    void take(std::string const& peer, advice_request const& m);
    void take(std::string const& peer, advice_result const& m);
    void take(std::string const& peer, relay_request const& m);
    void take(std::string const& peer, relay_reply const& m);
    std::string placer_name() const;
    std::string next_peer(std::set<std::string> const& tried) const;
    void set_askers();
    void note_placer_link(std::string const& peer, bool is_up);
    bool send(std::string const& daemon, message const& m);
    void send_all(message const& m);
    bool send_to_placer(message const& m);

    void take_config(watched_prefix::items const& items);
    void answer_probe(http_answer const& answer) const;
    void answer_metrics(http_answer const& answer) const;
    void on_signal(int number);
    void begin_stop();
    void finish_stop(instant deadline);
    void reload();
    void flush_log();

    context shared;
    std::string settings_file;
    std::uint64_t incarnation;
    membership::membership_state members;
    std::shared_ptr<entry> callers;
    std::shared_ptr<placer> placing;
    std::int64_t epoch_revision = 0;
    std::shared_ptr<watched_prefix> cell_watch;
    std::shared_ptr<watched_prefix> config_watch;
    std::optional<instant> idle_since; //!< in a stop: no request in progress
    std::set<std::string> linked;      //!< peers that were dialled
    std::set<std::string> up;          //!< peers that are connected
    std::string heard_placer;          //!< whose load was heard last
    std::uint64_t heard_epoch = 0;
    instant heard_at;
    http_server caller_server;
    http_server probe_server;
    http_server metrics_server;
    std::unique_ptr<http_client> advisor;
    boost::asio::signal_set signals;
    peer_link link;
};

namespace
{

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
                    [this](http_request const& request, http_answer answer)
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
                   [this](http_request const&, http_answer const& answer)
                   {
                       this->answer_probe(answer);
                   }),
      metrics_server(this->shared.loop,
                     {},
                     [this](http_request const&, http_answer const& answer)
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

// ---- membership

void cell_daemon::impl::tick()
{
    this->member_step(membership::timer_fired{});
    this->shared.after(membership_tick,
                       [this]
                       {
                           this->tick();
                       });
}

void cell_daemon::impl::member_step(membership::event_body body)
{
    std::vector<membership::effect> const effects =
        membership::step(this->members, {this->shared.now(), std::move(body)});
    for (membership::effect const& each : effects)
    {
        std::visit(
            [this](auto const& effect)
            {
                this->do_effect(effect);
            },
            each);
    }
}

void cell_daemon::impl::do_effect(membership::grant_lease const&)
{
    this->shared.store.grant(
        this->members.settings.lease,
        [this](result<std::int64_t> const& lease)
        {
            this->shared.note_store(lease.has_value());
            if (!lease.has_value())
            {
                this->member_step(membership::call_failed{});
                return;
            }
            this->shared.store_heard = this->shared.now();
            this->shared.write(132,
                               "lease=" + std::to_string(lease.assume_value()));
            this->member_step(membership::lease_granted{lease.assume_value()});
        });
}

void cell_daemon::impl::do_effect(membership::renew_lease const& effect)
{
    this->shared.store.renew(
        effect.lease,
        [this, lease = effect.lease](result<bool> const& alive)
        {
            this->shared.note_store(alive.has_value());
            if (!alive.has_value())
            {
                this->member_step(membership::call_failed{});
                return;
            }
            if (alive.assume_value())
            {
                this->member_step(membership::lease_renewed{});
                return;
            }
            this->shared.write(133, "lease=" + std::to_string(lease));
            this->member_step(membership::lease_ended{});
        });
}

void cell_daemon::impl::do_effect(membership::end_lease const& effect)
{
    this->shared.store.revoke(
        effect.lease,
        [this](result<bool> const& ended)
        {
            if (!ended.has_value())
            {
                this->shared.write(
                    133, "what=end " + describe(ended.assume_error()));
            }
        });
}

void cell_daemon::impl::do_effect(membership::register_self const& effect)
{
    platform::kv_transaction change;
    change.writes.push_back({keys::daemons + this->shared.settings.name,
                             encode_member(this->members.settings.self),
                             effect.lease});
    this->shared.store.commit(
        change,
        [this](result<platform::kv_committed> const& done)
        {
            if (!done.has_value())
            {
                this->member_step(membership::call_failed{});
                return;
            }
            if (done.assume_value().outcome == platform::kv_commit::no_lease)
            {
                this->member_step(membership::lease_ended{});
                return;
            }
            this->member_step(membership::registered{});
        });
}

void cell_daemon::impl::do_effect(membership::claim_placer const& effect)
{
    platform::kv_transaction change;
    change.conditions = {{keys::placer, effect.placer_revision},
                         {keys::epoch, effect.epoch_revision}};
    change.writes = {
        {keys::placer,
         encode_claim(
             {this->shared.settings.name, this->incarnation, effect.epoch}),
         effect.lease},
        {keys::epoch, std::to_string(effect.epoch), 0}};
    this->shared.store.commit(
        change,
        [this, effect](result<platform::kv_committed> const& done)
        {
            this->take_claim(effect, done);
        });
}

void cell_daemon::impl::take_claim(membership::claim_placer const& claim,
                                   result<platform::kv_committed> const& done)
{
    if (!done.has_value())
    {
        if (done.assume_error().code == error_code::unavailable)
        {
            this->member_step(membership::call_failed{});
            return;
        }
        this->check_claim(claim);
        return;
    }
    switch (done.assume_value().outcome)
    {
    case platform::kv_commit::committed:
        this->epoch_revision = done.assume_value().revision;
        this->member_step(membership::claim_won{claim.epoch});
        return;
    case platform::kv_commit::conflict:
        this->shared.write(134, "epoch=" + std::to_string(claim.epoch));
        this->member_step(membership::claim_lost{});
        return;
    case platform::kv_commit::no_lease:
        this->member_step(membership::lease_ended{});
        return;
    }
}

/** The claim's answer was lost: only the keys tell. */
void cell_daemon::impl::check_claim(membership::claim_placer const& claim)
{
    this->shared.store.range(
        keys::cell,
        [this, claim](result<platform::kv_page> const& page)
        {
            if (!page.has_value())
            {
                this->shared.after(membership_tick * 4,
                                   [this, claim]
                                   {
                                       this->check_claim(claim);
                                   });
                return;
            }
            watched_prefix::items items;
            for (platform::kv_item const& item : page.assume_value().items)
            {
                items.emplace(item.key, item);
            }
            membership::cell_view const view = decode_view(items);
            bool const mine = view.placer &&
                              view.placer->name == this->shared.settings.name &&
                              view.placer->incarnation == this->incarnation &&
                              view.placer->epoch == claim.epoch;
            if (mine)
            {
                this->epoch_revision = view.epoch_revision;
                this->member_step(membership::claim_won{claim.epoch});
                return;
            }
            this->member_step(membership::claim_lost{});
        });
}

void cell_daemon::impl::do_effect(membership::start_placing const& effect)
{
    if (this->placing)
    {
        this->placing->stop();
    }
    placer_ports ports;
    ports.send = [this](std::string const& daemon, message const& m)
    {
        this->send(daemon, m);
    };
    ports.send_all = [this](message const& m)
    {
        this->send_all(m);
    };
    ports.superseded = [this]
    {
        this->member_step(membership::placer_fenced{});
    };
    this->placing = std::make_shared<placer>(
        this->shared, ports, effect.epoch, this->epoch_revision);
    this->connect_peers();
    this->placing->start();
}

void cell_daemon::impl::do_effect(membership::stop_placing const& effect)
{
    this->shared.write(131, "why=\"" + effect.why + "\"");
    if (this->shared.stopping)
    {
        this->send_all(leaving_message{});
    }
    std::shared_ptr<placer> const ended = std::move(this->placing);
    this->placing.reset();
    if (ended)
    {
        ended->stop();
    }
}

void cell_daemon::impl::take_view(watched_prefix::items const& items)
{
    membership::cell_view const view = decode_view(items);
    if (this->placing && view.placer &&
        view.placer->name == this->shared.settings.name &&
        view.placer->incarnation == this->incarnation)
    {
        this->epoch_revision = view.epoch_revision;
        this->placing->set_epoch_revision(view.epoch_revision);
    }
    this->member_step(membership::view_changed{view});
    this->connect_peers();
}

/** The placer links to every daemon, the others to the placer; in a small
 * cell all link to all, so that a new placer finds its links open. */
void cell_daemon::impl::connect_peers()
{
    std::set<std::string> wanted;
    bool const few = this->members.view.members.size() <= full_mesh_members;
    std::optional<membership::placer_claim> const& claim =
        this->members.view.placer;
    for (membership::member const& each : this->members.view.members)
    {
        bool const self = each.name == this->shared.settings.name;
        bool const is_placer = claim && claim->name == each.name;
        if (!self && (few || this->placing || is_placer))
        {
            wanted.insert(each.name);
            this->link.connect(each.name, each.link.host, each.link.port);
        }
    }
    for (std::string const& name : this->linked)
    {
        // A daemon that has lost the store may still need its peers.
        if (wanted.count(name) == 0 && this->up.count(name) != 0)
        {
            wanted.insert(name);
        }
        else if (wanted.count(name) == 0)
        {
            this->link.disconnect(name);
        }
    }
    this->linked = std::move(wanted);
    this->set_askers();
}

/** Whoever is connected can ask the advisor, whatever the store says. */
void cell_daemon::impl::set_askers()
{
    if (this->placing)
    {
        std::vector<std::string> askers(this->up.begin(), this->up.end());
        askers.push_back(this->shared.settings.name);
        std::sort(askers.begin(), askers.end());
        this->placing->set_askers(askers);
    }
}

void cell_daemon::impl::note_placer_link(std::string const& peer, bool is_up)
{
    if (peer == this->placer_name())
    {
        this->member_step(membership::placer_link{is_up});
    }
}

/** By the store's key or a load message, whichever has the higher epoch. */
std::string cell_daemon::impl::placer_name() const
{
    std::optional<membership::placer_claim> const& claim =
        this->members.view.placer;
    bool const heard =
        this->heard_epoch > 0 && (!claim || this->heard_epoch >= claim->epoch);
    return heard ? this->heard_placer : claim ? claim->name : "";
}

std::string
cell_daemon::impl::next_peer(std::set<std::string> const& tried) const
{
    std::string placer = this->placer_name();
    if (this->up.count(placer) != 0 && tried.count(placer) == 0)
    {
        return placer;
    }
    for (std::string const& name : this->up)
    {
        if (tried.count(name) == 0)
        {
            return name;
        }
    }
    return "";
}

// ---- messages

bool cell_daemon::impl::send(std::string const& daemon, message const& m)
{
    if (daemon == this->shared.settings.name)
    {
        boost::asio::post(this->shared.loop,
                          [this, daemon, m]
                          {
                              std::visit(
                                  [this, &daemon](auto const& each)
                                  {
                                      this->take(daemon, each);
                                  },
                                  m);
                          });
        return true;
    }
    if (this->up.count(daemon) == 0)
    {
        return false;
    }
    this->link.send(daemon, encode(m), std::to_string(m.index()));
    return true;
}

void cell_daemon::impl::send_all(message const& m)
{
    std::string const bytes = encode(m);
    for (std::string const& peer : this->up)
    {
        this->link.send(peer, bytes, std::to_string(m.index()));
    }
    if (std::holds_alternative<load_message>(m))
    {
        this->take(this->shared.settings.name, std::get<load_message>(m));
    }
}

bool cell_daemon::impl::send_to_placer(message const& m)
{
    if (this->placing)
    {
        return this->send(this->shared.settings.name, m);
    }
    std::string const name = this->placer_name();
    return !name.empty() && this->send(name, m);
}

void cell_daemon::impl::take_message(std::string const& peer,
                                     std::string const& bytes)
{
    result<message> const read = decode_message(bytes);
    if (!read.has_value())
    {
        this->shared.write(
            700, "peer=" + peer + " " + describe(read.assume_error()));
        return;
    }
    std::visit(
        [this, &peer](auto const& each)
        {
            this->take(peer, each);
        },
        read.assume_value());
}

void cell_daemon::impl::take(std::string const&, job_message const& m)
{
    if (this->placing)
    {
        this->placing->take_job(m);
    }
}

void cell_daemon::impl::take(std::string const&, cancel_message const& m)
{
    if (this->placing)
    {
        this->placing->take_cancel(m.job);
    }
}

void cell_daemon::impl::take(std::string const& peer, state_query const& m)
{
    this->send(peer,
               state_reply{m.query,
                           this->placing ? this->placing->state_of(m.job)
                                         : std::nullopt});
}

void cell_daemon::impl::take(std::string const&, state_reply const& m)
{
    this->callers->take_state(m);
}

void cell_daemon::impl::take(std::string const&, advice_result const& m)
{
    if (this->placing)
    {
        this->placing->take_advice(m.answer);
    }
}

void cell_daemon::impl::take(std::string const& peer, relay_request const& m)
{
    this->callers->serve_relay(peer, m);
}

void cell_daemon::impl::take(std::string const&, relay_reply const& m)
{
    this->callers->take_relay(m);
}

void cell_daemon::impl::take(std::string const& peer, load_message const& m)
{
    if (m.epoch >= this->heard_epoch)
    {
        this->heard_epoch = m.epoch;
        this->heard_placer = peer;
        this->heard_at = this->shared.now();
    }
    this->member_step(membership::placer_heard{});
    this->callers->take_load(m);
}

void cell_daemon::impl::take(std::string const&, leaving_message const&)
{
    this->member_step(membership::placer_leaving{});
}

void cell_daemon::impl::take(std::string const& peer, advice_request const& m)
{
    batch::advice_answered answer;
    answer.call = m.call.call;
    answer.asker = m.call.asker;
    answer.job = m.call.job;
    answer.step = m.call.step;
    answer.asked = m.call.workers;
    if (!this->advisor)
    {
        this->send(peer, advice_result{answer});
        return;
    }
    this->advisor->call(
        platform::encode_advice(m.call),
        m.call.expected + advisor_slack,
        [this, peer, answer](result<http_reply> const& reply)
        {
            batch::advice_answered told = answer;
            result<platform::advice_reply> const read =
                platform::decode_advice(reply);
            if (read.has_value())
            {
                told.answered = true;
                told.allowed = read.assume_value().allowed;
                told.validity =
                    read.assume_value().validity.value_or(milliseconds{0});
            }
            else
            {
                this->shared.write(614,
                                   "job=" + told.job + " " +
                                       describe(read.assume_error()));
            }
            this->send(peer, advice_result{told});
        });
}

// ---- configuration, probes, metrics

void cell_daemon::impl::take_config(watched_prefix::items const& items)
{
    auto const item = items.find(keys::config);
    if (item == items.end())
    {
        return;
    }
    result<batch::cell_config> read =
        platform::decode_config(item->second.value);
    if (!read.has_value())
    {
        this->shared.write(115, describe(read.assume_error()));
        return;
    }
    batch::cell_config const& config = read.assume_value();
    if (this->shared.config && this->shared.config->version >= config.version)
    {
        return;
    }
    this->shared.config = config;
    this->caller_server.set_bounds(config.header_bytes, config.body_bytes);
    this->shared.write(
        114,
        "version=" + std::to_string(config.version) +
            " queues=" + std::to_string(config.queues.size()) +
            " revision=" + std::to_string(item->second.revision));
}

void cell_daemon::impl::answer_probe(http_answer const& answer) const
{
    bool const store =
        this->shared.now() < this->shared.store_heard + store_silence;
    // Without the store, peers are asked, as long as the placer is heard.
    bool const peers = this->shared.now() < this->heard_at + placer_silence;
    bool const ready =
        this->shared.config && (store || peers) && !this->shared.stopping;
    answer({ready ? 200 : 503, {}, ""});
}

void cell_daemon::impl::answer_metrics(http_answer const& answer) const
{
    std::string text;
    auto const add = [&text](std::string const& name, std::uint64_t value)
    {
        text += "cicada_" + name + " " + std::to_string(value) + "\n";
    };
    add("placing", this->placing ? 1 : 0);
    add("store_calls_total", this->shared.store.calls());
    add("log_lines_left_out_total", this->shared.log.left_out());
    add("requests_in_progress", this->caller_server.in_progress());
    add("peers_up", this->up.size());
    add("configuration_version",
        this->shared.config
            ? static_cast<std::uint64_t>(this->shared.config->version)
            : 0);
    if (this->placing)
    {
        batch::load_report const load = this->placing->load();
        for (std::size_t i = 0; i < load.wait.size(); ++i)
        {
            add("wait_ms{priority=\"" + std::to_string(i) + "\"}",
                static_cast<std::uint64_t>(load.wait[i].count()));
        }
        for (auto const& entry : load.pending)
        {
            add("jobs_pending{queue=\"" + entry.first + "\"}",
                static_cast<std::uint64_t>(entry.second));
        }
    }
    answer({200, {{"Content-Type", "text/plain"}}, text});
}

// ---- signals

void cell_daemon::impl::on_signal(int number)
{
    this->signals.async_wait(
        [this](boost::system::error_code const& problem, int next)
        {
            if (!problem)
            {
                this->on_signal(next);
            }
        });
    if (number == SIGHUP)
    {
        this->reload();
        return;
    }
    if (!this->shared.stopping)
    {
        this->begin_stop();
    }
}

void cell_daemon::impl::reload()
{
    checked<cell_settings> const read = load_settings(this->settings_file);
    if (!read.has_value())
    {
        for (text_problem const& each : read.assume_error())
        {
            this->shared.write(
                102, "what=\"" + describe(each, this->settings_file) + "\"");
        }
        return;
    }
    this->shared.write(113,
                       read.assume_value() == this->shared.settings
                           ? "changed=no"
                           : "changed=yes in_force=\"at the next start\"");
}

void cell_daemon::impl::begin_stop()
{
    this->shared.write(110, "");
    this->shared.stopping = true;
    this->member_step(membership::stop_wanted{});
    instant const deadline =
        this->shared.now() + this->shared.settings.stop_limit - exit_margin;
    this->shared.after(leave_rotation,
                       [this, deadline]
                       {
                           this->caller_server.drain();
                           this->finish_stop(deadline);
                       });
}

void cell_daemon::impl::finish_stop(instant deadline)
{
    bool const idle = this->caller_server.in_progress() == 0;
    if (!idle)
    {
        this->idle_since.reset();
    }
    else if (!this->idle_since)
    {
        this->idle_since = this->shared.now();
    }
    bool const over =
        idle && this->shared.now() >= *this->idle_since + last_requests;
    if (!over && this->shared.now() < deadline)
    {
        this->shared.after(membership_tick,
                           [this, deadline]
                           {
                               this->finish_stop(deadline);
                           });
        return;
    }
    this->shared.write(idle ? 111 : 112,
                       "in_progress=" +
                           std::to_string(this->caller_server.in_progress()));
    this->shared.log.flush();
    this->shared.loop.stop();
}

void cell_daemon::impl::flush_log()
{
    this->shared.log.flush();
    this->shared.after(flush_period,
                       [this]
                       {
                           this->flush_log();
                       });
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
