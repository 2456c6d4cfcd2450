#pragma once

#include "agents/agents.hpp"
#include "standin_agents/standin_agents.hpp"

#include <future>

namespace cicada
{

constexpr resources task_resources{1000, 1024, 0};
constexpr milliseconds call_limit{5000};

/** A worker with capacity for two tasks and an endpoint with two slots. */
inline standin_agents_settings two_agents()
{
    instance worker;
    worker.name = "worker-1";
    worker.capacity = task_resources * 2;
    instance endpoint;
    endpoint.name = "endpoint-1";
    endpoint.kind = instance_kind::endpoint;
    endpoint.pool = pool_id{"proof"};
    endpoint.slots = 2;
    standin_agents_settings settings;
    settings.agents = {worker, endpoint};
    settings.service_time = milliseconds(0);
    return settings;
}

/** Sends an order and waits for the result that the handler receives. */
inline result<agent_answer> send_and_wait(agent_client& client,
                                          instance const& agent,
                                          agent_order const& order,
                                          milliseconds limit = call_limit)
{
    std::promise<result<agent_answer>> received;
    client.send(agent_call{agent.name, agent.where, order, limit},
                [&received](result<agent_answer> const& answer)
                {
                    received.set_value(answer);
                });
    return received.get_future().get();
}

/**
 * The error code, the refusal's reason, the run's state, or the report's runs
 * with their states.
 */
inline std::string summarize(result<agent_answer> const& answer)
{
    if (!answer.has_value())
    {
        return to_string(answer.assume_error().code);
    }
    agent_answer const& value = answer.assume_value();
    if (std::holds_alternative<agent_refusal>(value))
    {
        return std::get<agent_refusal>(value).reason;
    }
    if (std::holds_alternative<run_answer>(value))
    {
        return to_string(std::get<run_answer>(value).state);
    }
    std::string runs = "report";
    for (run_report const& run : std::get<agent_report>(value).runs)
    {
        runs += " " + run.run + "=" + to_string(run.state);
    }
    return runs;
}

inline sync_order
sync(std::uint64_t since, std::uint64_t seen = 0, int wait_ms = 0)
{
    return sync_order{
        daemon_id{"d"}, epoch{since}, seen, milliseconds(wait_ms), true};
}

inline start_order start(char const* task, std::uint64_t since)
{
    return start_order{epoch{since},
                       task_id{task},
                       workload_id{"press"},
                       task_resources,
                       milliseconds(0),
                       milliseconds(60'000)};
}

inline cancel_order cancel(char const* run, std::uint64_t since)
{
    return cancel_order{epoch{since}, run, false};
}

} // namespace cicada
