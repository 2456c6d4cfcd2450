#pragma once

#include "history.hpp"

/** A worker or endpoint that follows docs/CONTRACTS.md, in virtual time. */
namespace cicada::failure_testing
{

/** A task or attempt at an agent. */
struct fake_run
{
    run_state state = run_state::running;
    instant ends;
    instant lease_end = instant::max();
    resources size;
    request_id request; //!< endpoints only
};

/** State of a simulated worker or endpoint. */
struct fake_agent
{
    instance info;
    epoch since;
    bool reachable = true;
    std::uint64_t version = 1;
    std::map<std::string, fake_run> runs;
    std::set<std::string> tombstones;
};

/** An attempt as it arrives at an endpoint. */
struct attempt_arrival
{
    slot_grant grant;
    std::string key;
    milliseconds service{0};
};

/** Ends the runs that finish or lose their lease by `now`. */
void end_due_runs(fake_agent& agent, instant now, history& h);

/** Executes an order as the contract requires. */
agent_answer handle_order(fake_agent& agent,
                          agent_order const& order,
                          instant now,
                          history& h);

/** Starts an attempt; false if refused, so that it never runs. */
bool start_attempt_at(fake_agent& agent,
                      attempt_arrival const& arrival,
                      instant now,
                      history& h);

} // namespace cicada::failure_testing
