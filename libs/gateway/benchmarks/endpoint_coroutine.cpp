#include "endpoint.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http.hpp>

namespace cicada::benchmark_gateway
{
namespace
{

namespace net = boost::asio;
namespace http = boost::beast::http;
using tcp = net::ip::tcp;
using io_failure = boost::system::error_code;

constexpr unsigned http_1_1 = 11;
constexpr std::uint64_t body_limit_bytes = 64UL * 1024 * 1024;

auto into(io_failure& failure)
{
    return net::redirect_error(net::use_awaitable, failure);
}

net::awaitable<void> serve(tcp::socket socket)
{
    io_failure failure;
    socket.set_option(tcp::no_delay(true), failure);
    boost::beast::flat_buffer buffer;
    while (!failure)
    {
        http::request_parser<http::string_body> parser;
        parser.body_limit(body_limit_bytes);
        co_await http::async_read(socket, buffer, parser, into(failure));
        if (failure)
        {
            co_return;
        }
        http::response<http::string_body> answer(http::status::ok, http_1_1);
        answer.set("Cicada-Attempt", parser.get()["Cicada-Attempt"]);
        answer.body() = "done";
        answer.keep_alive(parser.keep_alive());
        answer.prepare_payload();
        co_await http::async_write(socket, answer, into(failure));
        if (!parser.keep_alive())
        {
            co_return;
        }
    }
}

net::awaitable<void> accept(tcp::acceptor acceptor)
{
    io_failure failure;
    while (!failure)
    {
        tcp::socket socket = co_await acceptor.async_accept(into(failure));
        if (!failure)
        {
            net::co_spawn(acceptor.get_executor(),
                          serve(std::move(socket)),
                          net::detached);
        }
    }
}

net::awaitable<void>
call(net::io_context& context, loop_settings const& loop, int& answered)
{
    io_failure failure;
    tcp::socket socket(context);
    boost::beast::flat_buffer buffer;
    http::request<http::string_body> request(
        http::verb::post, loop.target, http_1_1);
    request.set("Cicada-Tenant", "paper");
    request.body() = std::string(loop.body_bytes, 'b');
    request.keep_alive(loop.keep);
    request.prepare_payload();
    for (int done = 0; done < loop.requests && !failure; ++done)
    {
        if (!socket.is_open())
        {
            co_await socket.async_connect(
                tcp::endpoint(net::ip::make_address(loop.where.host),
                              loop.where.port),
                into(failure));
            socket.set_option(tcp::no_delay(true), failure);
        }
        co_await http::async_write(socket, request, into(failure));
        http::response<http::string_body> answer;
        co_await http::async_read(socket, buffer, answer, into(failure));
        answered += !failure && answer.result() == http::status::ok;
        if (!loop.keep)
        {
            socket.close(failure);
            buffer.clear();
        }
    }
}

} // namespace

address spawn_endpoint(net::io_context& context)
{
    tcp::acceptor acceptor(context,
                           tcp::endpoint(net::ip::address_v4::loopback(), 0));
    address const where{"127.0.0.1", acceptor.local_endpoint().port()};
    net::co_spawn(context, accept(std::move(acceptor)), net::detached);
    return where;
}

int run_callers(loop_settings const& loop)
{
    net::io_context context(1);
    int answered = 0;
    for (int caller = 0; caller < loop.callers; ++caller)
    {
        net::co_spawn(context, call(context, loop, answered), net::detached);
    }
    context.run();
    return answered;
}

} // namespace cicada::benchmark_gateway
