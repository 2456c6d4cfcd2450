#include "fake_agent.hpp"

namespace cicada::failure_testing
{
namespace
{

std::string job_and_index(std::string const& task)
{
    return task.substr(0, task.rfind('/'));
}

bool is_worker(fake_agent const& agent)
{
    return agent.info.kind == instance_kind::worker;
}

resources used(fake_agent const& agent)
{
    resources sum;
    for (auto const& [id, run] : agent.runs)
    {
        if (run.state == run_state::running)
        {
            sum = sum + run.size;
        }
    }
    return sum;
}

int running_count(fake_agent const& agent)
{
    int count = 0;
    for (auto const& [id, run] : agent.runs)
    {
        count += run.state == run_state::running ? 1 : 0;
    }
    return count;
}

agent_report report_of(fake_agent const& agent)
{
    agent_report report;
    report.since = agent.since;
    report.version = agent.version;
    report.draining = agent.info.leaving;
    report.capacity = agent.info.capacity;
    report.slots = agent.info.slots;
    for (auto const& [id, run] : agent.runs)
    {
        report.runs.push_back({id, run.state, run.size, run.size});
    }
    return report;
}

agent_answer
start_task(fake_agent& agent, start_order const& order, instant now, history& h)
{
    std::string const& id = order.task.value;
    auto const known = agent.runs.find(id);
    if (known != agent.runs.end())
    {
        return run_answer{known->second.state};
    }
    if (agent.tombstones.count(id) > 0)
    {
        return agent_refusal{agent.since, "tombstone"};
    }
    if (!fits(used(agent) + order.size, agent.info.capacity))
    {
        report_violation(h, agent.info.name + " was given more than it has");
        return agent_refusal{agent.since, "no_capacity"};
    }
    agent.runs[id] = fake_run{run_state::running,
                              now + order.run_time,
                              now + order.lease,
                              order.size,
                              {}};
    task_history& task = h.tasks[job_and_index(id)];
    task.running += 1;
    if (task.running > 1)
    {
        report_violation(h, id + " runs in two places");
    }
    return run_answer{run_state::running};
}

agent_answer
cancel_run(fake_agent& agent, cancel_order const& order, history& h)
{
    auto const known = agent.runs.find(order.run);
    if (known == agent.runs.end())
    {
        agent.tombstones.insert(order.run);
        return run_answer{run_state::never_started};
    }
    bool const stops =
        is_worker(agent) && known->second.state == run_state::running;
    if (stops)
    {
        known->second.state = run_state::failed;
        h.tasks[job_and_index(order.run)].running -= 1;
    }
    return run_answer{known->second.state};
}

void renew(fake_agent& agent, instant now, milliseconds lease)
{
    for (auto& [id, run] : agent.runs)
    {
        if (run.state == run_state::running && is_worker(agent))
        {
            run.lease_end = now + lease;
        }
    }
}

} // namespace

void end_due_runs(fake_agent& agent, instant now, history& h)
{
    for (auto& [id, run] : agent.runs)
    {
        bool const lapsed = run.lease_end <= now;
        if (run.state != run_state::running || (run.ends > now && !lapsed))
        {
            continue;
        }
        bool const finished = run.ends <= run.lease_end;
        run.state = finished ? run_state::finished : run_state::failed;
        agent.version += 1;
        if (is_worker(agent))
        {
            task_history& task = h.tasks[job_and_index(id)];
            task.running -= 1;
            task.finished += finished ? 1 : 0;
        }
    }
}

agent_answer handle_order(fake_agent& agent,
                          agent_order const& order,
                          instant now,
                          history& h)
{
    epoch const since = std::visit(
        [](auto const& each)
        {
            return each.since;
        },
        order);
    if (since < agent.since)
    {
        return agent_refusal{agent.since, "stale_epoch"};
    }
    agent.since = since;
    if (std::holds_alternative<start_order>(order))
    {
        return start_task(agent, std::get<start_order>(order), now, h);
    }
    if (std::holds_alternative<cancel_order>(order))
    {
        return cancel_run(agent, std::get<cancel_order>(order), h);
    }
    if (std::get<sync_order>(order).renew)
    {
        renew(agent, now, daemon_settings{}.task_lease);
    }
    return report_of(agent);
}

bool start_attempt_at(fake_agent& agent,
                      attempt_arrival const& arrival,
                      instant now,
                      history& h)
{
    std::string const& id = arrival.grant.attempt.value;
    bool const refused = arrival.grant.since < agent.since ||
                         agent.info.leaving || agent.tombstones.count(id) > 0 ||
                         agent.runs.count(id) > 0;
    if (refused)
    {
        return false;
    }
    if (running_count(agent) >= agent.info.slots)
    {
        report_violation(
            h, agent.info.name + " was given more attempts than slots");
    }
    fake_run run;
    run.ends = now + arrival.service;
    run.request = arrival.grant.request;
    agent.runs[id] = run;
    h.tries[arrival.grant.request].starts += 1;
    h.keys[arrival.key].starts += 1;
    return true;
}

} // namespace cicada::failure_testing
