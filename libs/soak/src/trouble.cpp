#include "trouble.hpp"

#include <algorithm>
#include <cmath>
#include <numeric>

namespace cicada::soak
{

namespace
{

constexpr double faults_a_second = 1.2;
/** Longer than the latest start and the longest span of an isolation. */
constexpr milliseconds isolation_period{30'000};

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

void trouble::draw_isolation()
{
    if (this->shared.chance(0.5))
    {
        this->until(this->span(1000, 6000),
                    [this]
                    {
                        this->isolate_placer();
                    });
    }
    this->until(isolation_period,
                [this]
                {
                    this->draw_isolation();
                });
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

// ---- daemons

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

// ---- the store

void trouble::store_refuses()
{
    this->of_store.refuses = true;
    this->all.store.set_faults(this->of_store);
    this->until(this->long_span(300, 4000, 13'000),
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

/** The placer has no store, but alone reaches some workers, or most of them. */
void trouble::isolate_placer()
{
    constexpr milliseconds retry{200};
    std::optional<std::size_t> const placer =
        this->all.daemons.placer(this->all.store);
    if (!placer || this->isolated)
    {
        this->until(retry,
                    [this]
                    {
                        this->isolate_placer();
                    });
        return;
    }
    std::uint64_t const epoch =
        std::stoull(this->all.store.value("cell/epoch"));
    std::size_t const daemons = this->all.daemons.seats.size();
    bool const all_but_one = daemons > 1 && this->shared.chance(0.5);
    bool const no_other_worker = this->shared.chance(0.75);
    bool const restart = this->shared.chance(0.4);
    milliseconds const lasts = this->span(8000, 22'000);
    int const workers = static_cast<int>(this->all.to_workers.size());
    bool const most = this->shared.chance(0.3);
    std::vector<int> const alone = this->draw_workers(
        most ? this->shared.draw_int(workers / 2 + 1,
                                     std::max(workers / 2 + 1, workers * 3 / 4))
             : this->shared.draw_int(1, 3));

    this->isolated = placer;
    // The one that keeps the store isn't the placer.
    std::size_t const spared =
        (*placer + static_cast<std::size_t>(this->shared.draw_int(
                       1, std::max(1, static_cast<int>(daemons) - 1)))) %
        daemons;
    for (std::size_t k = 0; k < daemons; ++k)
    {
        bool const cut = k == *placer || (all_but_one && k != spared);
        this->all.daemons.seats[k]->to_store->set_cut(cut);
    }
    if (no_other_worker)
    {
        for (std::shared_ptr<relay>& each : this->all.to_workers)
        {
            each->set_epochs({.lowest = epoch + 1});
        }
    }
    std::string numbers;
    for (int which : alone)
    {
        this->all.to_workers[static_cast<std::size_t>(which)]->set_epochs(
            {.highest = epoch});
        numbers += " " + std::to_string(which);
    }
    this->note("isolate_placer " + this->all.daemons.seats[*placer]->name +
               ", epoch " + std::to_string(epoch) + ", " +
               std::to_string(lasts.count()) + " ms, workers" + numbers +
               (no_other_worker ? " only" : "") +
               (all_but_one
                    ? ", store left to " + this->all.daemons.seats[spared]->name
                    : "") +
               (restart ? ", restarts" : ""));
    if (restart)
    {
        this->until(lasts / 2,
                    [this, alone]
                    {
                        for (int which : alone)
                        {
                            this->all.workers.crash(which, this->span(1, 120));
                        }
                    });
    }
    this->until(lasts,
                [this]
                {
                    this->end_isolation();
                });
}

void trouble::end_isolation()
{
    this->isolated.reset();
    for (std::unique_ptr<daemon_seat>& each : this->all.daemons.seats)
    {
        each->to_store->set_cut(false);
    }
    for (std::shared_ptr<relay>& each : this->all.to_workers)
    {
        each->set_epochs({});
    }
}

// ---- workers

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

void trouble::change_config()
{
    batch::cell_config next = this->all.clients.config();
    next.version += this->shared.draw_int(1, 5);
    this->all.clients.set_config(next);
    this->all.store.put("op/config", platform::standin::encode_config(next));
}

} // namespace cicada::soak
