#include "intents.hpp"

namespace cicada
{
namespace
{

constexpr milliseconds query_time_limit{1'500};
constexpr milliseconds intent_write_time_limit{1'000};
constexpr char query_prefix[] = "request/";

intent make_intent(request_state const& r)
{
    intent value;
    value.tenant = r.head.tenant;
    value.key = r.head.key;
    value.workload = r.head.workload;
    value.body_digest = r.head.body_digest;
    value.attempt = r.grant->attempt;
    value.endpoint = r.grant->where;
    value.since = r.grant->since;
    return value;
}

/** Writes the current grant's intent; its time limit bounds the slot's use. */
void start_write(state& s, request_state& r, effects& out)
{
    r.phase = request_phase::writing_intent;
    r.intent_write_repeated = false;
    r.stored = make_intent(r);
    schedule(s,
             timer_kind::intent_late,
             intent_write_time_limit,
             r.grant->attempt.value);
    write_intent_again(r, out);
}

void rewrite(request_state const& r,
             intent value,
             intent_state to,
             effects& out)
{
    value.state = to;
    write_intent write;
    write.request = r.head.request;
    write.replaces = value.attempt;
    write.value = std::move(value);
    out.push_back(std::move(write));
}

} // namespace

void create_intent(state& s, request_state& r, effects& out)
{
    if (r.stored)
    {
        r.earlier = r.stored;
        replace_intent(s, r, out);
        return;
    }
    start_write(s, r, out);
}

void write_intent_again(request_state const& r, effects& out)
{
    write_intent write;
    write.request = r.head.request;
    write.value = *r.stored;
    if (r.earlier)
    {
        write.replaces = r.earlier->attempt;
    }
    out.push_back(std::move(write));
}

void replace_intent(state& s, request_state& r, effects& out)
{
    start_write(s, r, out);
}

void query_earlier_attempt(state&,
                           request_state const& r,
                           epoch since,
                           effects& out)
{
    send_agent ask;
    ask.agent = query_prefix + r.head.request.value;
    ask.where = r.earlier->endpoint;
    ask.order = cancel_order{since, r.earlier->attempt.value, false};
    ask.time_limit = query_time_limit;
    out.push_back(std::move(ask));
}

request_id request_of_query(agent_order_ended const& e)
{
    return request_id{e.agent.substr(std::size(query_prefix) - 1)};
}

bool is_earlier_query(agent_order_ended const& e)
{
    return e.agent.starts_with(query_prefix);
}

void store_ran(state&, request_state const& r, int status, effects& out)
{
    if (!r.stored)
    {
        return;
    }
    intent value = *r.stored;
    value.status = status;
    rewrite(r, std::move(value), intent_state::ran, out);
}

void store_not_run(state&, request_state const& r, effects& out)
{
    if (r.stored)
    {
        rewrite(r, *r.stored, intent_state::not_run, out);
    }
}

void store_earlier_ran(state&, request_state const& r, effects& out)
{
    rewrite(r, *r.earlier, intent_state::ran, out);
}

} // namespace cicada
