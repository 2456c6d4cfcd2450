#include "agents_session.hpp"

namespace cicada
{

agents_session::agents_session(loop& run)
    : run(run), client(std::make_unique<agent_client>())
{
}

void agents_session::carry_out(send_agent const& effect)
{
    std::string const agent = effect.agent;
    agent_order const order = effect.order;
    this->client->send(
        agent_call{agent, effect.where, order, effect.time_limit},
        [this, agent, order](result<agent_answer> const& answer)
        {
            this->run.post(
                [this, agent, order, answer]
                {
                    this->run.feed(agent_order_ended{agent, order, answer});
                });
        });
}

void agents_session::stop()
{
    this->client->stop();
}

} // namespace cicada
