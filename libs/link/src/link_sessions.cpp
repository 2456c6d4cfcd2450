#include "link_core.hpp"

namespace cicada
{

namespace
{

/** Sends small messages at once. */
void set_no_delay(websocket::connection& connection)
{
    boost::system::error_code ignored;
    connection.get_raw_socket().set_option(boost::asio::ip::tcp::no_delay(true),
                                           ignored);
}

/** True if it was closed for what came in. */
bool was_malformed(websocket::connection& connection)
{
    switch (connection.get_local_close_code())
    {
    case websocketpp::close::status::protocol_error:
    case websocketpp::close::status::unsupported_data:
    case websocketpp::close::status::invalid_payload:
    case websocketpp::close::status::message_too_big:
        return true;
    default:
        return false;
    }
}

/** True if somebody connected and never came as far as a websocket. */
bool is_failed_stranger(session const& broken)
{
    return !broken.dialed && !broken.opened;
}

} // namespace

session* peer_link::core::find(session_id id)
{
    std::map<session_id, session>::iterator const found =
        this->sessions.find(id);
    return found == this->sessions.end() ? nullptr : &found->second;
}

session_id peer_link::core::add(session fresh)
{
    fresh.began = std::chrono::steady_clock::now();
    fresh.last_heard = fresh.began;
    session_id const id = ++this->last_session;
    this->set_handlers(id, fresh);
    this->sessions.emplace(id, std::move(fresh));
    return id;
}

void peer_link::core::set_handlers(session_id id, session const& owner)
{
    websocket::connection& connection = *owner.connection;
    connection.set_open_handler(
        [this, id](websocketpp::connection_hdl const&)
        {
            this->on_open(id);
        });
    connection.set_fail_handler(
        [this, id](websocketpp::connection_hdl const&)
        {
            this->on_broken(id, "failed");
        });
    connection.set_close_handler(
        [this, id](websocketpp::connection_hdl const&)
        {
            this->on_broken(id, "closed");
        });
    connection.set_message_handler(
        [this, id](websocketpp::connection_hdl const&,
                   websocket::message_ptr const& message)
        {
            this->on_message(id, message);
        });
    connection.set_ping_handler(
        [this, id](websocketpp::connection_hdl const&, std::string const&)
        {
            this->on_heard(id);
            // No pong: the peer hears this daemon's own pings and messages.
            return false;
        });
    connection.set_pong_handler(
        [this, id](websocketpp::connection_hdl const&, std::string const&)
        {
            this->on_heard(id);
        });
}

void peer_link::core::accept(websocket::connection_ptr const& connection)
{
    std::size_t strangers = 0;
    for (std::map<session_id, session>::value_type const& entry :
         this->sessions)
    {
        strangers += entry.second.peer.empty() ? 1 : 0;
    }
    if (this->stopping || strangers >= this->settings.max_strangers)
    {
        boost::system::error_code ignored;
        connection->get_raw_socket().close(ignored);
        return;
    }
    session fresh;
    fresh.connection = connection;
    fresh.stage = session_stage::greeting;
    this->add(std::move(fresh));
}

bool peer_link::core::is_dialer(std::string const& peer) const
{
    return this->settings.name < peer;
}

void peer_link::core::dial_wanted(link_time now)
{
    for (std::map<std::string, peer_entry>::value_type& entry : this->peers)
    {
        peer_entry& peer = entry.second;
        if (peer.wanted && this->is_dialer(entry.first) && peer.current == 0 &&
            peer.dialed == 0 && now >= peer.next_dial)
        {
            this->dial(entry.first, peer);
        }
    }
}

void peer_link::core::wait_before_dial(peer_entry& peer)
{
    peer.next_dial = std::chrono::steady_clock::now() +
                     next_backoff(peer,
                                  this->settings.first_backoff,
                                  this->settings.longest_backoff,
                                  this->random);
}

void peer_link::core::dial(std::string const& name, peer_entry& peer)
{
    this->wait_before_dial(peer);
    std::string const host = peer.host.find(':') == std::string::npos
                                 ? peer.host
                                 : "[" + peer.host + "]";
    websocketpp::lib::error_code failure;
    websocket::connection_ptr const connection = this->client.get_connection(
        "ws://" + host + ":" + std::to_string(peer.port) + "/", failure);
    if (failure)
    {
        this->count(&link_counters::failed_dials);
        return;
    }
    session fresh;
    fresh.connection = connection;
    fresh.peer = name;
    fresh.dialed = true;
    fresh.dial = ++this->last_dial;
    peer.dialed = this->add(std::move(fresh));
    this->client.connect(connection);
}

void peer_link::core::on_open(session_id id)
{
    session* const opened = this->find(id);
    if (opened == nullptr)
    {
        return;
    }
    opened->opened = true;
    set_no_delay(*opened->connection);
    if (opened->dialed)
    {
        opened->stage = session_stage::greeting;
        this->greet(id);
    }
}

void peer_link::core::greet(session_id id)
{
    session const& to = *this->find(id);
    to.connection->send(encode_hello(hello{this->settings.name,
                                           this->settings.incarnation,
                                           this->settings.version,
                                           to.dial,
                                           this->settings.token}),
                        websocketpp::frame::opcode::text);
}

void peer_link::core::on_heard(session_id id)
{
    if (session* const from = this->find(id))
    {
        from->last_heard = std::chrono::steady_clock::now();
    }
}

void peer_link::core::on_message(session_id id,
                                 websocket::message_ptr const& message)
{
    session* const from = this->find(id);
    if (from == nullptr)
    {
        return;
    }
    from->last_heard = std::chrono::steady_clock::now();
    bool const is_hello = from->stage != session_stage::up;
    bool const is_text =
        message->get_opcode() == websocketpp::frame::opcode::text;
    if (is_hello != is_text)
    {
        this->count(&link_counters::malformed);
        this->drop(id, "malformed");
        return;
    }
    if (is_hello)
    {
        this->on_hello(id, message->get_payload());
        return;
    }
    {
        std::lock_guard<std::mutex> const lock(this->counters_mutex);
        ++this->counted.received.messages;
        this->counted.received.bytes += message->get_payload().size();
    }
    std::string const peer = from->peer;
    this->handlers.message(peer, message->get_payload());
}

bool peer_link::core::is_welcome(session const& from, hello const& said) const
{
    bool const right_name =
        from.dialed ? said.name == from.peer : said.name < this->settings.name;
    return right_name && said.version >= this->settings.oldest_version &&
           tokens_match(said.token, this->settings.token);
}

void peer_link::core::on_hello(session_id id, std::string const& text)
{
    session& from = *this->find(id);
    std::optional<hello> const said = decode_hello(text);
    if (!said.has_value())
    {
        this->count(&link_counters::malformed);
        this->drop(id, "malformed");
        return;
    }
    if (!this->is_welcome(from, *said))
    {
        this->count(&link_counters::refused);
        this->drop(id, "refused");
        return;
    }
    session const* const up = this->find(this->peers[said->name].current);
    if (up != nullptr && !replaces(up->said, *said))
    {
        this->drop(id, "older");
        return;
    }
    if (!from.dialed)
    {
        this->greet(id);
    }
    this->come_up(id, *said);
}

void peer_link::core::come_up(session_id id, hello const& said)
{
    this->drop(this->peers[said.name].current, "replaced");
    session& fresh = *this->find(id);
    fresh.peer = said.name;
    fresh.said = said;
    fresh.stage = session_stage::up;
    peer_entry& peer = this->peers[said.name];
    peer.current = id;
    peer.dialed = 0;
    peer.backoff = std::chrono::milliseconds(0);
    this->count(&link_counters::ups);
    if (peer.seen)
    {
        this->count(&link_counters::reconnects);
    }
    peer.seen = true;
    this->handlers.up(said.name);
}

void peer_link::core::drop(session_id id, char const* reason)
{
    session const* const dropped = this->find(id);
    if (dropped == nullptr)
    {
        return;
    }
    websocket::connection_ptr const connection = dropped->connection;
    this->on_over(id, reason);
    boost::system::error_code ignored;
    connection->get_raw_socket().close(ignored);
}

void peer_link::core::on_broken(session_id id, char const* reason)
{
    session const* const broken = this->find(id);
    if (broken != nullptr &&
        (was_malformed(*broken->connection) || is_failed_stranger(*broken)))
    {
        this->count(&link_counters::malformed);
    }
    this->on_over(id, reason);
}

void peer_link::core::on_over(session_id id, char const* reason)
{
    session* const found = this->find(id);
    if (found == nullptr)
    {
        return;
    }
    session const over = std::move(*found);
    this->sessions.erase(id);
    std::map<std::string, peer_entry>::iterator const peer =
        this->peers.find(over.peer);
    if (peer == this->peers.end())
    {
        return;
    }
    if (peer->second.dialed == id)
    {
        peer->second.dialed = 0;
        this->count(&link_counters::failed_dials);
    }
    if (peer->second.current == id)
    {
        peer->second.current = 0;
        this->wait_before_dial(peer->second);
        this->handlers.down(over.peer, reason);
    }
    if (!peer->second.wanted && peer->second.current == 0)
    {
        this->peers.erase(peer);
    }
}

} // namespace cicada
