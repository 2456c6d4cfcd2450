#include "trouble.hpp"

#include <algorithm>
#include <cmath>
#include <numeric>

namespace cicada::soak
{

namespace
{

constexpr double faults_a_second = 1.2;

} // namespace

trouble::trouble(bench& given, targets const& given_targets)
    : shared(given), all(given_targets)
{
}

std::vector<trouble::kind> const& trouble::kinds()
{
    static std::vector<kind> const every{
        {"kill_one", 4, &trouble::kill_one},
        {"kill_all", 1, &trouble::kill_all},
        {"stop_one", 3, &trouble::stop_one},
        {"stop_in_turn", 1, &trouble::stop_in_turn},
        {"pause_one", 3, &trouble::pause_one},
        {"hang_up", 2, &trouble::hang_up},
        {"store_refuses", 2, &trouble::store_refuses},
        {"store_is_slow", 2, &trouble::store_is_slow},
        {"store_loses_answers", 2, &trouble::store_loses_answers},
        {"store_is_late", 2, &trouble::store_is_late},
        {"store_forgets", 1, &trouble::store_forgets},
        {"leases_end", 1, &trouble::leases_end},
        {"cut_store", 3, &trouble::cut_store},
        {"store_connections", 3, &trouble::store_connections},
        {"cut_worker", 3, &trouble::cut_worker},
        {"worker_connections", 3, &trouble::worker_connections},
        {"slow_way", 2, &trouble::slow_way},
        {"crash_worker", 3, &trouble::crash_worker},
        {"drain_worker", 2, &trouble::drain_worker},
        {"worker_fails", 1, &trouble::worker_fails},
        {"worker_stalls", 1, &trouble::worker_stalls},
        {"orders_late", 2, &trouble::orders_late},
        {"change_config", 2, &trouble::change_config},
    };
    return every;
}

void trouble::begin()
{
    this->next();
    this->draw_isolation();
}

void trouble::note(std::string const& what)
{
    this->shared.report.faults.push_back(
        std::to_string((steady_now() - this->shared.began).count()) +
        " ms: " + what);
}

void trouble::next()
{
    double const gap = -std::log(1.0 - this->shared.draw(0.0, 0.999)) * 1000.0 /
                       faults_a_second;
    this->shared.after(milliseconds(static_cast<std::int64_t>(gap)),
                       [this]
                       {
                           if (this->healed)
                           {
                               return;
                           }
                           int sum = 0;
                           for (kind const& each : kinds())
                           {
                               sum += each.weight;
                           }
                           int at = this->shared.draw_int(1, sum);
                           for (kind const& each : kinds())
                           {
                               at -= each.weight;
                               if (at <= 0)
                               {
                                   this->note(each.name);
                                   (this->*each.strike)();
                                   break;
                               }
                           }
                           this->next();
                       });
}

void trouble::heal()
{
    this->healed = true;
    this->of_store = {};
    this->all.store.set_faults({});
    this->end_isolation();
    for (std::size_t k = 0; k < this->all.daemons.seats.size(); ++k)
    {
        daemon_seat& seat = *this->all.daemons.seats[k];
        seat.to_store->set_mode(relay_mode::pass);
        seat.to_store->set_delay(milliseconds{0});
        if (seat.paused)
        {
            this->all.daemons.wake(k);
        }
    }
    for (std::shared_ptr<relay>& each : this->all.to_workers)
    {
        each->set_mode(relay_mode::pass);
        each->set_delay(milliseconds{0});
    }
    for (int k = 0; k < this->all.workers.size(); ++k)
    {
        this->all.workers.set_failing(k, false);
        this->all.workers.set_stalled(k, false);
    }
    this->all.workers.set_late_orders(0.0);
}

std::size_t trouble::any_daemon()
{
    return static_cast<std::size_t>(this->shared.draw_int(
        0, static_cast<int>(this->all.daemons.seats.size()) - 1));
}

int trouble::any_worker()
{
    return this->shared.draw_int(0, this->all.workers.size() - 1);
}

std::vector<int> trouble::draw_workers(int count)
{
    std::vector<int> out(static_cast<std::size_t>(this->all.workers.size()));
    std::iota(out.begin(), out.end(), 0);
    std::shuffle(out.begin(), out.end(), this->shared.random);
    out.resize(std::min(out.size(), static_cast<std::size_t>(count)));
    return out;
}

relay& trouble::any_store_way()
{
    return *this->all.daemons.seats[this->any_daemon()]->to_store;
}

relay& trouble::any_worker_way()
{
    return *this->all.to_workers[static_cast<std::size_t>(this->any_worker())];
}

milliseconds trouble::span(int low, int high)
{
    return milliseconds(this->shared.draw_int(low, high));
}

milliseconds trouble::long_span(int low, int high, int longest)
{
    return this->shared.chance(1.0 / 3.0) ? this->span(high, longest)
                                          : this->span(low, high);
}

void trouble::until(milliseconds later, std::function<void()> const& undo)
{
    this->shared.after(later,
                       [this, undo]
                       {
                           if (!this->healed)
                           {
                               undo();
                           }
                       });
}

} // namespace cicada::soak
