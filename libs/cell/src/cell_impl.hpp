#pragma once

#include "cell/cell.hpp"
#include "entry.hpp"
#include "keys.hpp"
#include "link/link.hpp"
#include "membership/membership.hpp"
#include "placer.hpp"
#include "watched_prefix.hpp"

#include <boost/asio/signal_set.hpp>

/** One daemon: its parts, and the events that go between them. All of it runs
 * on the loop's thread; the link's callbacks post to it. */
namespace cicada::cell
{

/** Between looks at the clock, of membership and of a stop. */
constexpr milliseconds membership_tick{25};

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
                    result<platform::kv_commit_result> const& done);
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
    void answer_probe(http_responder const& answer) const;
    void answer_metrics(http_responder const& answer) const;
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

} // namespace cicada::cell
