#include "link_core.hpp"

namespace cicada
{

namespace
{

constexpr std::chrono::milliseconds tick_period{25};
constexpr std::chrono::milliseconds close_limit{500};

} // namespace

peer_link::core::core(link_settings settings, link_handlers handlers)
    : settings(std::move(settings)), handlers(std::move(handlers)),
      tick(this->io), random(this->settings.seed)
{
}

std::string peer_link::core::start()
{
    websocketpp::lib::error_code failure;
    this->client.init_asio(&this->io, failure);
    if (!failure)
    {
        this->server.init_asio(&this->io, failure);
    }
    boost::system::error_code bad_host;
    boost::asio::ip::address const host =
        boost::asio::ip::make_address(this->settings.host, bad_host);
    if (failure || bad_host)
    {
        return "can't listen on " + this->settings.host;
    }
    this->server.set_reuse_addr(true);
    this->server.set_max_message_size(this->settings.max_message_bytes);
    this->client.set_max_message_size(this->settings.max_message_bytes);
    this->server.set_open_handshake_timeout(this->settings.dial_limit.count());
    this->client.set_open_handshake_timeout(this->settings.dial_limit.count());
    this->server.set_close_handshake_timeout(close_limit.count());
    this->client.set_close_handshake_timeout(close_limit.count());
    this->server.set_tcp_pre_init_handler(
        [this](websocketpp::connection_hdl const& handle)
        {
            websocketpp::lib::error_code gone;
            websocket::connection_ptr const connection =
                this->server.get_con_from_hdl(handle, gone);
            if (!gone)
            {
                this->accept(connection);
            }
        });
    this->server.listen(
        boost::asio::ip::tcp::endpoint(host, this->settings.port), failure);
    if (!failure)
    {
        this->server.start_accept(failure);
    }
    if (failure)
    {
        return "can't listen: " + failure.message();
    }
    websocketpp::lib::asio::error_code unused;
    this->listening = this->server.get_local_endpoint(unused).port();
    this->arm_tick();
    this->thread = std::thread(
        [this]
        {
            this->run();
        });
    return {};
}

std::uint16_t peer_link::core::port() const
{
    return this->listening;
}

void peer_link::core::run()
{
    while (!this->io.stopped())
    {
        try
        {
            this->io.run();
        }
        catch (std::exception const&)
        {
            this->count(&link_counters::malformed);
        }
    }
}

void peer_link::core::connect(std::string const& peer,
                              std::string const& host,
                              std::uint16_t port)
{
    boost::asio::post(this->io,
                      [this, peer, host, port]
                      {
                          peer_entry& entry = this->peers[peer];
                          entry.host = host;
                          entry.port = port;
                          entry.wanted = true;
                      });
}

void peer_link::core::disconnect(std::string const& peer)
{
    boost::asio::post(this->io,
                      [this, peer]
                      {
                          peer_entry& entry = this->peers[peer];
                          entry.wanted = false;
                          this->drop(entry.current, "disconnected");
                          this->drop(entry.dialed, "disconnected");
                          this->peers.erase(peer);
                      });
}

void peer_link::core::send(std::string const& peer,
                           std::string bytes,
                           std::string kind)
{
    boost::asio::post(
        this->io,
        [this, peer, bytes = std::move(bytes), kind = std::move(kind)]
        {
            this->send_now(peer, bytes, kind);
        });
}

void peer_link::core::send_now(std::string const& peer,
                               std::string const& bytes,
                               std::string const& kind)
{
    std::map<std::string, peer_entry>::const_iterator const entry =
        this->peers.find(peer);
    session* const to = entry == this->peers.end()
                            ? nullptr
                            : this->find(entry->second.current);
    if (to == nullptr)
    {
        this->count(&link_counters::unsent);
        return;
    }
    std::size_t const queued = to->connection->get_buffered_amount();
    if (queued + bytes.size() > this->settings.max_queued_bytes)
    {
        this->count(&link_counters::overflows);
        this->drop(entry->second.current, "queue_full");
        return;
    }
    websocketpp::lib::error_code failure =
        to->connection->send(bytes, websocketpp::frame::opcode::binary);
    if (failure)
    {
        this->count(&link_counters::unsent);
        return;
    }
    to->last_sent = std::chrono::steady_clock::now();
    std::lock_guard<std::mutex> const lock(this->counters_mutex);
    link_traffic& traffic = this->counted.sent[kind];
    ++traffic.messages;
    traffic.bytes += bytes.size();
}

void peer_link::core::count(std::uint64_t link_counters::*which)
{
    std::lock_guard<std::mutex> const lock(this->counters_mutex);
    ++(this->counted.*which);
}

link_counters peer_link::core::counters() const
{
    std::lock_guard<std::mutex> const lock(this->counters_mutex);
    return this->counted;
}

void peer_link::core::arm_tick()
{
    this->tick.expires_after(tick_period);
    this->tick.async_wait(
        [this](boost::system::error_code const& failure)
        {
            if (!failure)
            {
                this->on_tick();
                this->arm_tick();
            }
        });
}

std::vector<session_id> peer_link::core::session_ids() const
{
    std::vector<session_id> ids;
    for (std::map<session_id, session>::value_type const& entry :
         this->sessions)
    {
        ids.push_back(entry.first);
    }
    return ids;
}

void peer_link::core::on_tick()
{
    link_time const now = std::chrono::steady_clock::now();
    for (session_id const id : this->session_ids())
    {
        if (session* const checked = this->find(id))
        {
            this->check_session(id, *checked, now);
        }
    }
    if (!this->stopping)
    {
        this->dial_wanted(now);
    }
    else if (this->sessions.empty() || now >= this->stop_at)
    {
        this->io.stop();
    }
}

void peer_link::core::check_session(session_id id,
                                    session& checked,
                                    link_time now)
{
    if (checked.stage != session_stage::up)
    {
        if (now - checked.began > this->settings.dial_limit)
        {
            this->count(&link_counters::silent);
            this->drop(id, "silent");
        }
        return;
    }
    if (now - checked.last_heard > this->settings.silence_limit)
    {
        this->count(&link_counters::silent);
        this->drop(id, "silent");
        return;
    }
    if (now - checked.last_sent >= this->settings.ping_period)
    {
        checked.last_sent = now;
        websocketpp::lib::error_code ignored;
        checked.connection->ping("", ignored);
    }
}

void peer_link::core::stop()
{
    if (!this->thread.joinable())
    {
        return;
    }
    boost::asio::post(this->io,
                      [this]
                      {
                          this->begin_stop();
                      });
    this->thread.join();
    this->sessions.clear();
    this->peers.clear();
}

void peer_link::core::begin_stop()
{
    this->stopping = true;
    this->stop_at =
        std::chrono::steady_clock::now() + this->settings.stop_limit;
    websocketpp::lib::error_code ignored;
    this->server.stop_listening(ignored);
    for (session_id const id : this->session_ids())
    {
        session& open = *this->find(id);
        if (open.stage == session_stage::up)
        {
            open.connection->close(
                websocketpp::close::status::going_away, "", ignored);
        }
        else
        {
            this->drop(id, "stopped");
        }
    }
}

} // namespace cicada
