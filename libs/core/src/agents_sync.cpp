#include "agents_sync.hpp"

#include "event_numbers/event_numbers.hpp"
#include "jobs.hpp"
#include "owner_slots.hpp"

#include <algorithm>

namespace cicada
{
namespace
{

constexpr milliseconds initial_sync_retry_delay{200};
constexpr milliseconds max_sync_retry_delay{2'000};
constexpr milliseconds sync_time_margin{1'000};

bool is_endpoint(agent_state const& agent)
{
    return agent.info.kind == instance_kind::endpoint;
}

milliseconds sync_retry_delay(agent_state const& agent)
{
    int const doublings = std::min(agent.failed_syncs, 5);
    milliseconds const delay = initial_sync_retry_delay * (1 << doublings);
    return std::min(delay, max_sync_retry_delay);
}

void add_agent(state& s, instance const& info, epoch since, effects& out)
{
    agent_state agent;
    agent.info = info;
    agent.since = since;
    agent.last_answer = s.now;
    agent.last_renewal = s.now;
    s.agents[info.name] = agent;
    if (info.kind == instance_kind::endpoint)
    {
        s.pools[info.pool].endpoints.insert(info.name);
    }
    sync_agent_now(s, info.name, out);
}

void erase_grants_of(state& s, agent_state const& agent)
{
    for (attempt_id const& attempt : agent.attempts)
    {
        s.grants.erase(attempt);
    }
}

void remove_agent(state& s, std::string const& name)
{
    agent_state& agent = s.agents.at(name);
    set_phase(s, agent, agent_phase::silent);
    erase_grants_of(s, agent);
    if (is_endpoint(agent))
    {
        s.pools[agent.info.pool].endpoints.erase(name);
    }
    s.agents.erase(name);
}

/** True if an attempt or a task may still run on the agent. */
bool is_busy(agent_state const& agent)
{
    return !agent.attempts.empty() || !agent.tasks.empty();
}

void update_listed_agent(state& s, instance const& info, effects& out)
{
    auto const shard = s.owned.find(info.shard);
    if (shard == s.owned.end())
    {
        return;
    }
    auto const found = s.agents.find(info.name);
    if (found == s.agents.end())
    {
        add_agent(s, info, shard->second, out);
        return;
    }
    agent_state& agent = found->second;
    bool const left = info.leaving && !agent.info.leaving;
    agent.info.leaving = info.leaving;
    if (left)
    {
        set_draining(s, info.name, out);
    }
}

void drop_unlisted_agents(state& s, effects& out)
{
    std::vector<std::string> gone;
    for (auto const& [name, agent] : s.agents)
    {
        bool const listed = s.instances.count(name) > 0;
        if (!listed && agent.phase == agent_phase::silent && !is_busy(agent))
        {
            gone.push_back(name);
        }
    }
    for (std::string const& name : gone)
    {
        remove_agent(s, name);
        out.push_back(
            log_event{events::agent_out_of_rotation, name + " unlisted"});
    }
}

void record_foreign_attempt(state& s, agent_state& agent, run_report const& run)
{
    attempt_id const id{run.run};
    if (s.grants.count(id) > 0)
    {
        return;
    }
    grant_state grant;
    grant.attempt = id;
    grant.endpoint = agent.info.name;
    grant.pool = agent.info.pool;
    grant.granted_at = s.now;
    grant.phase = grant_phase::foreign;
    s.grants[id] = grant;
    agent.attempts.insert(id);
    if (agent.phase == agent_phase::in_rotation)
    {
        s.pools[agent.info.pool].taken += 1;
    }
}

/** Releases the foreign attempts that the endpoint no longer runs. */
void release_ended_foreign(state& s,
                           agent_state const& agent,
                           std::set<attempt_id> const& running,
                           effects& out)
{
    std::vector<attempt_id> ended;
    for (attempt_id const& id : agent.attempts)
    {
        bool const foreign = s.grants.at(id).phase == grant_phase::foreign;
        if (foreign && running.count(id) == 0)
        {
            ended.push_back(id);
        }
    }
    for (attempt_id const& id : ended)
    {
        release_grant(s, id, out);
    }
}

void handle_endpoint_report(state& s,
                            agent_state& agent,
                            agent_report const& report,
                            effects& out)
{
    std::set<attempt_id> running;
    for (run_report const& run : report.runs)
    {
        if (run.state == run_state::running)
        {
            running.insert(attempt_id{run.run});
            record_foreign_attempt(s, agent, run);
        }
    }
    release_ended_foreign(s, agent, running, out);
}

void handle_report(state& s,
                   agent_state& agent,
                   agent_report const& report,
                   std::uint64_t requested_version,
                   effects& out)
{
    bool const is_full = requested_version == 0;
    bool const restarted = report.version < requested_version;
    bool const was_silent = agent.phase == agent_phase::silent;
    agent.report_version = report.version;
    agent.failed_syncs = 0;
    agent.last_answer = s.now;
    if (report.slots > 0 && agent.phase != agent_phase::in_rotation)
    {
        agent.info.slots = report.slots;
    }
    bool const leaving = report.draining || agent.info.leaving;
    set_phase(
        s, agent, leaving ? agent_phase::draining : agent_phase::in_rotation);
    if (was_silent)
    {
        out.push_back(
            log_event{events::agent_back_in_rotation, agent.info.name});
    }
    if (is_endpoint(agent))
    {
        handle_endpoint_report(s, agent, report, out);
        serve_pool(s, agent.info.pool, out);
        return;
    }
    if (restarted)
    {
        recheck_running_tasks(s, agent);
    }
    handle_worker_report(s, agent, report, is_full, out);
}

void handle_refusal(state& s,
                    agent_state& agent,
                    agent_refusal const& refusal,
                    effects& out)
{
    out.push_back(log_event{events::stale_epoch_rejected,
                            agent.info.name + " is at epoch " +
                                std::to_string(refusal.since.value)});
    set_phase(s, agent, agent_phase::silent);
    agent.failed_syncs += 1;
    schedule(
        s, timer_kind::sync_agent, sync_retry_delay(agent), agent.info.name);
}

} // namespace

void set_phase(state& s, agent_state& agent, agent_phase phase)
{
    if (is_endpoint(agent) && agent.phase != phase)
    {
        pool_state& served = s.pools[agent.info.pool];
        int const taken = static_cast<int>(agent.attempts.size());
        if (agent.phase == agent_phase::in_rotation)
        {
            served.slots -= agent.info.slots;
            served.taken -= taken;
        }
        if (phase == agent_phase::in_rotation)
        {
            served.slots += agent.info.slots;
            served.taken += taken;
        }
    }
    agent.phase = phase;
}

void adopt_shard_agents(state& s, shard_id const& shard, effects& out)
{
    epoch const since = s.owned.at(shard);
    for (auto const& [name, info] : s.instances)
    {
        if (info.shard == shard)
        {
            add_agent(s, info, since, out);
        }
    }
}

void forget_shard_agents(state& s, shard_id const& shard)
{
    std::vector<std::string> names;
    for (auto const& [name, agent] : s.agents)
    {
        if (agent.info.shard == shard)
        {
            names.push_back(name);
        }
    }
    for (std::string const& name : names)
    {
        remove_agent(s, name);
    }
}

void update_agents(state& s, effects& out)
{
    std::map<std::string, instance> const listed = s.instances;
    for (auto const& [name, info] : listed)
    {
        update_listed_agent(s, info, out);
    }
    drop_unlisted_agents(s, out);
}

void sync_agent_now(state& s, std::string const& name, effects& out)
{
    auto const found = s.agents.find(name);
    if (found == s.agents.end() || found->second.sync_under_way)
    {
        return;
    }
    agent_state& agent = found->second;
    bool const first = agent.phase == agent_phase::announcing;
    milliseconds const wait = first ? milliseconds{0} : s.settings.sync_wait;
    bool const renew = agent.phase != agent_phase::silent;
    agent.sync_under_way = true;
    if (renew)
    {
        agent.last_renewal = s.now;
    }
    std::uint64_t const seen = agent.full_report_due ? 0 : agent.report_version;
    agent.full_report_due = false;
    sync_order const order{
        s.settings.self.name, agent.since, seen, wait, renew};
    out.push_back(
        send_agent{name, agent.info.where, order, wait + sync_time_margin});
}

void check_agent_silence(state& s, std::string const& name, effects& out)
{
    auto const found = s.agents.find(name);
    if (found == s.agents.end())
    {
        return;
    }
    agent_state& agent = found->second;
    bool const timed_out =
        s.now - agent.last_answer >= s.settings.agent_timeout;
    if (!timed_out || agent.phase == agent_phase::silent)
    {
        return;
    }
    set_phase(s, agent, agent_phase::silent);
    out.push_back(log_event{events::agent_out_of_rotation, name + " silent"});
    on_worker_silent(s, agent, out);
}

void on_sync_answer(state& s, agent_order_ended const& e, effects& out)
{
    auto const found = s.agents.find(e.agent);
    if (found == s.agents.end())
    {
        return;
    }
    agent_state& agent = found->second;
    sync_order const& order = std::get<sync_order>(e.order);
    if (order.since != agent.since)
    {
        return;
    }
    agent.sync_under_way = false;
    if (!e.answer.has_value())
    {
        agent.failed_syncs += 1;
        schedule(s, timer_kind::sync_agent, sync_retry_delay(agent), e.agent);
        check_agent_silence(s, e.agent, out);
        return;
    }
    agent_answer const& answer = e.answer.assume_value();
    if (std::holds_alternative<agent_refusal>(answer))
    {
        handle_refusal(s, agent, std::get<agent_refusal>(answer), out);
        return;
    }
    if (std::holds_alternative<agent_report>(answer))
    {
        handle_report(
            s, agent, std::get<agent_report>(answer), order.seen, out);
    }
    sync_agent_now(s, e.agent, out);
}

void set_draining(state& s, std::string const& name, effects& out)
{
    auto const found = s.agents.find(name);
    if (found == s.agents.end() ||
        found->second.phase != agent_phase::in_rotation)
    {
        return;
    }
    set_phase(s, found->second, agent_phase::draining);
    out.push_back(log_event{events::agent_out_of_rotation, name + " drains"});
}

} // namespace cicada
