#include "connection.hpp"

namespace cicada
{
namespace
{

/** A pending operation may start just after a cancel; so cancel again. */
constexpr milliseconds cancel_again{20};

/** Binds a guard to its connection for a timer's handler. */
struct expiry_handler
{
    std::weak_ptr<connection> owner;
    time_guard connection::*guard;
    std::uint64_t generation;
    on_expiry action;

    void operator()(io_error failure) const
    {
        std::shared_ptr<connection> const alive = this->owner.lock();
        if (failure || !alive)
        {
            return;
        }
        time_guard& limit = (*alive).*(this->guard);
        if (limit.generation != this->generation)
        {
            return;
        }
        limit.expired = true;
        if (this->action == on_expiry::close)
        {
            close_now(*alive);
            return;
        }
        io_error ignored;
        alive->socket.cancel(ignored);
        limit.timer.expires_after(cancel_again);
        limit.timer.async_wait(*this);
    }
};

} // namespace

time_guard::time_guard(net::io_context& context) : timer(context) {}

connection::connection(net::io_context& context, std::size_t buffer_bytes)
    : connection(context, tcp::socket(context), buffer_bytes)
{
}

connection::connection(net::io_context& context,
                       tcp::socket accepted,
                       std::size_t buffer_bytes)
    : socket(std::move(accepted)), buffer(buffer_bytes), read_limit(context),
      write_limit(context)
{
}

void arm(std::shared_ptr<connection> const& owner,
         time_guard connection::*guard,
         clock_time when,
         on_expiry action)
{
    time_guard& limit = (*owner).*guard;
    ++limit.generation;
    limit.expired = false;
    limit.timer.expires_at(when);
    limit.timer.async_wait(
        expiry_handler{owner, guard, limit.generation, action});
}

void disarm(connection& owner, time_guard connection::*guard)
{
    time_guard& limit = owner.*guard;
    ++limit.generation;
    limit.timer.cancel();
}

void close_now(connection& owner)
{
    io_error ignored;
    owner.socket.close(ignored);
}

change_signal::change_signal(net::io_context& context)
    : timer(context, net::steady_timer::time_point::max())
{
}

void change_signal::notify()
{
    this->timer.cancel();
}

} // namespace cicada
