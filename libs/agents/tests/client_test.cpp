#include "answers.hpp"
#include "fixtures.hpp"

#include <gtest/gtest.h>

namespace cicada
{
namespace
{

constexpr milliseconds short_limit{200};

class client : public testing::Test
{
protected:
    void SetUp() override
    {
        result<std::vector<instance>> const listed =
            this->agents.start(two_agents());
        ASSERT_TRUE(listed.has_value());
        this->worker = listed.assume_value().at(0);
    }

    standin_agents agents;
    instance worker;
};

TEST_F(client, reuses_connections_for_syncs_only)
{
    agent_client client;
    for (int count = 0; count < 5; ++count)
    {
        EXPECT_EQ(summarize(send_and_wait(client, this->worker, sync(1))),
                  "report");
    }
    EXPECT_EQ(client.counters().connections, 1U);
    EXPECT_EQ(summarize(send_and_wait(client, this->worker, start("t", 1))),
              "running");
    EXPECT_EQ(summarize(send_and_wait(client, this->worker, cancel("t", 1))),
              "failed");
    EXPECT_EQ(client.counters().connections, 3U);
    EXPECT_EQ(client.counters().in_flight, 0U);
}

TEST_F(client, drops_a_connection_after_a_timeout)
{
    agent_client client;
    std::promise<std::string> waited;
    client.send(agent_call{this->worker.name,
                           this->worker.where,
                           sync(1, 1, 3000),
                           short_limit},
                [&waited](result<agent_answer> const& answer)
                {
                    waited.set_value(summarize(answer));
                });
    while (this->agents.counts().syncs == 0)
    {
        std::this_thread::yield();
    }
    this->agents.set_fault("", agent_fault::silent);
    EXPECT_EQ(waited.get_future().get(), "unknown");
    EXPECT_EQ(client.counters().timeouts, 1U);
    EXPECT_EQ(
        summarize(send_and_wait(client, this->worker, sync(1), short_limit)),
        "report");
    EXPECT_EQ(client.counters().connections, 2U);
}

/** A fault of the agent and the result of a start sent during it. */
struct fault_case
{
    char const* name;
    agent_fault fault;
    std::string answer;
    std::string afterwards; //!< answer to a cancel after the fault
};

class client_fault : public client,
                     public testing::WithParamInterface<fault_case>
{
};

TEST_P(client_fault, is_reported_correctly)
{
    agent_client client;
    fault_case const& test_case = this->GetParam();
    this->agents.set_fault("", test_case.fault, milliseconds(1000));
    EXPECT_EQ(summarize(send_and_wait(
                  client, this->worker, start("t", 1), short_limit)),
              test_case.answer);
    this->agents.set_fault("", agent_fault::none);
    EXPECT_EQ(summarize(send_and_wait(client, this->worker, cancel("t", 1))),
              test_case.afterwards);
    EXPECT_LE(this->agents.counts().starts, 1U);
    EXPECT_EQ(this->agents.counts().repeated, 0U);
}

INSTANTIATE_TEST_SUITE_P(
    table,
    client_fault,
    testing::Values(
        fault_case{"none", agent_fault::none, "running", "failed"},
        fault_case{"delay", agent_fault::delay, "unknown", "failed"},
        fault_case{"drop", agent_fault::drop, "unknown", "never_started"},
        fault_case{
            "lose_answers", agent_fault::lose_answers, "unknown", "failed"},
        fault_case{"fail_all", agent_fault::fail_all, "failed", "failed"},
        fault_case{"drain", agent_fault::drain, "draining", "never_started"}),
    [](testing::TestParamInfo<fault_case> const& info)
    {
        return std::string(info.param.name);
    });

TEST_F(client, reports_unavailable_if_the_connection_is_refused)
{
    agent_client client;
    this->agents.stop();
    EXPECT_EQ(summarize(send_and_wait(client, this->worker, start("t", 1))),
              "unavailable");
    EXPECT_EQ(client.counters().failures, 1U);
}

TEST_F(client, limits_calls_in_flight)
{
    agent_client client(1);
    std::promise<std::string> waited;
    client.send(agent_call{this->worker.name,
                           this->worker.where,
                           sync(1, 1, 1000),
                           call_limit},
                [&waited](result<agent_answer> const& answer)
                {
                    waited.set_value(summarize(answer));
                });
    EXPECT_EQ(summarize(send_and_wait(client, this->worker, sync(1))),
              "unavailable");
    EXPECT_EQ(client.counters().over_limit, 1U);
    EXPECT_EQ(waited.get_future().get(), "report");
}

TEST_F(client, calls_no_handler_after_stop)
{
    std::atomic<int> calls{0};
    agent_client client;
    for (int count = 0; count < 20; ++count)
    {
        client.send(agent_call{this->worker.name,
                               this->worker.where,
                               sync(1, 1, 3000),
                               call_limit},
                    [&calls](result<agent_answer> const&)
                    {
                        ++calls;
                    });
    }
    client.stop();
    int const calls_before_stop = calls;
    client.send(
        agent_call{this->worker.name, this->worker.where, sync(1), call_limit},
        [&calls](result<agent_answer> const&)
        {
            ++calls;
        });
    EXPECT_EQ(calls, calls_before_stop);
    EXPECT_EQ(client.counters().in_flight, 0U);
}

/** An HTTP response to an order and its expected interpretation. */
struct answer_case
{
    char const* name;
    agent_order order;
    int status;
    std::string body;
    std::string expected;
};

class interpretation : public testing::TestWithParam<answer_case>
{
};

TEST_P(interpretation, matches_the_response)
{
    answer_case const& test_case = this->GetParam();
    EXPECT_EQ(summarize(interpret_answer(
                  test_case.order, test_case.status, test_case.body)),
              test_case.expected);
}

std::string const running = encode_agent_answer(run_answer{run_state::running});
std::string const refused =
    encode_agent_answer(agent_refusal{epoch{3}, "stale_epoch"});

INSTANTIATE_TEST_SUITE_P(
    table,
    interpretation,
    testing::Values(
        answer_case{"run", start("t", 1), 200, running, "running"},
        answer_case{"refusal", start("t", 1), 409, refused, "stale_epoch"},
        answer_case{"draining", start("t", 1), 503, refused, "stale_epoch"},
        answer_case{"wrong_kind", sync(1), 200, running, "unknown"},
        answer_case{"refusal_as_ok", sync(1), 200, refused, "unknown"},
        answer_case{"ok_as_refusal", start("t", 1), 409, running, "unknown"},
        answer_case{"cut_off", start("t", 1), 200, "{\"kind\"", "unknown"},
        answer_case{"busy_balancer", start("t", 1), 503, "busy", "unknown"},
        answer_case{"broken", start("t", 1), 500, running, "unknown"},
        answer_case{"not_found", start("t", 1), 404, "", "refused"}),
    [](testing::TestParamInfo<answer_case> const& info)
    {
        return std::string(info.param.name);
    });

} // namespace
} // namespace cicada
