#pragma once

#include <utility> // Boost.Asio of 1.74 uses std::exchange without it

#include <boost/asio.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <nlohmann/json.hpp>

#include <cstdint>
#include <deque>
#include <fstream>
#include <functional>
#include <iostream>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <vector>

/**
 * Stand-ins of the platform for the review: its store, executors and clients,
 * and a checker of what executors and clients see. Everything runs on one
 * thread.
 */
namespace review
{

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
using asio::awaitable;
using asio::use_awaitable;
using asio::ip::tcp;
using nlohmann::json;
using clock = std::chrono::steady_clock;
using std::chrono::milliseconds;

struct request
{
    std::string method;
    std::string path;
    std::map<std::string, std::string> query;
    std::string expected_instance;
    json body;
};

struct reply
{
    int status = 200;
    json body = json::object();
    bool unanswered = false; //!< the connection is kept and nothing is sent
};

using handler = std::function<awaitable<reply>(request)>;

/** Serves HTTP/1.1 on 127.0.0.1; returns the port. */
class server
{
public:
    server(asio::io_context& loop, handler serve);
    std::uint16_t port() const;
    /** Resets every open connection. */
    void reset_connections();
    /** Closes every open connection, as the end of a process does. */
    void close_connections();
    bool refusing = false; //!< new connections are closed at once

private:
    awaitable<void> accept();
    awaitable<void> session(std::shared_ptr<tcp::socket> socket);

    asio::io_context& loop;
    handler serve;
    tcp::acceptor acceptor;
    std::set<std::shared_ptr<tcp::socket>> open;
};

struct answer
{
    int status = 0; //!< 0: no complete answer
    json body;
};

/** One call on a connection of its own. */
awaitable<answer> call(tcp::endpoint to,
                       std::string method,
                       std::string path,
                       std::string host,
                       std::optional<json> body,
                       milliseconds limit);

awaitable<void> pause_for(milliseconds span);

// ---- the store

class store
{
public:
    explicit store(asio::io_context& loop);
    std::uint16_t port() const;
    /** A write by an operator or executor. */
    void put(std::string const& key, json const& value);
    void erase(std::string const& key);
    bool has(std::string const& key) const;

private:
    struct item
    {
        std::string value; //!< base64
        std::int64_t revision = 0;
        std::int64_t created = 0;
        std::int64_t lease = 0;
    };
    struct event
    {
        std::int64_t revision = 0;
        json row;
    };
    struct lease
    {
        clock::time_point ends;
        milliseconds ttl{0};
    };

    awaitable<reply> serve(request r);
    awaitable<reply> watch(request r);
    reply transact(json const& body);
    void write(std::string const& key,
               std::string const& value,
               std::int64_t lease_id,
               std::int64_t at);
    void remove(std::string const& key, std::int64_t at);
    void end_lease(std::int64_t id);
    void notify();
    awaitable<void> expire();
    static json row(std::string const& key, item const& of);

    asio::io_context& loop;
    std::unique_ptr<server> listener;
    std::map<std::string, item> items;
    std::map<std::int64_t, lease> leases;
    std::vector<event> history;
    std::set<asio::steady_timer*> waiting;
    std::int64_t revision = 10;
    std::int64_t last_lease = 100;
};

} // namespace review
