#include "server.hpp"

namespace cicada::standin
{

namespace
{

void set_one(agent_host& agent, agent_fault fault, milliseconds length)
{
    switch (fault)
    {
    case agent_fault::none:
        agent.delay = milliseconds(0);
        agent.drop = false;
        agent.pause = false;
        agent.lose_answers = false;
        agent.state.fail_all = false;
        agent.state.version += agent.state.draining ? 1 : 0;
        agent.state.draining = false;
        break;
    case agent_fault::delay:
        agent.delay = length;
        break;
    case agent_fault::drop:
        agent.drop = true;
        break;
    case agent_fault::silent:
        agent.silent_below = agent.last_connection + 1;
        break;
    case agent_fault::fail_all:
        agent.state.fail_all = true;
        break;
    case agent_fault::pause:
        agent.pause = true;
        break;
    case agent_fault::drain:
        agent.state.draining = true;
        ++agent.state.version;
        break;
    case agent_fault::lose_answers:
        agent.lose_answers = true;
        break;
    }
    wake(agent);
}

void add(standin_agent_counts& sum, standin_agent_counts const& part)
{
    sum.starts += part.starts;
    sum.started_twice += part.started_twice;
    sum.repeated += part.repeated;
    sum.over_capacity += part.over_capacity;
    sum.stale += part.stale;
    sum.tombstones += part.tombstones;
    sum.tombstoned += part.tombstoned;
    sum.cut_off += part.cut_off;
    sum.expired += part.expired;
    sum.syncs += part.syncs;
}

} // namespace

instant now()
{
    return std::chrono::time_point_cast<milliseconds>(
        std::chrono::steady_clock::now());
}

void wake(agent_host& agent)
{
    if (agent.state.version == agent.shown_version)
    {
        return;
    }
    agent.shown_version = agent.state.version;
    for (boost::asio::steady_timer* const timer : agent.waiting)
    {
        timer->cancel();
    }
}

void set_fault(server_state& server,
               std::string const& agent,
               agent_fault fault,
               milliseconds length)
{
    for (agent_host& host : server.agents)
    {
        if (agent.empty() || agent == host.state.info.name)
        {
            set_one(host, fault, length);
        }
    }
}

standin_agent_counts count_all(server_state const& server)
{
    standin_agent_counts sum;
    for (agent_host const& host : server.agents)
    {
        add(sum, host.state.counts);
    }
    sum.started_twice += server.key_ran_twice;
    return sum;
}

} // namespace cicada::standin
