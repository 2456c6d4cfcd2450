#pragma once

#include "link/link.hpp"
#include "sessions.hpp"

#include <atomic>
#include <mutex>
#include <optional>
#include <thread>

namespace cicada
{

/** The link behind its public face; all but the first few runs on `thread`. */
class peer_link::core : public std::enable_shared_from_this<peer_link::core>
{
public:
    core(link_settings settings, link_handlers handlers);

    // Called from any thread.
    std::string start();
    std::uint16_t port() const;
    void connect(std::string const& peer,
                 std::string const& host,
                 std::uint16_t port);
    void disconnect(std::string const& peer);
    void send(std::string const& peer, std::string bytes, std::string kind);
    link_counters counters() const;
    void stop();

private:
    // Life of the thread.
    void run();
    void begin_stop();
    void arm_tick();
    void on_tick();

    // Connections.
    void accept(websocket::connection_ptr const& connection);
    void dial(std::string const& name, peer_entry& peer);
    session_id add(session fresh);
    void set_handlers(session_id id, session const& owner);
    void greet(session_id id);
    void drop(session_id id, char const* reason);
    std::vector<session_id> session_ids() const;
    session* find(session_id id);

    // What the connections report.
    void on_open(session_id id);
    void on_broken(session_id id, char const* reason);
    void on_over(session_id id, char const* reason);
    void on_message(session_id id, websocket::message_ptr const& message);
    void on_heard(session_id id);
    void on_hello(session_id id, std::string const& text);
    void come_up(session_id id, hello const& said);

    // What the tick does.
    void check_session(session_id id, session& checked, link_time now);
    void dial_wanted(link_time now);

    void wait_before_dial(peer_entry& peer);
    bool is_dialer(std::string const& peer) const;
    bool is_welcome(session const& from, hello const& said) const;
    void send_now(std::string const& peer,
                  std::string const& bytes,
                  std::string const& kind);
    void count(std::uint64_t link_counters::*which);

    link_settings const settings;
    link_handlers const handlers;
    boost::asio::io_context io;
    websocket::server server;
    websocket::client client;
    boost::asio::steady_timer tick;
    std::map<session_id, session> sessions;
    std::map<std::string, peer_entry> peers;
    std::mt19937 random;
    session_id last_session = 0;
    std::uint64_t last_dial = 0;
    link_time stop_at;
    bool stopping = false;
    std::atomic<std::uint16_t> listening{0};
    std::thread thread;
    mutable std::mutex counters_mutex;
    link_counters counted;
};

} // namespace cicada
