#include "core/core.hpp"
#include "state.hpp"

namespace cicada
{
namespace
{

void add_agents(state const& s, state_view& view)
{
    for (auto const& [name, agent] : s.agents)
    {
        bool const worker = agent.info.kind == instance_kind::worker;
        (worker ? view.workers : view.endpoints).push_back(agent.info);
    }
}

bool shard_is_ready(state const& s, shard_id const& shard)
{
    for (auto const& [name, agent] : s.agents)
    {
        if (agent.info.shard == shard && agent.phase == agent_phase::announcing)
        {
            return false;
        }
    }
    return true;
}

char const* phase_text(request_phase phase)
{
    switch (phase)
    {
    case request_phase::waiting_slot:
        return "waits for a slot at ";
    case request_phase::writing_intent:
        return "waits for its intent to be kept; slot given by ";
    case request_phase::querying_earlier:
        return "waits for an earlier attempt to be settled; slot given by ";
    case request_phase::running:
        return "runs; slot given by ";
    case request_phase::settling:
        return "was sent and got no whole answer; being settled by ";
    case request_phase::backoff:
        return "waits to be tried again; last asked ";
    }
    return "";
}

} // namespace

state_view view_of(state const& current)
{
    state_view view;
    view.note_number = current.config.note_number;
    view.table_version = current.table.version;
    for (auto const& [name, peer] : current.peers)
    {
        if (peer.listed)
        {
            view.peers.push_back(
                {peer.info, peer.last.note_number, peer.linked});
        }
    }
    for (auto const& [shard, since] : current.owned)
    {
        view.owned.push_back(shard);
        if (shard_is_ready(current, shard))
        {
            view.ready.push_back(shard);
        }
    }
    add_agents(current, view);
    view.requests_in_flight = static_cast<int>(current.requests.size());
    view.requests_queued = static_cast<int>(current.queued.size());
    view.slots_taken = static_cast<int>(current.grants.size());
    for (auto const& [name, job] : current.jobs)
    {
        view.jobs.push_back(job.record);
    }
    view.leaving = current.leaving;
    return view;
}

std::string explain(state const& current, std::string const& name)
{
    auto const request = current.requests.find(request_id{name});
    if (request != current.requests.end())
    {
        return "Request " + name + " " + phase_text(request->second.phase) +
               request->second.owner.value + ".";
    }
    auto const job = current.jobs.find(job_id{name});
    if (job == current.jobs.end())
    {
        return {};
    }
    std::string text = "Job " + name + " is " +
                       to_string(job->second.record.state) + " in " +
                       job->second.record.home.value;
    if (!job->second.wait_reason.empty())
    {
        text += ": " + job->second.wait_reason;
    }
    return text + ".";
}

} // namespace cicada
