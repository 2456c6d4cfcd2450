#include "trouble.hpp"

#include <algorithm>

namespace cicada::soak
{

namespace
{

/** Longer than the latest start and the longest span of an isolation. */
constexpr milliseconds isolation_period{30'000};

} // namespace

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

} // namespace cicada::soak
