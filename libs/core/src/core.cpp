#include "core/core.hpp"

#include "agents_sync.hpp"
#include "entry.hpp"
#include "intents.hpp"
#include "jobs.hpp"
#include "owner_slots.hpp"
#include "ownership.hpp"
#include "peers.hpp"
#include "state.hpp"

namespace cicada
{
namespace
{

/** Dispatches peer messages to their handlers. */
struct peer_message_visitor
{
    state& s;
    daemon_id const& from;
    effects& out;

    void operator()(heartbeat const& m) const
    {
        on_heartbeat(this->s, this->from, m, this->out);
    }
    void operator()(slot_request const& m) const
    {
        on_slot_request(this->s, this->from, m, this->out);
    }
    void operator()(slot_grant const& m) const
    {
        on_slot_grant(this->s, this->from, m, this->out);
    }
    void operator()(slot_refusal const& m) const
    {
        on_slot_refusal(this->s, this->from, m, this->out);
    }
    void operator()(slot_cancel const& m) const
    {
        on_slot_cancel(this->s, this->from, m, this->out);
    }
    void operator()(slot_return const& m) const
    {
        on_slot_return(this->s, this->from, m, this->out);
    }
    void operator()(attempt_settled const& m) const
    {
        on_attempt_settled(this->s, m, this->out);
    }
    void operator()(note_offer const& m) const
    {
        result<cell_config> const config = decode_config(m.text);
        if (config.has_value())
        {
            update_config(this->s, config.assume_value(), this->out);
        }
    }
    void operator()(table_offer const& m) const
    {
        update_table(this->s, m.table, this->out);
    }
    void operator()(job_offer const& m) const
    {
        on_job_offer(this->s, m, this->out);
    }
    void operator()(job_cancel const& m) const
    {
        on_job_cancel(this->s, m, this->out);
    }
};

void run_timer(state& s, timer const& due, effects& out)
{
    switch (due.kind)
    {
    case timer_kind::heartbeat:
        send_heartbeats(s, out);
        return;
    case timer_kind::propose_table:
        propose_due_table(s, out);
        return;
    case timer_kind::sync_agent:
        sync_agent_now(s, due.subject, out);
        return;
    case timer_kind::agent_silent:
        check_agent_silence(s, due.subject, out);
        return;
    case timer_kind::request_deadline:
        on_request_deadline(s, request_id{due.subject}, out);
        return;
    case timer_kind::request_retry:
        on_request_retry(s, request_id{due.subject}, out);
        return;
    case timer_kind::settle_request:
        on_settle_request(s, request_id{due.subject}, out);
        return;
    case timer_kind::intent_late:
        on_intent_late(s, attempt_id{due.subject}, out);
        return;
    case timer_kind::settle_attempt:
        query_attempt(s, attempt_id{due.subject}, out);
        return;
    case timer_kind::reload_jobs:
        reload_shard_jobs(s, due.subject, out);
        return;
    case timer_kind::retry_task:
        retry_task(s, task_id{due.subject}, out);
        return;
    case timer_kind::write_job:
        write_job_again(s, job_id{due.subject}, out);
        return;
    }
}

void run_due_timers(state& s, effects& out)
{
    while (!s.timers.empty() && s.timers.begin()->at <= s.now)
    {
        timer const due = *s.timers.begin();
        s.timers.erase(s.timers.begin());
        run_timer(s, due, out);
    }
}

void on_agent_order_ended(state& s, agent_order_ended const& e, effects& out)
{
    if (std::holds_alternative<sync_order>(e.order))
    {
        on_sync_answer(s, e, out);
        return;
    }
    if (is_earlier_query(e))
    {
        on_earlier_answer(s, e, out);
        return;
    }
    bool const attempt =
        std::holds_alternative<cancel_order>(e.order) &&
        s.grants.count(attempt_id{std::get<cancel_order>(e.order).run}) > 0;
    attempt ? on_attempt_answer(s, e, out) : on_task_answer(s, e, out);
}

/** Dispatches events to their handlers. */
struct event_visitor
{
    state& s;
    effects& out;

    void operator()(tick const&) const {}
    void operator()(request_arrived const& e) const
    {
        on_request_arrived(this->s, e, this->out);
    }
    void operator()(caller_gone const& e) const
    {
        on_caller_gone(this->s, e, this->out);
    }
    void operator()(attempt_ended const& e) const
    {
        on_attempt_ended(this->s, e, this->out);
    }
    void operator()(peer_message_received const& e) const
    {
        std::visit(peer_message_visitor{this->s, e.from, this->out}, e.message);
    }
    void operator()(peer_up const& e) const
    {
        on_peer_up(this->s, e, this->out);
    }
    void operator()(peer_down const& e) const
    {
        on_peer_down(this->s, e, this->out);
    }
    void operator()(agent_order_ended const& e) const
    {
        on_agent_order_ended(this->s, e, this->out);
    }
    void operator()(instances_listed const& e) const
    {
        on_instances_listed(this->s, e, this->out);
    }
    void operator()(members_seen const& e) const
    {
        on_members_seen(this->s, e, this->out);
    }
    void operator()(table_seen const& e) const
    {
        this->s.table_loaded = true;
        update_table(this->s, e.table, this->out);
        review_table(this->s, this->out);
    }
    void operator()(config_seen const& e) const
    {
        update_config(this->s, e.config, this->out);
    }
    void operator()(own_lease_seen const& e) const
    {
        on_own_lease_seen(this->s, e, this->out);
    }
    void operator()(intent_written const& e) const
    {
        on_intent_written(this->s, e, this->out);
    }
    void operator()(job_written const& e) const
    {
        on_job_written(this->s, e, this->out);
    }
    void operator()(jobs_loaded const& e) const
    {
        on_jobs_loaded(this->s, e, this->out);
    }
    void operator()(table_proposed const& e) const
    {
        on_table_proposed(this->s, e, this->out);
    }
    void operator()(job_submitted const& e) const
    {
        on_job_submitted(this->s, e, this->out);
    }
    void operator()(job_cancel_asked const& e) const
    {
        on_job_cancel_asked(this->s, e, this->out);
    }
    void operator()(shutdown_asked const&) const
    {
        on_shutdown_asked(this->s, this->out);
    }
};

/** Handles the messages that this daemon sent to itself in this step. */
void run_own_messages(state& s, effects& out)
{
    while (!s.to_self.empty())
    {
        peer_message const message = std::move(s.to_self.front());
        s.to_self.pop_front();
        std::visit(peer_message_visitor{s, s.settings.self.name, out}, message);
    }
}

} // namespace

char const* to_string(request_outcome outcome)
{
    switch (outcome)
    {
    case request_outcome::not_run:
        return "not_run";
    case request_outcome::ran:
        return "ran";
    case request_outcome::unknown:
        return "unknown";
    }
    return "invalid";
}

void state_deleter::operator()(state* owned) const
{
    delete owned;
}

state_ptr make_state(daemon_settings const& settings)
{
    state_ptr made(new state);
    made->settings = settings;
    made->incarnation_text = std::to_string(settings.incarnation);
    schedule(*made, timer_kind::heartbeat, milliseconds{0});
    return made;
}

std::vector<effect> step(state& current, event const& happened)
{
    effects out;
    current.now = std::max(current.now, happened.at);
    run_due_timers(current, out);
    std::visit(event_visitor{current, out}, happened.body);
    run_own_messages(current, out);
    check_shutdown(current, out);
    return out;
}

cell_config const& config_of(state const& current)
{
    return current.config;
}

} // namespace cicada
