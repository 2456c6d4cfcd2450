#pragma once

#include "standin_agents/standin_agents.hpp"

/** What one stand-in agent knows, and how it changes; no I/O, no clock. */
namespace cicada::standin
{

constexpr milliseconds remembered_after_end = std::chrono::minutes(10);

/** A task or an attempt. */
struct run_entry
{
    run_state state = run_state::running;
    bool receiving = false; //!< an attempt whose body isn't whole yet
    resources size;
    milliseconds lease{0};        //!< tasks
    instant lease_end;            //!< tasks
    instant done_at;              //!< tasks: when they end by themselves
    instant ended_at;             //!< when not running
    std::uint64_t changed_at = 0; //!< version of its last change
    bool endless = false;         //!< tasks without a run time, attempts
    bool has_lease = false;       //!< tasks
};

/** One worker or endpoint. */
struct agent_state
{
    instance info;
    epoch highest;
    std::uint64_t version = 1; //!< grows with each change of a report
    bool draining = false;
    bool fail_all = false;
    std::map<std::string, run_entry> runs; //!< tombstones: never_started
    standin_agent_counts counts;
};

/** The head of a POST /run. */
struct attempt_start
{
    std::string attempt;
    epoch since;
};

/** Takes time in: ends tasks, forgets old runs. */
void advance(agent_state& state, instant now);

/** Takes an order; a sync's answer is the report as it is now. */
agent_answer
take_order(agent_state& state, agent_order const& order, instant now);

/** Begins to receive an attempt, or refuses it. */
std::optional<agent_refusal>
begin_attempt(agent_state& state, attempt_start const& start, instant now);

/** The body is whole: it runs; or it was cancelled meanwhile. */
std::optional<agent_refusal>
run_attempt(agent_state& state, std::string const& attempt, instant now);

/** The attempt is over; a body that wasn't whole leaves a tombstone. */
void end_attempt(agent_state& state,
                 std::string const& attempt,
                 run_state how,
                 instant now);

/** All that runs or ended lately. */
agent_report report_of(agent_state const& state, std::uint64_t seen);

} // namespace cicada::standin
