#include "state.hpp"

namespace cicada
{

caller::caller(net::io_context& context,
               tcp::socket accepted,
               std::size_t buffer_bytes)
    : connection(context, std::move(accepted), buffer_bytes)
{
}

caller_watch::caller_watch(net::io_context& context) : ended(context) {}

exchange::exchange(net::io_context& context) : changed(context), watch(context)
{
}

other_exchange::other_exchange(net::io_context& context) : changed(context) {}

gateway_state::gateway_state(net::io_context& context,
                             gateway_settings const& settings,
                             gateway_handlers handlers)
    : context(context), settings(settings), handlers(std::move(handlers)),
      acceptor(context)
{
}

held_share::held_share(gateway_ptr state, std::size_t bytes)
    : state(std::move(state)), bytes(bytes)
{
    std::size_t const limit = this->state->settings.limits.held_bytes;
    if (this->state->held_bytes + bytes > limit)
    {
        this->state = nullptr;
        return;
    }
    this->state->held_bytes += bytes;
}

held_share::~held_share()
{
    if (this->state)
    {
        this->state->held_bytes -= this->bytes;
    }
}

bool held_share::granted() const
{
    return this->state != nullptr;
}

void tell(gateway_state& state, event_body const& happened)
{
    if (!state.closed)
    {
        state.handlers.on_event(happened);
    }
}

void tell_caller_gone(gateway_state& state, exchange& request)
{
    if (request.caller_gone)
    {
        return;
    }
    request.caller_gone = true;
    request.changed.notify();
    tell(state, caller_gone{request.head.arrival.request});
}

} // namespace cicada
