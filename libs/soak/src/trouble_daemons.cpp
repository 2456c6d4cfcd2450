#include "trouble.hpp"

namespace cicada::soak
{

// An isolated placer goes on to the end of its isolation.

void trouble::kill(std::size_t which, milliseconds away)
{
    if (this->isolated != which)
    {
        this->all.daemons.kill(which, away);
    }
}

void trouble::stop(std::size_t which)
{
    if (this->isolated != which)
    {
        this->all.daemons.stop(which);
    }
}

void trouble::kill_one()
{
    this->kill(this->any_daemon(), this->span(100, 2500));
}

void trouble::kill_all()
{
    for (std::size_t k = 0; k < this->all.daemons.seats.size(); ++k)
    {
        this->kill(k, this->span(100, 1000));
    }
}

void trouble::stop_one()
{
    this->stop(this->any_daemon());
}

void trouble::stop_in_turn()
{
    milliseconds pause{0};
    for (std::size_t k = 0; k < this->all.daemons.seats.size(); ++k)
    {
        this->until(pause,
                    [this, k]
                    {
                        this->stop(k);
                    });
        pause += this->span(300, 1500);
    }
}

void trouble::pause_one()
{
    this->all.daemons.pause(this->any_daemon(),
                            this->long_span(200, 5000, 14'000));
}

void trouble::hang_up()
{
    this->all.daemons.hang_up(this->any_daemon());
}

void trouble::change_config()
{
    batch::cell_config next = this->all.clients.config();
    next.version += this->shared.draw_int(1, 5);
    this->all.clients.set_config(next);
    this->all.store.put("op/config", platform::standin::encode_config(next));
}

} // namespace cicada::soak
