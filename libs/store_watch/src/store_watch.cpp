#include "store_watch/store_watch.hpp"

#include <algorithm>

namespace cicada::store_watch
{

namespace
{

struct handler
{
    watch_state& state;
    instant now;
    std::vector<effect>& out;

    void operator()(watch_started const& e) const
    {
        if (e.from)
        {
            this->state.revision = *e.from;
            this->state.has_items = true;
        }
        this->call();
    }

    void operator()(items_read const& e) const
    {
        if (is_awaited(this->state, e.call))
        {
            this->state.revision = e.at_revision;
            this->state.has_items = true;
            this->call();
        }
    }

    void operator()(changes_read const& e) const
    {
        if (!is_awaited(this->state, e.call))
        {
            return;
        }
        if (e.history_lost)
        {
            this->state.has_items = false;
            this->call();
            return;
        }
        this->state.revision = std::max(this->state.revision, e.at_revision);
        this->call_after(this->state.settings.pause);
    }

    void operator()(call_failed const& e) const
    {
        if (is_awaited(this->state, e.call))
        {
            this->state.retrying = true;
            this->call_after(this->state.settings.retry_delay);
        }
    }

    void operator()(store_recovered const& e) const
    {
        bool const waits_to_retry = this->state.due && this->state.retrying;
        bool const may_hang =
            this->state.call_in_flight && this->state.sent_at < e.sent_at;
        if (waits_to_retry || may_hang)
        {
            this->call();
        }
    }

    void operator()(timer_fired const&) const
    {
        if (this->state.due && this->now >= *this->state.due)
        {
            this->call();
        }
    }

private:
    void call_after(milliseconds delay) const
    {
        if (delay.count() == 0)
        {
            this->call();
            return;
        }
        this->state.call_in_flight = false;
        this->state.due = this->now + delay;
        this->out.emplace_back(set_timer{delay});
    }

    void call() const
    {
        this->state.due.reset();
        this->state.retrying = false;
        this->state.sent_at = this->now;
        this->state.call += 1;
        this->state.call_in_flight = true;
        if (!this->state.has_items)
        {
            this->out.emplace_back(read_items{this->state.call});
            return;
        }
        this->out.emplace_back(watch_items{this->state.call,
                                           this->state.revision,
                                           this->state.settings.wait,
                                           this->state.settings.timeout});
    }
};

} // namespace

watch_settings make_watch_settings(milliseconds catch_up_limit,
                                   milliseconds pause)
{
    milliseconds const limit = std::max(catch_up_limit, min_catch_up_limit);
    watch_settings out;
    out.wait = limit / 2;
    out.timeout = out.wait + limit / 4;
    out.pause = pause;
    out.retry_delay = limit / 20;
    return out;
}

watch_state make_watch(watch_settings const& settings)
{
    watch_state state;
    state.settings = settings;
    return state;
}

bool is_awaited(watch_state const& state, std::uint64_t call)
{
    return state.call_in_flight && state.call == call;
}

std::vector<effect> step(watch_state& state, event const& input)
{
    std::vector<effect> out;
    std::visit(handler{state, input.at, out}, input.body);
    return out;
}

} // namespace cicada::store_watch
