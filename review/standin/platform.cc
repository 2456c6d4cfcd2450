#include "platform.h"

namespace review
{

awaitable<void> pause_for(milliseconds span)
{
    asio::steady_timer timer(co_await asio::this_coro::executor, span);
    boost::system::error_code ignored;
    co_await timer.async_wait(asio::redirect_error(use_awaitable, ignored));
}

// ---- HTTP

server::server(asio::io_context& given, handler to_call)
    : loop(given), serve(std::move(to_call)),
      acceptor(given, tcp::endpoint(asio::ip::make_address("127.0.0.1"), 0))
{
    asio::co_spawn(this->loop, this->accept(), asio::detached);
}

std::uint16_t server::port() const
{
    return this->acceptor.local_endpoint().port();
}

void server::reset_connections()
{
    std::set<std::shared_ptr<tcp::socket>> all;
    all.swap(this->open);
    for (std::shared_ptr<tcp::socket> const& each : all)
    {
        boost::system::error_code ignored;
        each->set_option(asio::socket_base::linger(true, 0), ignored);
        each->close(ignored);
    }
}

void server::close_connections()
{
    std::set<std::shared_ptr<tcp::socket>> all;
    all.swap(this->open);
    for (std::shared_ptr<tcp::socket> const& each : all)
    {
        boost::system::error_code ignored;
        each->close(ignored);
    }
}

awaitable<void> server::accept()
{
    for (;;)
    {
        boost::system::error_code failed;
        auto socket = std::make_shared<tcp::socket>(this->loop);
        co_await this->acceptor.async_accept(
            *socket, asio::redirect_error(use_awaitable, failed));
        if (failed)
        {
            co_await pause_for(milliseconds(10));
            continue;
        }
        if (this->refusing)
        {
            boost::system::error_code ignored;
            socket->set_option(asio::socket_base::linger(true, 0), ignored);
            socket->close(ignored);
            continue;
        }
        boost::system::error_code ignored;
        socket->set_option(tcp::no_delay(true), ignored);
        this->open.insert(socket);
        asio::co_spawn(this->loop, this->session(socket), asio::detached);
    }
}

awaitable<void> server::session(std::shared_ptr<tcp::socket> socket)
{
    beast::flat_buffer buffer;
    for (;;)
    {
        boost::system::error_code failed;
        http::request_parser<http::string_body> parser;
        parser.body_limit(std::uint64_t{32} << 20);
        co_await http::async_read(*socket,
                                  buffer,
                                  parser,
                                  asio::redirect_error(use_awaitable, failed));
        if (failed)
        {
            break;
        }
        http::request<http::string_body> const message = parser.release();
        request r;
        r.method = std::string(message.method_string());
        std::string const target(message.target());
        std::size_t const mark = target.find('?');
        r.path = target.substr(0, mark);
        for (std::size_t at = mark; at != std::string::npos;)
        {
            std::size_t const next = target.find('&', at + 1);
            std::string const part = target.substr(at + 1, next - at - 1);
            std::size_t const equals = part.find('=');
            r.query[part.substr(0, equals)] =
                equals == std::string::npos ? "" : part.substr(equals + 1);
            at = next;
        }
        r.expected_instance =
            std::string(message["X-Cicadaproxy-Expected-Instance"]);
        r.body = json::parse(message.body(), nullptr, false);
        reply const out = co_await this->serve(std::move(r));
        if (this->open.count(socket) == 0)
        {
            break;
        }
        if (out.unanswered)
        {
            continue;
        }
        http::response<http::string_body> response(
            static_cast<http::status>(out.status), 11);
        response.set(http::field::content_type, "application/json");
        response.body() = out.body.dump();
        response.keep_alive(message.keep_alive());
        response.prepare_payload();
        co_await http::async_write(
            *socket, response, asio::redirect_error(use_awaitable, failed));
        if (failed || !message.keep_alive())
        {
            break;
        }
    }
    this->open.erase(socket);
}

namespace
{

awaitable<void> exchange(std::shared_ptr<beast::tcp_stream> stream,
                         tcp::endpoint to,
                         http::request<http::string_body> message,
                         std::shared_ptr<answer> out)
{
    boost::system::error_code failed;
    co_await stream->async_connect(to,
                                   asio::redirect_error(use_awaitable, failed));
    if (failed)
    {
        co_return;
    }
    co_await http::async_write(
        *stream, message, asio::redirect_error(use_awaitable, failed));
    if (failed)
    {
        co_return;
    }
    beast::flat_buffer buffer;
    http::response<http::string_body> response;
    co_await http::async_read(
        *stream, buffer, response, asio::redirect_error(use_awaitable, failed));
    if (failed)
    {
        co_return;
    }
    out->status = static_cast<int>(response.result_int());
    out->body = json::parse(response.body(), nullptr, false);
}

} // namespace

awaitable<answer> call(tcp::endpoint to,
                       std::string method,
                       std::string path,
                       std::string host,
                       std::optional<json> body,
                       milliseconds limit)
{
    auto stream =
        std::make_shared<beast::tcp_stream>(co_await asio::this_coro::executor);
    http::request<http::string_body> message;
    message.version(11);
    message.method_string(method);
    message.target(path);
    message.set(http::field::host, host);
    message.set("X-Cicadaproxy-Deadline-Ms", std::to_string(limit.count()));
    message.keep_alive(false);
    if (body)
    {
        message.set(http::field::content_type, "application/json");
        message.body() = body->dump();
    }
    message.prepare_payload();
    auto out = std::make_shared<answer>();
    stream->expires_after(limit);
    co_await exchange(stream, to, std::move(message), out);
    stream->close();
    co_return *out;
}

// ---- the store

namespace
{

std::string to_base64(std::string const& bytes)
{
    static char const digits[] =
        "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    std::string out;
    for (std::size_t at = 0; at < bytes.size(); at += 3)
    {
        std::uint32_t group = 0;
        std::size_t const here = std::min<std::size_t>(3, bytes.size() - at);
        for (std::size_t k = 0; k < 3; ++k)
        {
            group = group << 8 |
                    (k < here ? static_cast<unsigned char>(bytes[at + k]) : 0);
        }
        for (std::size_t k = 0; k < 4; ++k)
        {
            out += k <= here ? digits[group >> (18 - 6 * k) & 63] : '=';
        }
    }
    return out;
}

bool has_prefix(std::string const& key, std::string const& prefix)
{
    return key.rfind(prefix, 0) == 0;
}

std::int64_t number(std::string const& text)
{
    return std::strtoll(text.c_str(), nullptr, 10);
}

constexpr std::size_t page_items = 500;
constexpr std::size_t max_entries = 32;

} // namespace

store::store(asio::io_context& given) : loop(given)
{
    this->listener =
        std::make_unique<server>(this->loop,
                                 [this](request r)
                                 {
                                     return this->serve(std::move(r));
                                 });
    asio::co_spawn(this->loop, this->expire(), asio::detached);
}

std::uint16_t store::port() const
{
    return this->listener->port();
}

json store::row(std::string const& key, item const& of)
{
    return json{{"key", key},
                {"value", of.value},
                {"revision", of.revision},
                {"created", of.created},
                {"lease", of.lease}};
}

void store::write(std::string const& key,
                  std::string const& value,
                  std::int64_t lease_id,
                  std::int64_t at)
{
    item& i = this->items[key];
    i.created = i.created == 0 ? at : i.created;
    i.value = value;
    i.revision = at;
    i.lease = lease_id;
    this->history.push_back({at, row(key, i)});
}

void store::remove(std::string const& key, std::int64_t at)
{
    if (this->items.erase(key) != 0)
    {
        this->history.push_back(
            {at, json{{"key", key}, {"revision", at}, {"deleted", true}}});
    }
}

void store::put(std::string const& key, json const& value)
{
    this->revision += 1;
    this->write(key, to_base64(value.dump()), 0, this->revision);
    this->notify();
}

void store::erase(std::string const& key)
{
    this->revision += 1;
    this->remove(key, this->revision);
    this->notify();
}

bool store::has(std::string const& key) const
{
    return this->items.count(key) != 0;
}

void store::notify()
{
    for (asio::steady_timer* each : this->waiting)
    {
        each->cancel();
    }
}

void store::end_lease(std::int64_t id)
{
    if (this->leases.erase(id) == 0)
    {
        return;
    }
    std::vector<std::string> keys;
    for (auto const& each : this->items)
    {
        if (each.second.lease == id)
        {
            keys.push_back(each.first);
        }
    }
    this->revision += 1;
    for (std::string const& key : keys)
    {
        this->remove(key, this->revision);
    }
    this->notify();
}

awaitable<void> store::expire()
{
    for (;;)
    {
        co_await pause_for(milliseconds(20));
        std::vector<std::int64_t> ended;
        for (auto const& each : this->leases)
        {
            if (clock::now() >= each.second.ends)
            {
                ended.push_back(each.first);
            }
        }
        for (std::int64_t id : ended)
        {
            this->end_lease(id);
        }
    }
}

awaitable<reply> store::watch(request r)
{
    std::int64_t const after = number(r.query["after"]);
    std::string const prefix = r.query["prefix"];
    clock::time_point const until =
        clock::now() + milliseconds(number(r.query["wait-ms"]));
    asio::steady_timer timer(this->loop);
    for (;;)
    {
        json events = json::array();
        for (auto each = std::lower_bound(this->history.begin(),
                                          this->history.end(),
                                          after + 1,
                                          [](event const&e, std::int64_t at)
                                          {
                                              return e.revision < at;
                                          });
             each != this->history.end();
             ++each)
        {
            if (has_prefix(each->row["key"].get<std::string>(), prefix))
            {
                events.push_back(each->row);
            }
        }
        if (!events.empty() || clock::now() >= until)
        {
            co_return reply{200,
                            json{{"events", std::move(events)},
                                 {"at-revision", this->revision}}};
        }
        timer.expires_at(until);
        this->waiting.insert(&timer);
        boost::system::error_code ignored;
        co_await timer.async_wait(asio::redirect_error(use_awaitable, ignored));
        this->waiting.erase(&timer);
    }
}

reply store::transact(json const& body)
{
    json const none = json::array();
    json const conditions = body.value("expected-revision", none);
    json const writes = body.value("writes", none);
    json const deletes = body.value("deletes", none);
    if (conditions.size() + writes.size() + deletes.size() > max_entries)
    {
        return {400, json::object()};
    }
    bool holds = true;
    json current = json::array();
    for (json const& each : conditions)
    {
        std::string const key = each.at("key");
        auto const found = this->items.find(key);
        std::int64_t const is =
            found == this->items.end() ? 0 : found->second.revision;
        holds = holds && is == each.at("revision").get<std::int64_t>();
        if (found != this->items.end())
        {
            current.push_back(row(key, found->second));
        }
    }
    if (!holds)
    {
        return {412, json{{"items", std::move(current)}}};
    }
    for (json const& each : writes)
    {
        std::int64_t const id = each.value("lease", std::int64_t{0});
        std::string const key = each.at("key");
        if (id != 0 && this->leases.count(id) == 0)
        {
            return {404, json::object()};
        }
        if (has_prefix(key, "op/") || has_prefix(key, "servers/"))
        {
            return {403, json::object()};
        }
    }
    this->revision += 1;
    for (json const& each : writes)
    {
        this->write(each.at("key"),
                    each.at("value"),
                    each.value("lease", std::int64_t{0}),
                    this->revision);
    }
    for (json const& each : deletes)
    {
        this->remove(each.get<std::string>(), this->revision);
    }
    this->notify();
    return {200, json{{"revision", this->revision}}};
}

awaitable<reply> store::serve(request r)
{
    co_await pause_for(milliseconds(4)); // the store's usual answer time
    if (r.path == "/-/kv-watch")
    {
        co_return co_await this->watch(std::move(r));
    }
    if (r.path == "/-/kv-key")
    {
        auto const found = this->items.find(r.query["key"]);
        if (found == this->items.end())
        {
            co_return reply{404, json::object()};
        }
        json body = row(found->first, found->second);
        body["at-revision"] = this->revision;
        co_return reply{200, std::move(body)};
    }
    if (r.path == "/-/kv-range")
    {
        std::string const prefix = r.query["prefix"];
        std::string const after = r.query["after"];
        json rows = json::array();
        bool more = false;
        for (auto each = after.empty() ? this->items.lower_bound(prefix)
                                       : this->items.upper_bound(after);
             each != this->items.end() && has_prefix(each->first, prefix);
             ++each)
        {
            if (rows.size() == page_items)
            {
                more = true;
                break;
            }
            rows.push_back(row(each->first, each->second));
        }
        co_return reply{200,
                        json{{"items", std::move(rows)},
                             {"has-more", more},
                             {"at-revision", this->revision}}};
    }
    if (r.path == "/-/kv-txn" && r.body.is_object())
    {
        co_return this->transact(r.body);
    }
    if (r.path == "/-/kv-lease" && r.body.is_object())
    {
        milliseconds const ttl(std::max<std::int64_t>(
            1000, r.body.value("ttl-ms", std::int64_t{0})));
        std::int64_t const id = ++this->last_lease;
        this->leases[id] = {clock::now() + ttl, ttl};
        co_return reply{200, json{{"lease", id}, {"ttl-ms", ttl.count()}}};
    }
    std::size_t const slash = r.path.rfind('/');
    std::int64_t const id = number(r.path.substr(slash + 1));
    if (has_prefix(r.path, "/-/kv-keep/"))
    {
        auto const found = this->leases.find(id);
        if (found == this->leases.end())
        {
            co_return reply{404, json::object()};
        }
        found->second.ends = clock::now() + found->second.ttl;
        co_return reply{200, json{{"ttl-ms", found->second.ttl.count()}}};
    }
    if (has_prefix(r.path, "/-/kv-lease-end/"))
    {
        bool const known = this->leases.count(id) != 0;
        this->end_lease(id);
        co_return reply{known ? 200 : 404, json::object()};
    }
    co_return reply{400, json::object()};
}

} // namespace review
