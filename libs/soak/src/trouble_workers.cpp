#include "trouble.hpp"

namespace cicada::soak
{

void trouble::crash_worker()
{
    milliseconds const away =
        this->shared.chance(0.5) ? this->span(1, 120) : this->span(50, 8000);
    this->all.workers.crash(this->any_worker(), away);
}

void trouble::drain_worker()
{
    this->all.workers.drain(
        this->any_worker(), this->span(2000, 4000), this->span(500, 4000));
}

void trouble::worker_fails()
{
    int const which = this->any_worker();
    this->all.workers.set_failing(which, true);
    this->until(this->span(500, 3000),
                [this, which]
                {
                    this->all.workers.set_failing(which, false);
                });
}

void trouble::worker_stalls()
{
    int const which = this->any_worker();
    this->all.workers.set_stalled(which, true);
    this->until(this->span(500, 4000),
                [this, which]
                {
                    this->all.workers.set_stalled(which, false);
                });
}

void trouble::orders_late()
{
    this->all.workers.set_late_orders(this->shared.draw(0.02, 0.2));
    this->until(this->span(500, 3000),
                [this]
                {
                    this->all.workers.set_late_orders(0.0);
                });
}

} // namespace cicada::soak
