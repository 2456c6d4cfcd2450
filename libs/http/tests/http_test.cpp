#include "http/http.hpp"

#include <boost/asio/buffer.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/write.hpp>
#include <gtest/gtest.h>

#include <optional>

namespace cicada
{
namespace
{

namespace asio = boost::asio;

/** A server and a client with two connections, on one event loop. */
class exchange : public testing::Test
{
protected:
    void start(http_handler handler, http_server_settings settings = {})
    {
        this->server.emplace(this->loop, settings, std::move(handler));
        result<address> const at = this->server->listen({"127.0.0.1", 0});
        ASSERT_TRUE(at.has_value());
        this->where = at.assume_value();
        this->client.emplace(this->loop, this->where, http_client_settings{2});
    }

    /** Runs the loop until the call is complete. */
    result<http_reply> call(http_request request,
                            milliseconds timeout = milliseconds{2000})
    {
        std::optional<result<http_reply>> got;
        this->client->call(std::move(request),
                           timeout,
                           [&got](result<http_reply> outcome)
                           {
                               got = std::move(outcome);
                           });
        while (!got)
        {
            this->loop.run_one();
        }
        return *got;
    }

    asio::io_context loop{1};
    std::optional<http_server> server;
    std::optional<http_client> client;
    address where;
};

void echo(http_request const& request, http_responder const& answer)
{
    answer({200, {{"X-Target", request.target}}, request.body});
}

TEST_F(exchange, carries_method_target_and_body)
{
    this->start(echo);
    result<http_reply> const got =
        this->call({"POST", "/a?b=1", {}, "some body"});
    ASSERT_TRUE(got.has_value());
    EXPECT_EQ(got.assume_value().status, 200);
    EXPECT_EQ(got.assume_value().body, "some body");
}

TEST_F(exchange, refuses_a_body_over_the_limit)
{
    http_server_settings limits;
    limits.body_bytes = 100;
    this->start(echo, limits);
    result<http_reply> const got =
        this->call({"POST", "/", {}, std::string(200, 'x')});
    ASSERT_TRUE(got.has_value());
    EXPECT_EQ(got.assume_value().status, 413);
}

TEST_F(exchange, with_a_silent_server_is_unknown)
{
    std::vector<http_responder> pending;
    this->start(
        [&pending](http_request const&, http_responder answer)
        {
            pending.push_back(std::move(answer));
        });
    result<http_reply> const got =
        this->call({"POST", "/", {}, "x"}, milliseconds{60});
    ASSERT_FALSE(got.has_value());
    EXPECT_EQ(got.assume_error().code, error_code::unknown);
}

TEST_F(exchange, with_no_server_is_unavailable)
{
    this->start(echo);
    this->server.reset();
    http_client other(this->loop, this->where, {1});
    std::optional<result<http_reply>> got;
    other.call({"GET", "/", {}, ""},
               milliseconds{500},
               [&got](result<http_reply> outcome)
               {
                   got = std::move(outcome);
               });
    while (!got)
    {
        this->loop.run_one();
    }
    ASSERT_FALSE(got->has_value());
    EXPECT_EQ(got->assume_error().code, error_code::unavailable);
}

// Guards against orders that a process sends after a pause, when the right to
// give them may have ended.
TEST_F(exchange, past_its_deadline_is_not_sent)
{
    int served = 0;
    this->start(
        [&served](http_request const& request, http_responder const& answer)
        {
            served += 1;
            echo(request, answer);
        });
    ASSERT_TRUE(this->call({"GET", "/first", {}, ""}).has_value());
    std::optional<result<http_reply>> got;
    constexpr milliseconds timeout{40};
    std::chrono::steady_clock::time_point const deadline =
        std::chrono::steady_clock::now() + timeout;
    for (int k = 0; k < 3; ++k) // one waits for a connection
    {
        this->client->call({"GET", "/late", {}, ""},
                           timeout,
                           [&got](result<http_reply> outcome)
                           {
                               got = std::move(outcome);
                           });
    }
    while (std::chrono::steady_clock::now() <= deadline)
    {
    }
    this->loop.run_for(milliseconds{300});
    ASSERT_TRUE(got.has_value());
    // The first one was sent at once, on the open connection.
    EXPECT_EQ(served, 2);
}

TEST_F(exchange, beyond_the_connection_limit_waits)
{
    std::vector<http_responder> pending;
    this->start(
        [&pending](http_request const&, http_responder answer)
        {
            pending.push_back(std::move(answer));
        });
    int done = 0;
    for (int i = 0; i < 5; ++i)
    {
        this->client->call({"GET", "/", {}, ""},
                           milliseconds{5000},
                           [&done](result<http_reply> const& outcome)
                           {
                               done += outcome.has_value() ? 1 : 0;
                           });
    }
    std::size_t max_pending = 0;
    while (done < 5)
    {
        this->loop.run_one();
        max_pending = std::max(max_pending, pending.size());
        if (pending.size() == 2 || (done >= 4 && !pending.empty()))
        {
            for (http_responder const& answer : pending)
            {
                answer({200, {}, ""});
            }
            pending.clear();
        }
    }
    EXPECT_LE(max_pending, 2u);
}

TEST_F(exchange, in_progress_is_answered_while_draining)
{
    std::optional<http_responder> pending;
    this->start(
        [&pending](http_request const&, http_responder answer)
        {
            pending = std::move(answer);
        });
    std::optional<result<http_reply>> got;
    this->client->call({"GET", "/", {}, ""},
                       milliseconds{5000},
                       [&got](result<http_reply> outcome)
                       {
                           got = std::move(outcome);
                       });
    while (!pending)
    {
        this->loop.run_one();
    }
    this->server->drain();
    EXPECT_EQ(this->server->in_progress(), 1u);
    (*pending)({200, {}, "late"});
    while (!got)
    {
        this->loop.run_one();
    }
    ASSERT_TRUE(got->has_value());
    EXPECT_EQ(got->assume_value().body, "late");
    EXPECT_EQ(this->server->in_progress(), 0u);
}

// ---- connections that go silent

/** Answers each request with status 200 until its open connections go silent:
 * further requests on them get no answer, new connections do. */
class silencing_server
{
public:
    explicit silencing_server(asio::io_context& loop)
        : acceptor(loop, {asio::ip::make_address("127.0.0.1"), 0})
    {
        this->accept();
    }

    address where() const
    {
        return {"127.0.0.1", this->acceptor.local_endpoint().port()};
    }

    void silence_open_connections()
    {
        for (std::shared_ptr<connection> const& each : this->connections)
        {
            each->silent = true;
        }
    }

    std::size_t accepted() const
    {
        return this->connections.size();
    }

private:
    struct connection
    {
        asio::ip::tcp::socket socket;
        std::string received;
        bool silent = false;
    };

    void accept()
    {
        this->acceptor.async_accept(
            [this](boost::system::error_code const& failed,
                   asio::ip::tcp::socket socket)
            {
                if (failed)
                {
                    return;
                }
                this->connections.push_back(std::make_shared<connection>(
                    connection{std::move(socket), ""}));
                this->answer_next(this->connections.back());
                this->accept();
            });
    }

    void answer_next(std::shared_ptr<connection> const& from)
    {
        asio::async_read_until(
            from->socket,
            asio::dynamic_buffer(from->received),
            "\r\n\r\n",
            [this, from](boost::system::error_code const& failed, std::size_t)
            {
                if (failed || from->silent)
                {
                    return;
                }
                from->received.clear();
                asio::write(
                    from->socket,
                    asio::buffer(std::string("HTTP/1.1 200 OK\r\n"
                                             "Content-Length: 0\r\n\r\n")));
                this->answer_next(from);
            });
    }

    asio::ip::tcp::acceptor acceptor;
    std::vector<std::shared_ptr<connection>> connections;
};

TEST(pooled_connections, that_went_silent_delay_one_call_only)
{
    constexpr std::size_t pooled = 4;
    asio::io_context loop{1};
    silencing_server server(loop);
    http_client client(loop, server.where(), {pooled * 2});
    std::vector<bool> answered;
    auto const call = [&client, &answered](milliseconds timeout)
    {
        client.call({"GET", "/", {}, ""},
                    timeout,
                    [&answered](result<http_reply> const& outcome)
                    {
                        answered.push_back(outcome.has_value());
                    });
    };
    auto const run_until = [&loop, &answered](std::size_t calls)
    {
        while (answered.size() < calls)
        {
            loop.run_one();
        }
    };
    for (std::size_t i = 0; i < pooled; ++i)
    {
        call(milliseconds{5000});
    }
    run_until(pooled);
    ASSERT_EQ(server.accepted(), pooled);
    server.silence_open_connections();
    call(milliseconds{60});
    run_until(pooled + 1);
    EXPECT_FALSE(answered.back());
    call(milliseconds{5000});
    run_until(pooled + 2);
    EXPECT_TRUE(answered.back());
    EXPECT_EQ(server.accepted(), pooled + 1);
}

// ---- draining with unread requests

/** A request waits in the socket's receive buffer, unread by the server, when
 * the server starts to drain. */
class request_in_socket_buffer : public exchange,
                                 public testing::WithParamInterface<bool>
{
protected:
    void connect(asio::ip::tcp::socket& socket)
    {
        socket.connect(
            {asio::ip::make_address(this->where.host), this->where.port});
    }

    void send(asio::ip::tcp::socket& socket)
    {
        asio::write(socket,
                    asio::buffer(std::string("GET /x HTTP/1.1\r\n"
                                             "Host: h\r\n\r\n")));
    }

    std::string read_all(asio::ip::tcp::socket& socket)
    {
        std::string got;
        boost::system::error_code ended;
        asio::read(socket, asio::dynamic_buffer(got), ended);
        return ended == asio::error::eof ? got : "error: " + ended.message();
    }
};

TEST_P(request_in_socket_buffer, is_answered_by_a_draining_server)
{
    this->start(echo);
    asio::ip::tcp::socket socket(this->loop);
    this->connect(socket);
    if (GetParam())
    {
        this->loop.run_one(); // accepts the connection
        this->loop.poll();
    }
    this->send(socket);
    this->server->drain();
    for (int turn = 0; turn < 50; ++turn)
    {
        this->loop.poll();
    }
    EXPECT_EQ(this->read_all(socket).substr(0, 15), "HTTP/1.1 200 OK");
}

INSTANTIATE_TEST_SUITE_P(accepted, request_in_socket_buffer, testing::Bool());

} // namespace
} // namespace cicada
