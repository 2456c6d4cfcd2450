#include "serve.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <limits>

namespace cicada::standin
{

namespace asio = boost::asio;

namespace
{

constexpr milliseconds stuck_check_period{20};
constexpr std::uint64_t max_order_bytes = 1 << 20;

using run_parser = http::request_parser<http::buffer_body>;
using order_parser = http::request_parser<http::string_body>;

/** Keeps a connection in the list of those that stop() closes. */
class open_entry
{
public:
    open_entry(server_state& server, connection& listed)
        : server(server),
          at(server.open.insert(server.open.end(), &listed.stream))
    {
    }

    ~open_entry()
    {
        this->server.open.erase(this->at);
    }

    open_entry(open_entry const&) = delete;
    open_entry& operator=(open_entry const&) = delete;

private:
    server_state& server;
    std::list<boost::beast::tcp_stream*>::iterator at;
};

/** Waits for a change from `seen`, or for the end of `length`. */
task wait_for_change(agent_host& agent, std::uint64_t seen, milliseconds length)
{
    instant const until = now() + length;
    while (agent.state.version == seen && now() < until)
    {
        asio::steady_timer timer(co_await asio::this_coro::executor, until);
        std::list<asio::steady_timer*>::iterator const entry =
            agent.waiting.insert(agent.waiting.end(), &timer);
        boost::system::error_code woken;
        co_await timer.async_wait(
            asio::redirect_error(asio::use_awaitable, woken));
        agent.waiting.erase(entry);
    }
}

asio::awaitable<http_answer>
answer_order(agent_host& agent, std::string path, std::string body)
{
    result<agent_order> const order = decode_agent_order(path, body);
    if (!order.has_value())
    {
        co_return make_answer(http::status::bad_request, "{}");
    }
    agent_answer answer = take_order(agent.state, order.assume_value(), now());
    sync_order const* const sync =
        std::get_if<sync_order>(&order.assume_value());
    if (sync != nullptr && std::holds_alternative<agent_report>(answer))
    {
        co_await wait_for_change(agent, sync->seen, sync->wait);
        answer = report_of(agent.state, sync->seen);
    }
    wake(agent);
    if (std::holds_alternative<agent_refusal>(answer))
    {
        co_return make_refusal(std::get<agent_refusal>(answer));
    }
    co_return make_answer(http::status::ok, encode_agent_answer(answer));
}

/** One request; false: close the connection. */
asio::awaitable<bool>
serve_request(server_state& server, agent_host& agent, connection& from)
{
    run_parser parser;
    parser.body_limit(std::numeric_limits<std::uint64_t>::max());
    co_await http::async_read_header(
        from.stream, from.buffer, parser, asio::use_awaitable);
    co_await wait_while_stuck(agent, from);
    if (parser.get().target() == "/run")
    {
        co_return co_await serve_run(server, agent, from, parser);
    }
    order_parser rest(std::move(parser));
    rest.body_limit(max_order_bytes);
    co_await http::async_read(
        from.stream, from.buffer, rest, asio::use_awaitable);
    http_answer answer = co_await answer_order(
        agent, std::string(rest.get().target()), rest.get().body());
    co_await wait_for(agent.delay);
    co_await wait_while_stuck(agent, from);
    if (agent.lose_answers)
    {
        co_return false;
    }
    answer.keep_alive(rest.keep_alive());
    co_await http::async_write(from.stream, answer, asio::use_awaitable);
    co_return rest.keep_alive();
}

task serve_connection(server_state& server,
                      agent_host& agent,
                      std::shared_ptr<connection> from)
{
    open_entry const listed(server, *from);
    from->number = ++agent.last_connection;
    try
    {
        bool again = !agent.drop;
        while (again)
        {
            again = co_await serve_request(server, agent, *from);
            again = again && !agent.drop;
        }
    }
    catch (std::exception const&)
    {
        // The other side left or talked nonsense; the connection is over.
    }
}

task serve_control_connection(server_state& server,
                              std::shared_ptr<connection> from)
{
    open_entry const listed(server, *from);
    try
    {
        bool again = true;
        while (again)
        {
            http::request<http::string_body> request;
            co_await http::async_read(
                from->stream, from->buffer, request, asio::use_awaitable);
            http_answer answer = answer_control(server, request);
            again = request.keep_alive();
            answer.keep_alive(again);
            co_await http::async_write(
                from->stream, answer, asio::use_awaitable);
        }
    }
    catch (std::exception const&)
    {
        // The other side left; the connection is over.
    }
}

/** The next connection; none once the acceptor is closed. */
asio::awaitable<std::shared_ptr<connection>> next(tcp::acceptor& acceptor)
{
    while (acceptor.is_open())
    {
        boost::system::error_code failure;
        tcp::socket socket = co_await acceptor.async_accept(
            asio::redirect_error(asio::use_awaitable, failure));
        if (!failure)
        {
            socket.set_option(tcp::no_delay(true), failure);
            co_return std::make_shared<connection>(std::move(socket));
        }
    }
    co_return nullptr;
}

task serve_agent(server_state& server, agent_host& agent)
{
    std::shared_ptr<connection> fresh = co_await next(*agent.acceptor);
    while (fresh != nullptr)
    {
        asio::co_spawn(*server.io,
                       serve_connection(server, agent, std::move(fresh)),
                       asio::detached);
        fresh = co_await next(*agent.acceptor);
    }
}

task serve_control(server_state& server, tcp::acceptor& acceptor)
{
    std::shared_ptr<connection> fresh = co_await next(acceptor);
    while (fresh != nullptr)
    {
        asio::co_spawn(*server.io,
                       serve_control_connection(server, std::move(fresh)),
                       asio::detached);
        fresh = co_await next(acceptor);
    }
}

} // namespace

task wait_for(milliseconds length)
{
    if (length > milliseconds(0))
    {
        asio::steady_timer timer(co_await asio::this_coro::executor, length);
        co_await timer.async_wait(asio::use_awaitable);
    }
}

task wait_while_stuck(agent_host const& agent, connection const& on)
{
    while (agent.pause || on.number < agent.silent_below)
    {
        co_await wait_for(stuck_check_period);
    }
}

void start_agent(server_state& server, agent_host& agent)
{
    asio::co_spawn(*server.io, serve_agent(server, agent), asio::detached);
}

void start_control(server_state& server, tcp::acceptor& acceptor)
{
    asio::co_spawn(*server.io, serve_control(server, acceptor), asio::detached);
}

} // namespace cicada::standin
