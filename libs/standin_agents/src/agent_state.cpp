#include "agent_state.hpp"

namespace cicada::standin
{

namespace
{

agent_refusal refuse(agent_state const& state, char const* reason)
{
    return agent_refusal{state.highest, reason};
}

/** Endpoints report what runs whenever asked, but wake nobody for it. */
void run_changed(agent_state& state, run_entry& run)
{
    if (state.info.kind == instance_kind::worker)
    {
        ++state.version;
        run.changed_at = state.version;
    }
}

void end_run(agent_state& state, run_entry& run, run_state how, instant now)
{
    run.state = how;
    run.receiving = false;
    run.ended_at = now;
    run_changed(state, run);
}

/** True if a report to one that has seen version `seen` lists the run. */
bool is_listed(agent_state const& state,
               run_entry const& run,
               std::uint64_t seen)
{
    if (run.state == run_state::running ||
        run.state == run_state::never_started)
    {
        return run.state == run_state::running;
    }
    bool const changes =
        state.info.kind == instance_kind::worker && run.changed_at > seen;
    return seen == 0 || changes;
}

/** Raises the epoch; a refusal if the order's is lower. */
std::optional<agent_refusal> check_epoch(agent_state& state, epoch since)
{
    if (since < state.highest)
    {
        ++state.counts.stale;
        return refuse(state, "stale_epoch");
    }
    state.highest = since;
    return std::nullopt;
}

resources taken(agent_state const& state)
{
    resources sum;
    for (std::map<std::string, run_entry>::value_type const& entry : state.runs)
    {
        if (entry.second.state == run_state::running)
        {
            sum = sum + entry.second.size;
        }
    }
    return sum;
}

int running(agent_state const& state)
{
    int count = 0;
    for (std::map<std::string, run_entry>::value_type const& entry : state.runs)
    {
        count += entry.second.state == run_state::running ? 1 : 0;
    }
    return count;
}

void add_tombstone(agent_state& state, std::string const& run, instant now)
{
    run_entry& entry = state.runs[run];
    entry = run_entry();
    end_run(state, entry, run_state::never_started, now);
    ++state.counts.tombstones;
}

agent_answer take_sync(agent_state& state, sync_order const& order, instant now)
{
    ++state.counts.syncs;
    for (std::map<std::string, run_entry>::value_type& entry : state.runs)
    {
        if (order.renew)
        {
            entry.second.lease_end = now + entry.second.lease;
        }
    }
    return report_of(state, order.seen);
}

agent_answer
take_start(agent_state& state, start_order const& order, instant now)
{
    std::map<std::string, run_entry>::const_iterator const known =
        state.runs.find(order.task.value);
    if (known != state.runs.end())
    {
        if (known->second.state == run_state::never_started)
        {
            ++state.counts.tombstoned;
            return refuse(state, "tombstone");
        }
        ++state.counts.repeated;
        return run_answer{known->second.state};
    }
    if (state.draining)
    {
        return refuse(state, "draining");
    }
    if (!fits(taken(state) + order.size, state.info.capacity))
    {
        ++state.counts.over_capacity;
        return refuse(state, "no_capacity");
    }
    run_entry& run = state.runs[order.task.value];
    run.size = order.size;
    run.lease = order.lease;
    run.has_lease = true;
    run.lease_end = now + order.lease;
    run.endless = order.run_time == milliseconds(0);
    run.done_at = now + order.run_time;
    ++state.counts.starts;
    run_changed(state, run);
    if (state.fail_all)
    {
        end_run(state, run, run_state::failed, now);
    }
    return run_answer{run.state};
}

agent_answer
take_cancel(agent_state& state, cancel_order const& order, instant now)
{
    std::map<std::string, run_entry>::iterator const found =
        state.runs.find(order.run);
    if (found == state.runs.end() || found->second.receiving)
    {
        add_tombstone(state, order.run, now);
        return run_answer{run_state::never_started};
    }
    run_entry& run = found->second;
    if (run.state == run_state::running && run.has_lease)
    {
        end_run(state, run, run_state::failed, now);
    }
    return run_answer{run.state};
}

} // namespace

void advance(agent_state& state, instant now)
{
    std::map<std::string, run_entry>::iterator at = state.runs.begin();
    while (at != state.runs.end())
    {
        run_entry& run = at->second;
        bool const runs = run.state == run_state::running;
        if (!runs && now - run.ended_at >= remembered_after_end)
        {
            at = state.runs.erase(at);
            continue;
        }
        if (runs && run.has_lease && !run.endless && now >= run.done_at)
        {
            end_run(state, run, run_state::finished, now);
        }
        else if (runs && run.has_lease && now >= run.lease_end)
        {
            ++state.counts.expired;
            end_run(state, run, run_state::failed, now);
        }
        ++at;
    }
}

agent_answer
take_order(agent_state& state, agent_order const& order, instant now)
{
    advance(state, now);
    epoch const since = std::visit(
        [](auto const& body)
        {
            return body.since;
        },
        order);
    std::optional<agent_refusal> const stale = check_epoch(state, since);
    if (stale.has_value())
    {
        return *stale;
    }
    if (std::holds_alternative<sync_order>(order))
    {
        return take_sync(state, std::get<sync_order>(order), now);
    }
    if (std::holds_alternative<start_order>(order))
    {
        return take_start(state, std::get<start_order>(order), now);
    }
    return take_cancel(state, std::get<cancel_order>(order), now);
}

std::optional<agent_refusal>
begin_attempt(agent_state& state, attempt_start const& start, instant now)
{
    advance(state, now);
    std::optional<agent_refusal> stale = check_epoch(state, start.since);
    if (stale.has_value())
    {
        return stale;
    }
    std::map<std::string, run_entry>::const_iterator const known =
        state.runs.find(start.attempt);
    if (known != state.runs.end())
    {
        bool const tombstone = known->second.state == run_state::never_started;
        ++(tombstone ? state.counts.tombstoned : state.counts.repeated);
        return refuse(state, tombstone ? "tombstone" : "duplicate");
    }
    if (state.draining)
    {
        return refuse(state, "draining");
    }
    if (running(state) >= state.info.slots)
    {
        ++state.counts.over_capacity;
        return refuse(state, "no_capacity");
    }
    run_entry& run = state.runs[start.attempt];
    run.receiving = true;
    return std::nullopt;
}

std::optional<agent_refusal>
run_attempt(agent_state& state, std::string const& attempt, instant)
{
    run_entry& run = state.runs[attempt];
    if (run.state != run_state::running)
    {
        ++state.counts.tombstoned;
        return refuse(state, "tombstone");
    }
    run.receiving = false;
    ++state.counts.starts;
    return std::nullopt;
}

void end_attempt(agent_state& state,
                 std::string const& attempt,
                 run_state how,
                 instant now)
{
    run_entry& run = state.runs[attempt];
    if (run.state == run_state::running)
    {
        end_run(state, run, how, now);
    }
}

agent_report report_of(agent_state const& state, std::uint64_t seen)
{
    agent_report report{state.highest,
                        state.version,
                        state.draining,
                        state.info.capacity,
                        state.info.slots,
                        {}};
    for (std::map<std::string, run_entry>::value_type const& entry : state.runs)
    {
        if (is_listed(state, entry.second, seen))
        {
            report.runs.push_back(run_report{entry.first,
                                             entry.second.state,
                                             entry.second.size,
                                             entry.second.size});
        }
    }
    return report;
}

} // namespace cicada::standin
