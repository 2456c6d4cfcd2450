#include "worker_connections.hpp"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <gtest/gtest.h>

namespace cicada::cell
{
namespace
{

using tcp = boost::asio::ip::tcp;

/** Accepts connections and never answers. */
class silent_server
{
public:
    explicit silent_server(boost::asio::io_context& loop)
        : acceptor(loop, {boost::asio::ip::make_address("127.0.0.1"), 0})
    {
    }

    address where() const
    {
        return {"127.0.0.1", this->acceptor.local_endpoint().port()};
    }

private:
    tcp::acceptor acceptor; // the kernel accepts for it
};

// Guards against a worker that is never polled again: it came back at another
// address while a poll of the former one was in progress, whose outcome never
// came.
TEST(calls_to_a_worker_that_moved, have_an_outcome)
{
    boost::asio::io_context loop;
    silent_server const former(loop);
    silent_server const present(loop);
    worker_connections connections(loop);
    int outcomes = 0;
    http_callback const count = [&outcomes](result<http_reply> const& reply)
    {
        EXPECT_FALSE(reply.has_value());
        outcomes += 1;
    };
    constexpr milliseconds timeout{100};
    worker_clients const& clients = connections.at("w1", former.where());
    clients.polls->call({"POST", "/", {}, ""}, timeout, count);
    clients.orders->call({"POST", "/", {}, ""}, timeout, count);
    connections.at("w1", present.where())
        .orders->call({"POST", "/", {}, ""}, timeout, count);
    loop.run();
    EXPECT_EQ(outcomes, 3);
}

TEST(clients_of_a_worker, are_the_same_while_it_stays)
{
    boost::asio::io_context loop;
    worker_connections connections(loop);
    address const where{"127.0.0.1", 9};
    std::shared_ptr<http_client> const first =
        connections.at("w1", where).polls;
    EXPECT_EQ(connections.at("w1", where).polls, first);
    EXPECT_NE(connections.at("w2", where).polls, first);
}

} // namespace
} // namespace cicada::cell
