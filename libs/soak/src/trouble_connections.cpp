#include "trouble.hpp"

namespace cicada::soak
{

void trouble::cut_store()
{
    constexpr relay_mode modes[] = {relay_mode::mute_requests,
                                    relay_mode::mute_answers,
                                    relay_mode::refuse};
    relay& way = this->any_store_way();
    way.set_mode(modes[this->shared.draw_int(0, 2)]);
    this->until(this->long_span(300, 5000, 14'000),
                [&way]
                {
                    way.set_mode(relay_mode::pass);
                });
}

void trouble::store_connections()
{
    relay& way = this->any_store_way();
    if (this->shared.chance(0.5))
    {
        way.reset_all();
    }
    else
    {
        way.silence_all();
    }
}

void trouble::cut_worker()
{
    constexpr relay_mode modes[] = {relay_mode::mute_requests,
                                    relay_mode::mute_answers,
                                    relay_mode::refuse};
    relay& way = this->any_worker_way();
    way.set_mode(modes[this->shared.draw_int(0, 2)]);
    this->until(this->long_span(300, 9000, 14'000),
                [&way]
                {
                    way.set_mode(relay_mode::pass);
                });
}

void trouble::worker_connections()
{
    bool const reset = this->shared.chance(0.5);
    for (std::shared_ptr<relay>& each : this->all.to_workers)
    {
        if (this->shared.chance(0.5))
        {
            continue;
        }
        if (reset)
        {
            each->reset_all();
        }
        else
        {
            each->silence_all();
        }
    }
}

void trouble::slow_way()
{
    relay& way = this->shared.chance(0.5) ? this->any_store_way()
                                          : this->any_worker_way();
    way.set_delay(this->span(20, 300));
    this->until(this->span(500, 4000),
                [&way]
                {
                    way.set_delay(milliseconds{0});
                });
}

} // namespace cicada::soak
