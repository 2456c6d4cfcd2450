#include "fixtures.hpp"

#include <gtest/gtest.h>

#include <utility>

#include <boost/asio/connect.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>
#include <nlohmann/json.hpp>

/**
 * Checks over HTTP that workers and endpoints follow docs/CONTRACTS.md. An
 * adapter for another platform replaces the stand-ins and must pass the same
 * tables.
 */
namespace cicada
{
namespace
{

/**
 * Sends one POST /run. Returns the status, whether the attempt id was echoed,
 * and the refusal's reason or else the number of bytes in the answer.
 */
std::string run(address const& where,
                std::string const& attempt,
                std::uint64_t since,
                std::string const& body)
{
    boost::asio::io_context io;
    boost::asio::ip::tcp::socket socket(io);
    socket.connect({boost::asio::ip::make_address(where.host), where.port});
    std::string const head =
        "POST /run HTTP/1.1\r\nHost: endpoint\r\n"
        "Connection: close\r\nCicada-Attempt: " +
        attempt + "\r\nCicada-Epoch: " + std::to_string(since) +
        "\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n";
    boost::asio::write(socket, boost::asio::buffer(head + body));
    std::string answer;
    boost::system::error_code end_of_stream;
    boost::asio::read(
        socket, boost::asio::dynamic_buffer(answer), end_of_stream);
    std::string out = answer.substr(9, 3);
    bool const echoed =
        answer.find("Cicada-Attempt: " + attempt) != std::string::npos;
    out += echoed ? " echoed " : " not_echoed ";
    nlohmann::json const answer_body = nlohmann::json::parse(
        answer.substr(answer.find("\r\n\r\n") + 4), nullptr, false);
    if (answer_body.contains("reason"))
    {
        return out + answer_body["reason"].get<std::string>();
    }
    return out + std::to_string(answer_body.value("bytes", -1));
}

/** Sends part of a body and closes the connection. */
void send_partial_run(address const& where, std::string const& attempt)
{
    boost::asio::io_context io;
    boost::asio::ip::tcp::socket socket(io);
    socket.connect({boost::asio::ip::make_address(where.host), where.port});
    boost::asio::write(socket,
                       boost::asio::buffer("POST /run HTTP/1.1\r\nHost: e\r\n"
                                           "Cicada-Epoch: 1\r\n"
                                           "Content-Length: 100\r\n"
                                           "Cicada-Attempt: " +
                                           attempt + "\r\n\r\npart"));
}

/** A request and its expected answer: an order, or an attempt if none. */
struct contract_step
{
    std::optional<agent_order> order;
    std::string attempt;
    std::uint64_t since;
    std::string answer;
};

contract_step order_step(agent_order const& order, std::string const& answer)
{
    return contract_step{order, "", 0, answer};
}

contract_step attempt_step(std::string const& attempt,
                           std::uint64_t since,
                           std::string const& answer)
{
    return contract_step{std::nullopt, attempt, since, answer};
}

struct contract_case
{
    char const* name;
    std::size_t agent; //!< 0: the worker, 1: the endpoint
    std::vector<contract_step> steps;
};

class contract : public testing::TestWithParam<contract_case>
{
protected:
    void SetUp() override
    {
        result<std::vector<instance>> const listed =
            this->agents.start(two_agents());
        ASSERT_TRUE(listed.has_value());
        this->list = listed.assume_value();
    }

    standin_agents agents;
    std::vector<instance> list;
    agent_client client;
};

TEST_P(contract, is_followed)
{
    instance const& agent = this->list.at(this->GetParam().agent);
    for (contract_step const& step : this->GetParam().steps)
    {
        std::string const answer =
            step.order.has_value()
                ? summarize(send_and_wait(this->client, agent, *step.order))
                : run(agent.where, step.attempt, step.since, "body");
        EXPECT_EQ(answer, step.answer);
    }
}

INSTANTIATE_TEST_SUITE_P(
    worker,
    contract,
    testing::Values(contract_case{"starts_once",
                                  0,
                                  {order_step(start("t", 1), "running"),
                                   order_step(start("t", 1), "running"),
                                   order_step(sync(1), "report t=running")}},
                    contract_case{"refuses_a_lower_epoch",
                                  0,
                                  {order_step(sync(2), "report"),
                                   order_step(start("t", 1), "stale_epoch"),
                                   order_step(cancel("t", 1), "stale_epoch"),
                                   order_step(sync(1), "stale_epoch"),
                                   order_step(start("t", 2), "running")}},
                    contract_case{
                        "keeps_tombstones",
                        0,
                        {order_step(cancel("t", 1), "never_started"),
                         order_step(start("t", 1), "tombstone"),
                         order_step(cancel("t", 1), "never_started")}},
                    contract_case{"keeps_within_its_capacity",
                                  0,
                                  {order_step(start("t1", 1), "running"),
                                   order_step(start("t2", 1), "running"),
                                   order_step(start("t3", 1), "no_capacity"),
                                   order_step(cancel("t1", 1), "failed"),
                                   order_step(start("t3", 1), "running")}}),
    [](testing::TestParamInfo<contract_case> const& info)
    {
        return std::string(info.param.name);
    });

INSTANTIATE_TEST_SUITE_P(
    endpoint,
    contract,
    testing::Values(
        contract_case{"answers_whole_and_with_the_id",
                      1,
                      {attempt_step("a", 1, "200 echoed 4"),
                       order_step(sync(1), "report a=finished"),
                       order_step(cancel("a", 1), "finished")}},
        contract_case{"runs_an_id_once",
                      1,
                      {attempt_step("a", 1, "200 echoed 4"),
                       attempt_step("a", 1, "409 not_echoed duplicate")}},
        contract_case{"refuses_a_lower_epoch",
                      1,
                      {order_step(sync(2), "report"),
                       attempt_step("a", 1, "409 echoed stale_epoch"),
                       attempt_step("b", 2, "200 echoed 4")}},
        contract_case{"keeps_tombstones",
                      1,
                      {order_step(cancel("a", 1), "never_started"),
                       attempt_step("a", 1, "409 echoed tombstone"),
                       order_step(sync(1), "report")}}),
    [](testing::TestParamInfo<contract_case> const& info)
    {
        return std::string(info.param.name);
    });

TEST_F(contract, a_draining_endpoint_reports_it_and_refuses_attempts)
{
    instance const& endpoint = this->list.at(1);
    this->agents.set_fault(endpoint.name, agent_fault::drain);
    EXPECT_EQ(run(endpoint.where, "a", 1, "body"), "503 echoed draining");
    result<agent_answer> const answer =
        send_and_wait(this->client, endpoint, sync(1));
    ASSERT_TRUE(answer.has_value());
    EXPECT_TRUE(std::get<agent_report>(answer.assume_value()).draining);
    EXPECT_EQ(this->agents.counts().starts, 0U);
}

TEST_F(contract, an_incomplete_body_never_runs)
{
    instance const& endpoint = this->list.at(1);
    send_partial_run(endpoint.where, "a");
    std::string said;
    while (this->agents.counts().cut_off == 0)
    {
        std::this_thread::yield();
    }
    EXPECT_EQ(summarize(send_and_wait(this->client, endpoint, cancel("a", 1))),
              "never_started");
    EXPECT_EQ(this->agents.counts().starts, 0U);
}

TEST_F(contract, a_sync_waits_for_a_change)
{
    instance const& worker = this->list.at(0);
    result<agent_answer> const first =
        send_and_wait(this->client, worker, sync(1));
    ASSERT_TRUE(first.has_value());
    std::uint64_t const seen =
        std::get<agent_report>(first.assume_value()).version;
    std::promise<std::string> received;
    this->client.send(
        agent_call{worker.name, worker.where, sync(1, seen, 4000), call_limit},
        [&received](result<agent_answer> const& answer)
        {
            received.set_value(summarize(answer));
        });
    std::future<std::string> answer = received.get_future();
    EXPECT_EQ(summarize(send_and_wait(this->client, worker, start("t", 1))),
              "running");
    EXPECT_EQ(answer.get(), "report t=running");
}

} // namespace
} // namespace cicada
