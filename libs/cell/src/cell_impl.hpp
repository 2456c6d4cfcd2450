#pragma once

#include "caller_api.hpp"
#include "cell/cell.hpp"
#include "keys.hpp"
#include "link/link.hpp"
#include "membership/membership.hpp"
#include "placer.hpp"
#include "watched_prefix.hpp"

#include <boost/asio/signal_set.hpp>

/** The daemon's components and the calls between them. Everything runs on the
 * thread of the event loop; the link's callbacks post to it. */
namespace cicada::cell
{

/** Period of the membership timer and of the checks during shutdown. */
constexpr milliseconds membership_tick{25};

struct cell_daemon::impl
{
    impl(cell_settings const& settings, std::string file);

    result<void> listen();
    void run();

    // membership
    void tick();
    void step_membership(membership::event_body body);
    void execute(membership::grant_lease const& effect);
    void execute(membership::renew_lease const& effect);
    void execute(membership::end_lease const& effect);
    void execute(membership::register_self const& effect);
    void execute(membership::claim_placer const& effect);
    void execute(membership::release_placer const& effect);
    void execute(membership::start_placing const& effect);
    void execute(membership::stop_placing const& effect);
    void handle_claim_reply(membership::claim_placer const& claim,
                            result<platform::kv_commit_result> const& reply);
    void check_claim(membership::claim_placer const& claim);
    void set_claim(std::uint64_t epoch, std::int64_t revision);
    void handle_view(watched_prefix::items const& items);
    void connect_peers();

    // messages
    void handle_message(std::string const& peer, std::string const& bytes);
    void handle(std::string const& peer, job_message const& m);
    void handle(std::string const& peer, cancel_message const& m);
    void handle(std::string const& peer, state_query const& m);
    void handle(std::string const& peer, state_reply const& m);
    void handle(std::string const& peer, load_message const& m);
    void handle(std::string const& peer, leaving_message const& m);
    void handle(std::string const& peer, advice_request const& m);
    void handle(std::string const& peer, advice_result const& m);
    void handle(std::string const& peer, relay_request const& m);
    void handle(std::string const& peer, relay_reply const& m);
    std::string placer_name() const;
    std::string next_peer(std::set<std::string> const& tried) const;
    void update_askers();
    void report_placer_link(std::string const& peer, bool connected);
    bool send(std::string const& daemon, message const& m);
    void send_all(message const& m);
    bool send_to_placer(message const& m);

    void handle_store_recovery(instant sent_at);
    void handle_config(watched_prefix::items const& items);
    void answer_probe(http_responder const& answer) const;
    void answer_metrics(http_responder const& answer) const;
    void on_signal(int number);
    void begin_stop();
    void finish_stop(instant deadline);
    void reload();
    void flush_log();
    void log_closed_connections();

    context shared;
    std::string settings_file;
    std::uint64_t incarnation;
    membership::membership_state members;
    std::shared_ptr<caller_api> api;
    std::shared_ptr<placer> active_placer; //!< null if another is the placer
    std::int64_t epoch_revision = 0;       //!< of the store's epoch key
    std::shared_ptr<watched_prefix> cell_watch;
    std::shared_ptr<watched_prefix> config_watch;
    std::optional<instant> idle_since; //!< set during shutdown without requests
    std::set<std::string> linked_peers; //!< that the link connects to
    std::set<std::string> connected_peers;
    std::string load_sender; //!< of the latest load message
    std::uint64_t load_epoch = 0;
    instant load_received_at;
    http_server caller_server;
    http_closed_connections logged_closed; //!< by the caller server
    http_server probe_server;
    http_server metrics_server;
    std::unique_ptr<http_client> advisor;
    boost::asio::signal_set signals;
    peer_link link;
};

} // namespace cicada::cell
