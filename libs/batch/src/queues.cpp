#include "state.hpp"

#include "event_numbers/event_numbers.hpp"

namespace cicada::batch
{

namespace
{

/** Returns the terms of the job's queue that apply now, or null if those that
 * applied last still do: the queue was removed, or the job was accepted by a
 * newer configuration than this placer has. */
queue_terms const* terms_in_force(scheduler const& s, job const& accepted)
{
    auto const found = s.queues.find(accepted.queue.name);
    return found == s.queues.end() || accepted.config_version > s.config_version
               ? nullptr
               : &found->second;
}

} // namespace

bool apply_queue_terms(scheduler& s, job_record& j)
{
    queue_terms const* const terms = terms_in_force(s, j.accepted);
    if (terms == nullptr || *terms == j.terms)
    {
        return false;
    }
    bool const tickets_hold =
        terms->service == j.terms.service && terms->advice && j.terms.advice;
    j.terms = *terms;
    if (!tickets_hold)
    {
        for (step_record& step : j.steps)
        {
            step.advice.clear();
            step.tickets_until = {};
        }
    }
    return true;
}

void handle_queues(scheduler& s, queues_changed const& given)
{
    if (given.version < s.config_version)
    {
        return;
    }
    s.config_version = given.version;
    s.queues.clear();
    for (queue_rule const& each : given.queues)
    {
        s.queues[each.name] = {each.service, each.advice};
    }
    std::map<std::string, int> changed; // jobs, by queue
    for (std::string const& id : s.active_jobs)
    {
        job_record& j = s.jobs.at(id);
        if (apply_queue_terms(s, j))
        {
            changed[j.accepted.queue.name] += 1;
        }
    }
    for (auto const& each : changed)
    {
        queue_terms const& terms = s.queues.at(each.first);
        log(s,
            events::queue_changed,
            "queue=" + each.first + " config=" + std::to_string(given.version) +
                " service=" + terms.service +
                " advice=" + (terms.advice ? "yes" : "no") +
                " open_jobs=" + std::to_string(each.second));
    }
    s.placement_due = true;
}

} // namespace cicada::batch
