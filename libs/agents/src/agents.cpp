#include "agents/agents.hpp"

#include "client_core.hpp"

namespace cicada
{

agent_client::agent_client(std::size_t max_in_flight)
    : implementation(std::make_shared<core>(max_in_flight))
{
}

agent_client::~agent_client()
{
    this->stop();
}

void agent_client::send(agent_call const& call, agent_handler handler)
{
    this->implementation->send(call, std::move(handler));
}

agent_counters agent_client::counters() const
{
    return this->implementation->counters();
}

void agent_client::stop()
{
    this->implementation->stop();
}

} // namespace cicada
