#include "site.hpp"

namespace cicada::soak
{

namespace
{

/** Of the real limit of 3 s; faults may delay a start by a store's outage. */
constexpr milliseconds cancel_limit{15'000};

} // namespace

bench::bench(soak_settings const& given)
    : settings(given), random(given.seed), judge(cancel_limit)
{
}

double bench::draw(double low, double high)
{
    return std::uniform_real_distribution<double>(low, high)(this->random);
}

int bench::draw_int(int low, int high)
{
    return std::uniform_int_distribution<int>(low, high)(this->random);
}

bool bench::chance(double share)
{
    return this->draw(0.0, 1.0) < share;
}

void bench::after(milliseconds pause, std::function<void()> then)
{
    auto timer = std::make_shared<boost::asio::steady_timer>(this->loop, pause);
    timer->async_wait(
        [timer, then = std::move(then)](boost::system::error_code problem)
        {
            if (!problem)
            {
                then();
            }
        });
}

void bench::breach(std::string const& what)
{
    this->report.breaches.push_back(
        std::to_string((steady_now() - this->began).count()) + " ms: " + what);
}

} // namespace cicada::soak
