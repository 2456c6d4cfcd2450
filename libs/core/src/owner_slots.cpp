#include "owner_slots.hpp"

#include "agents_sync.hpp"
#include "event_numbers/event_numbers.hpp"

#include <algorithm>

namespace cicada
{
namespace
{

constexpr milliseconds settle_retry_delay{500};
constexpr milliseconds order_time_limit{1'500};
constexpr milliseconds min_retry_after{1'000};
constexpr milliseconds max_retry_after{30'000};

void refuse(state& s,
            queued_request const& waiting,
            std::string reason,
            milliseconds retry_after,
            effects& out)
{
    slot_refusal refusal;
    refusal.request = waiting.ask.request;
    refusal.reason = std::move(reason);
    refusal.retry_after = retry_after;
    send_to(s, waiting.entry, refusal, out);
}

/** The endpoint in rotation with the most free slots; none if all are full. */
agent_state* best_endpoint(state& s, pool_state const& served)
{
    agent_state* best = nullptr;
    int best_free = 0;
    for (std::string const& name : served.endpoints)
    {
        agent_state& agent = s.agents.at(name);
        if (agent.phase != agent_phase::in_rotation)
        {
            continue;
        }
        int const taken = static_cast<int>(agent.attempts.size());
        int const free = agent.info.slots - taken;
        if (free > best_free)
        {
            best = &agent;
            best_free = free;
        }
    }
    return best;
}

void grant_slot(state& s,
                queued_request const& waiting,
                agent_state& agent,
                effects& out)
{
    grant_state grant;
    grant.attempt = attempt_id{next_unique(s)};
    grant.request = waiting.ask.request;
    grant.entry = waiting.entry;
    grant.endpoint = agent.info.name;
    grant.pool = waiting.ask.pool;
    grant.workload = waiting.ask.workload;
    grant.tenant = waiting.ask.tenant;
    grant.urgency = waiting.ask.urgency;
    grant.granted_at = s.now;
    agent.attempts.insert(grant.attempt);
    s.pools[grant.pool].taken += 1;

    slot_grant message;
    message.request = grant.request;
    message.attempt = grant.attempt;
    message.endpoint = endpoint_id{agent.info.name};
    message.where = agent.info.where;
    message.shard = agent.info.shard;
    message.since = agent.since;
    message.start_within = s.settings.grant_start_within;
    s.grants[grant.attempt] = std::move(grant);
    send_to(s, waiting.entry, message, out);
}

void start_settling(state& s, grant_state& grant, effects& out)
{
    grant.phase = grant_phase::settling;
    query_attempt(s, grant.attempt, out);
}

/** Settles an attempt that an earlier owner granted. */
void settle_unknown_grant(state& s,
                          daemon_id const& entry,
                          slot_return const& back,
                          effects& out)
{
    auto const agent = s.agents.find(back.endpoint.value);
    if (agent == s.agents.end())
    {
        return;
    }
    grant_state grant;
    grant.attempt = back.attempt;
    grant.entry = entry;
    grant.endpoint = back.endpoint.value;
    grant.pool = agent->second.info.pool;
    grant.granted_at = s.now;
    agent->second.attempts.insert(back.attempt);
    if (agent->second.phase == agent_phase::in_rotation)
    {
        s.pools[grant.pool].taken += 1;
    }
    grant_state& kept = s.grants[back.attempt] = std::move(grant);
    start_settling(s, kept, out);
}

/** The pool's queue; created on first use. */
fair_queue& queue_of(state& s, pool_id const& pool)
{
    pool_state& served = s.pools[pool];
    if (!served.queue)
    {
        served.queue = make_fair_queue(queue_settings{});
        set_limits(*served.queue, s.config.tenants);
    }
    resize_pool(*served.queue, served.slots);
    return *served.queue;
}

void report_settled(state& s, attempt_id const& attempt, bool ran, effects& out)
{
    grant_state const grant = s.grants.at(attempt);
    if (!grant.entry.empty())
    {
        send_to(s, grant.entry, attempt_settled{attempt, ran}, out);
    }
    release_grant(s, attempt, out);
}

/** Expected wait of a new normal-class request of an unknown tenant. */
milliseconds pool_wait(pool_state const& served)
{
    if (!served.queue || served.taken < served.slots)
    {
        return milliseconds{0};
    }
    return expected_wait(
        *served.queue, work_class::normal, tenant_id{}, workload_id{});
}

/** Removes a request that has left its queue. */
std::optional<queued_request> remove_queued(state& s, request_id const& request)
{
    auto const found = s.queued.find(request);
    if (found == s.queued.end())
    {
        return std::nullopt;
    }
    queued_request const waiting = found->second;
    s.queued.erase(found);
    return waiting;
}

void refuse_expired(state& s, fair_queue& queue, effects& out)
{
    for (queue_entry const& entry : expire(queue, s.now))
    {
        std::optional<queued_request> const waiting =
            remove_queued(s, entry.request);
        if (waiting)
        {
            refuse(s, *waiting, "deadline", milliseconds{0}, out);
        }
    }
}

/** Notifies the entry of a request that was shed from a full queue. */
void refuse_shed(state& s, shed_entry const& shed, effects& out)
{
    std::optional<queued_request> const waiting =
        remove_queued(s, shed.entry.request);
    if (waiting)
    {
        milliseconds const after =
            std::clamp(shed.retry_after, min_retry_after, max_retry_after);
        refuse(s, *waiting, to_string(shed.reason), after, out);
    }
}

/** Removes the requests that match from their queues; returns them. */
template <class Condition>
std::vector<queued_request> drop_queued(state& s, Condition const& matches)
{
    std::vector<queued_request> dropped;
    for (auto const& [request, waiting] : s.queued)
    {
        if (matches(waiting))
        {
            dropped.push_back(waiting);
        }
    }
    for (queued_request const& waiting : dropped)
    {
        cancel(queue_of(s, waiting.ask.pool), waiting.ask.request);
        s.queued.erase(waiting.ask.request);
    }
    return dropped;
}

} // namespace

void on_slot_request(state& s,
                     daemon_id const& entry,
                     slot_request const& ask,
                     effects& out)
{
    queued_request const waiting{ask, entry, s.now, s.now + ask.remaining};
    auto const served = s.pools.find(ask.pool);
    if (served == s.pools.end() || served->second.slots == 0)
    {
        refuse(s, waiting, "not_owner", milliseconds{0}, out);
        return;
    }
    queue_entry const place{ask.request,
                            ask.tenant,
                            ask.urgency,
                            ask.workload,
                            s.now,
                            waiting.deadline};
    s.queued[ask.request] = waiting;
    push_outcome const pushed = push(queue_of(s, ask.pool), place, s.now);
    if (pushed.shed)
    {
        refuse_shed(s, *pushed.shed, out);
    }
    serve_pool(s, ask.pool, out);
}

void on_slot_cancel(state& s,
                    daemon_id const& entry,
                    slot_cancel const& gone,
                    effects&)
{
    auto const found = s.queued.find(gone.request);
    if (found != s.queued.end() && found->second.entry == entry)
    {
        cancel(queue_of(s, found->second.ask.pool), gone.request);
        s.queued.erase(found);
    }
}

void on_slot_return(state& s,
                    daemon_id const& entry,
                    slot_return const& back,
                    effects& out)
{
    if (back.result == attempt_result::draining)
    {
        set_draining(s, back.endpoint.value, out);
    }
    auto const found = s.grants.find(back.attempt);
    bool const unknown = back.result == attempt_result::unknown;
    if (found == s.grants.end())
    {
        if (unknown)
        {
            settle_unknown_grant(s, entry, back, out);
        }
        return;
    }
    grant_state& grant = found->second;
    if (unknown)
    {
        grant.entry = entry;
        start_settling(s, grant, out);
        return;
    }
    if (back.result == attempt_result::answered)
    {
        record_service(
            queue_of(s, grant.pool), grant.workload, s.now - grant.granted_at);
    }
    release_grant(s, back.attempt, out);
}

void serve_pool(state& s, pool_id const& pool, effects& out)
{
    auto const served = s.pools.find(pool);
    if (served == s.pools.end() || !served->second.queue)
    {
        return;
    }
    fair_queue& queue = queue_of(s, pool);
    refuse_expired(s, queue, out);
    while (served->second.taken < served->second.slots)
    {
        int const free = served->second.slots - served->second.taken;
        agent_state* const agent = best_endpoint(s, served->second);
        std::optional<queue_entry> const next =
            agent == nullptr ? std::nullopt : pop(queue, free, s.now);
        if (!next)
        {
            return;
        }
        std::optional<queued_request> const waiting =
            remove_queued(s, next->request);
        if (waiting)
        {
            grant_slot(s, *waiting, *agent, out);
        }
    }
}

void serve_queues(state& s, effects& out)
{
    std::vector<queued_request> const moved =
        drop_queued(s,
                    [&](queued_request const& each)
                    {
                        return s.pools[each.ask.pool].endpoints.empty();
                    });
    for (queued_request const& waiting : moved)
    {
        refuse(s, waiting, "not_owner", milliseconds{0}, out);
    }
    for (auto const& [pool, served] : s.pools)
    {
        serve_pool(s, pool, out);
    }
}

void update_queue_limits(state& s)
{
    for (auto const& [pool, served] : s.pools)
    {
        if (served.queue)
        {
            set_limits(*served.queue, s.config.tenants);
        }
    }
}

void release_grant(state& s, attempt_id const& attempt, effects& out)
{
    auto const found = s.grants.find(attempt);
    if (found == s.grants.end())
    {
        return;
    }
    pool_id const pool = found->second.pool;
    agent_state& agent = s.agents.at(found->second.endpoint);
    agent.attempts.erase(attempt);
    if (agent.phase == agent_phase::in_rotation)
    {
        s.pools[pool].taken -= 1;
    }
    s.grants.erase(found);
    serve_pool(s, pool, out);
}

void settle_entry(state& s, daemon_id const& entry, effects& out)
{
    drop_queued(s,
                [&](queued_request const& each)
                {
                    return each.entry == entry;
                });
    for (auto& [attempt, grant] : s.grants)
    {
        if (grant.entry == entry && grant.phase == grant_phase::granted)
        {
            start_settling(s, grant, out);
        }
    }
}

void query_attempt(state& s, attempt_id const& attempt, effects& out)
{
    auto const found = s.grants.find(attempt);
    if (found == s.grants.end() || found->second.query_under_way)
    {
        return;
    }
    grant_state& grant = found->second;
    agent_state const& agent = s.agents.at(grant.endpoint);
    grant.query_under_way = true;
    cancel_order const order{agent.since, attempt.value, false};
    out.push_back(
        send_agent{grant.endpoint, agent.info.where, order, order_time_limit});
}

void on_attempt_answer(state& s, agent_order_ended const& e, effects& out)
{
    cancel_order const& order = std::get<cancel_order>(e.order);
    attempt_id const attempt{order.run};
    auto const found = s.grants.find(attempt);
    if (found == s.grants.end())
    {
        return;
    }
    found->second.query_under_way = false;
    bool const known =
        e.answer.has_value() &&
        std::holds_alternative<run_answer>(e.answer.assume_value());
    run_state const now_at =
        known ? std::get<run_answer>(e.answer.assume_value()).state
              : run_state::running;
    switch (now_at)
    {
    case run_state::never_started:
        report_settled(s, attempt, false, out);
        return;
    case run_state::finished:
    case run_state::failed:
        report_settled(s, attempt, true, out);
        return;
    case run_state::running:
        schedule(
            s, timer_kind::settle_attempt, settle_retry_delay, attempt.value);
        return;
    }
}

std::vector<pool_advert> make_adverts(state const& s)
{
    std::vector<pool_advert> adverts;
    for (auto const& [name, served] : s.pools)
    {
        if (served.slots == 0)
        {
            continue;
        }
        pool_advert advert;
        advert.pool = name;
        advert.slots = served.slots;
        advert.free_slots = std::max(0, served.slots - served.taken);
        advert.queued = served.queue ? queued(*served.queue) : 0;
        advert.expected_wait = pool_wait(served);
        adverts.push_back(std::move(advert));
    }
    return adverts;
}

} // namespace cicada
