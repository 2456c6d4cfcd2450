#pragma once

#include "agents/agents.hpp"
#include "loop.hpp"

/** Orders to workers and endpoints, and the platform's list of them. */
namespace cicada
{

class agents_session
{
public:
    /** `run` outlives this object. */
    explicit agents_session(loop& run);

    void carry_out(send_agent const& effect);

    /** Drops all calls. */
    void stop();

private:
    loop& run;
    std::unique_ptr<agent_client> client;
};

} // namespace cicada
