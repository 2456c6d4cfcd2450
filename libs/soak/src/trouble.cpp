#include "trouble.hpp"

#include <cmath>

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
}

void trouble::next()
{
    double const gap = -std::log(1.0 - this->shared.draw(0.0, 0.999)) * 1000.0 /
                       faults_a_second;
    this->shared.after(
        milliseconds(static_cast<std::int64_t>(gap)),
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
                    this->shared.report.faults.push_back(
                        std::to_string(
                            (steady_now() - this->shared.began).count()) +
                        " ms: " + each.name);
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
    for (std::unique_ptr<daemon_seat>& each : this->all.daemons.seats)
    {
        each->to_store->set_mode(relay_mode::pass);
        each->to_store->set_delay(milliseconds{0});
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

// ---- daemons

void trouble::kill_one()
{
    this->all.daemons.kill(this->any_daemon(), this->span(100, 2500));
}

void trouble::kill_all()
{
    for (std::size_t k = 0; k < this->all.daemons.seats.size(); ++k)
    {
        this->all.daemons.kill(k, this->span(100, 1000));
    }
}

void trouble::stop_one()
{
    this->all.daemons.stop(this->any_daemon());
}

void trouble::stop_in_turn()
{
    milliseconds pause{0};
    for (std::size_t k = 0; k < this->all.daemons.seats.size(); ++k)
    {
        this->until(pause,
                    [this, k]
                    {
                        this->all.daemons.stop(k);
                    });
        pause += this->span(300, 1500);
    }
}

void trouble::pause_one()
{
    this->all.daemons.pause(this->any_daemon(), this->span(200, 5000));
}

void trouble::hang_up()
{
    this->all.daemons.hang_up(this->any_daemon());
}

// ---- the store

void trouble::store_refuses()
{
    this->of_store.refuses = true;
    this->all.store.set_faults(this->of_store);
    this->until(this->span(300, 4000),
                [this]
                {
                    this->of_store.refuses = false;
                    this->all.store.set_faults(this->of_store);
                });
}

void trouble::store_is_slow()
{
    this->of_store.delay = this->span(30, 400);
    this->all.store.set_faults(this->of_store);
    this->until(this->span(500, 4000),
                [this]
                {
                    this->of_store.delay = milliseconds{0};
                    this->all.store.set_faults(this->of_store);
                });
}

void trouble::store_loses_answers()
{
    this->of_store.answers_lost = this->shared.draw(0.05, 0.5);
    this->all.store.set_faults(this->of_store);
    this->until(this->span(500, 3000),
                [this]
                {
                    this->of_store.answers_lost = 0.0;
                    this->all.store.set_faults(this->of_store);
                });
}

void trouble::store_is_late()
{
    this->of_store.changes_late = this->shared.draw(0.05, 0.3);
    this->all.store.set_faults(this->of_store);
    this->until(this->span(500, 3000),
                [this]
                {
                    this->of_store.changes_late = 0.0;
                    this->all.store.set_faults(this->of_store);
                });
}

void trouble::store_forgets()
{
    this->all.store.forget_history();
}

void trouble::leases_end()
{
    this->all.store.end_leases();
}

// ---- connections

void trouble::cut_store()
{
    constexpr relay_mode modes[] = {relay_mode::mute_requests,
                                    relay_mode::mute_answers,
                                    relay_mode::refuse};
    relay& way = this->any_store_way();
    way.set_mode(modes[this->shared.draw_int(0, 2)]);
    this->until(this->span(300, 5000),
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
    this->until(this->span(300, 9000),
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

// ---- workers

void trouble::crash_worker()
{
    this->all.workers.crash(this->any_worker(), this->span(50, 8000));
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

void trouble::change_config()
{
    batch::cell_config next = this->all.clients.config();
    next.version += this->shared.draw_int(1, 5);
    this->all.clients.set_config(next);
    this->all.store.put("op/config", platform::standin::encode_config(next));
}

} // namespace cicada::soak
