#pragma once

#include "site.hpp"

namespace cicada::soak
{

/** What faults can be done to. */
struct targets
{
    crew& daemons;
    callers& clients;
    platform::standin::store& store;
    platform::standin::fleet& workers;
    std::vector<std::shared_ptr<relay>>& to_workers;
};

/** Strikes at random moments while the load lasts; faults overlap. */
class trouble
{
public:
    trouble(bench& given, targets const& all);

    void begin();
    /** Ends every fault that lasts. */
    void heal();

private:
    struct kind
    {
        char const* name;
        int weight; //!< of the draw
        void (trouble::*strike)();
    };

    static std::vector<kind> const& kinds();

    void next();
    /** Decides whether this stretch of the load isolates a placer. */
    void draw_isolation();
    void note(std::string const& what);
    std::size_t any_daemon();
    int any_worker();
    std::vector<int> draw_workers(int count);
    /** Also the worker's relay, by number. */
    relay& any_store_way();
    relay& any_worker_way();
    milliseconds span(int low, int high);
    /** From low to high, in a third of the draws from high to longest. */
    milliseconds long_span(int low, int high, int longest);
    /** Undoes a fault later, unless everything was healed before. */
    void until(milliseconds later, std::function<void()> const& undo);

    void kill(std::size_t which, milliseconds away);
    void stop(std::size_t which);
    void kill_one();
    void kill_all();
    void stop_one();
    void stop_in_turn();
    void pause_one();
    void hang_up();
    void store_refuses();
    void store_is_slow();
    void store_loses_answers();
    void store_is_late();
    void store_forgets();
    void leases_end();
    void cut_store();
    void store_connections();
    void cut_worker();
    void worker_connections();
    void slow_way();
    void isolate_placer();
    void end_isolation();
    void crash_worker();
    void drain_worker();
    void worker_fails();
    void worker_stalls();
    void orders_late();
    void change_config();

    bench& shared;
    targets all;
    platform::standin::store_faults of_store;
    bool healed = false;
    std::optional<std::size_t> isolated; //!< the placer's number
};

} // namespace cicada::soak
