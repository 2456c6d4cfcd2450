#include "run.hpp"

#include <utility>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/connect.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http.hpp>
#include <nlohmann/json.hpp>
#include <xxhash.h>

#include <algorithm>
#include <iomanip>
#include <random>
#include <sstream>

namespace cicada::load
{
namespace
{

namespace net = boost::asio;
namespace beast = boost::beast;
namespace http = beast::http;
using tcp = net::ip::tcp;
using io_error = boost::system::error_code;
using clock = std::chrono::steady_clock;

constexpr seconds request_limit{90};
constexpr milliseconds connect_limit{5'000};
constexpr int verify_limit = 5'000;
constexpr unsigned http_1_1 = 11;

auto into(io_error& failure)
{
    return net::redirect_error(net::use_awaitable, failure);
}

/** The state of one run. */
struct runner
{
    explicit runner(options const& given)
        : given(given), slot_free(this->context, clock::time_point::max())
    {
        this->result.tallies.resize(given.tenants.size());
    }

    net::io_context context{1};
    options const& given;
    outcome result;
    int under_way = 0;
    std::uint64_t sent = 0;
    net::steady_timer slot_free;
};

/** One request and the time at which it was to be sent. */
struct planned
{
    std::size_t row = 0;
    std::uint64_t number = 0;
    clock::time_point intended;
    std::string body;
};

std::string key_of(runner const& load, planned const& plan)
{
    return "load-" + std::to_string(load.given.seed) + "-" +
           std::to_string(plan.number);
}

http::request<http::string_body>
make_request(runner const& load, planned const& plan, address const& entry)
{
    tenant_load const& stream = load.given.tenants[plan.row];
    http::request<http::string_body> request(
        http::verb::post, "/v1/requests/" + stream.workload, http_1_1);
    request.set(http::field::host, to_string(entry));
    request.set(http::field::connection, "close");
    request.set("Cicada-Tenant", stream.tenant);
    request.set("Cicada-Class", cicada::to_string(stream.urgency));
    request.set("Idempotency-Key", key_of(load, plan));
    if (!stream.idempotent)
    {
        request.set("Cicada-Idempotent", "no");
        std::ostringstream digest;
        digest << std::hex << std::setw(16) << std::setfill('0')
               << XXH64(plan.body.data(), plan.body.size(), 0);
        request.set("Cicada-Body-Digest", digest.str());
    }
    if (stream.service_ms)
    {
        request.set("Cicada-Standin-Service-Ms",
                    std::to_string(*stream.service_ms));
    }
    request.body() = plan.body;
    request.prepare_payload();
    return request;
}

/** True if the endpoint's answer is about this body. */
bool is_own(std::string const& answer, std::string const& body)
{
    nlohmann::json const text = nlohmann::json::parse(answer, nullptr, false);
    return text.is_object() &&
           text.value("bytes", nlohmann::json()) ==
               static_cast<std::uint64_t>(body.size()) &&
           text.value("digest", nlohmann::json()) ==
               static_cast<std::uint64_t>(XXH64(body.data(), body.size(), 0));
}

ending classify(http::response<http::string_body> const& answer,
                std::string const& body)
{
    beast::string_view const told = answer["Cicada-Outcome"];
    if (told == "not_run")
    {
        return ending::not_run;
    }
    if (told == "unknown")
    {
        return ending::unknown;
    }
    bool const problem =
        answer[http::field::content_type] == "application/problem+json";
    bool const good = told == "ran" && (problem || is_own(answer.body(), body));
    return good ? ending::ran : ending::wrong;
}

/** Connects to an entry; goes on to the next only if one refuses. */
net::awaitable<std::optional<address>>
connect(runner& load, beast::tcp_stream& stream, std::uint64_t number)
{
    for (std::size_t tried = 0; tried < load.given.entries.size(); ++tried)
    {
        address const& entry =
            load.given.entries[(number + tried) % load.given.entries.size()];
        io_error failure;
        stream.expires_after(connect_limit);
        co_await stream.async_connect(
            tcp::endpoint(net::ip::make_address(entry.host), entry.port),
            into(failure));
        if (!failure)
        {
            co_return entry;
        }
        if (failure != net::error::connection_refused)
        {
            break;
        }
    }
    co_return std::nullopt;
}

net::awaitable<ending> exchange(runner& load, planned const& plan)
{
    beast::tcp_stream stream(load.context);
    std::optional<address> const entry =
        co_await connect(load, stream, plan.number);
    if (!entry)
    {
        co_return ending::not_run;
    }
    io_error failure;
    http::request<http::string_body> request = make_request(load, plan, *entry);
    stream.expires_after(request_limit);
    co_await http::async_write(stream, request, into(failure));
    beast::flat_buffer buffer;
    http::response_parser<http::string_body> parser;
    co_await http::async_read_header(stream, buffer, parser, into(failure));
    if (failure)
    {
        co_return ending::unknown;
    }
    co_await http::async_read(stream, buffer, parser, into(failure));
    if (failure)
    {
        co_return ending::truncated;
    }
    co_return classify(parser.get(), plan.body);
}

net::awaitable<void> send_one(runner& load, planned plan)
{
    ending const how = co_await exchange(load, plan);
    tally& counted = load.result.tallies[plan.row];
    ++counted.endings[static_cast<std::size_t>(how)];
    if (how == ending::ran)
    {
        std::chrono::duration<double, std::milli> const waited =
            clock::now() - plan.intended;
        counted.waits(waited.count());
    }
    bool const idempotent = load.given.tenants[plan.row].idempotent;
    load.result.keys.push_back({key_of(load, plan), how, idempotent});
    --load.under_way;
    load.slot_free.cancel();
}

/** Sends one tenant's stream; late if need be, but each request of it. */
net::awaitable<void>
send_stream(runner& load, std::size_t row, clock::time_point begin)
{
    tenant_load const& stream = load.given.tenants[row];
    std::mt19937_64 random(load.given.seed * 1'000'003 + row);
    std::exponential_distribution<double> gap(stream.rate);
    clock::time_point const end = begin + seconds(load.given.seconds);
    clock::time_point next = begin;
    net::steady_timer timer(load.context);
    io_error ignored;
    while (true)
    {
        next += std::chrono::duration_cast<clock::duration>(
            std::chrono::duration<double>(gap(random)));
        if (next >= end)
        {
            co_return;
        }
        timer.expires_at(next);
        co_await timer.async_wait(into(ignored));
        while (load.under_way >= load.given.connections)
        {
            co_await load.slot_free.async_wait(into(ignored));
        }
        ++load.under_way;
        ++load.sent;
        planned plan{row, load.sent, next, {}};
        plan.body = std::to_string(plan.number) + " " + stream.tenant + " ";
        plan.body.resize(std::max(stream.body_bytes, plan.body.size()), 'x');
        net::co_spawn(
            load.context, send_one(load, std::move(plan)), net::detached);
    }
}

/** One GET over a kept connection; empty: no answer. */
std::string get(beast::tcp_stream& stream,
                beast::flat_buffer& buffer,
                std::string const& target)
{
    io_error failure;
    http::request<http::empty_body> request(http::verb::get, target, http_1_1);
    request.set(http::field::host, "standin");
    http::write(stream, request, failure);
    http::response<http::string_body> answer;
    if (!failure)
    {
        http::read(stream, buffer, answer, failure);
    }
    return failure ? "" : answer.body();
}

} // namespace

outcome run(options const& given)
{
    runner load(given);
    clock::time_point const begin = clock::now();
    for (std::size_t row = 0; row < given.tenants.size(); ++row)
    {
        net::co_spawn(
            load.context, send_stream(load, row, begin), net::detached);
    }
    load.context.run();
    return std::move(load.result);
}

verification verify(address const& control, std::vector<sent_key> const& keys)
{
    verification checked;
    net::io_context context;
    beast::tcp_stream stream(context);
    beast::flat_buffer buffer;
    io_error failure;
    stream.connect(
        tcp::endpoint(net::ip::make_address(control.host), control.port),
        failure);
    for (sent_key const& sent : keys)
    {
        if (failure || checked.asked == verify_limit)
        {
            break;
        }
        std::string const text = get(stream, buffer, "/ran?key=" + sent.key);
        nlohmann::json const answer =
            nlohmann::json::parse(text, nullptr, false);
        if (!answer.is_object())
        {
            break;
        }
        int const ran = answer.value("ran", 0);
        ++checked.asked;
        checked.not_run_but_ran += sent.how == ending::not_run && ran > 0;
        checked.ran_but_not_run += sent.how == ending::ran && ran == 0;
        checked.ran_twice += !sent.idempotent && ran > 1;
    }
    checked.counts = failure ? "" : get(stream, buffer, "/counts");
    return checked;
}

} // namespace cicada::load
