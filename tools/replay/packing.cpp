#include "packing.hpp"

#include <algorithm>
#include <random>

namespace cicada
{
namespace
{

constexpr std::uint64_t seed = 20'261'204;
constexpr int refusals = 2'000;
constexpr int ended_after_refusal = 5;

/** A worker of the naive ways. */
struct naive_worker
{
    worker_id name;
    resources unused;
};

/** The fleet, as every way sees it. */
struct packing_run
{
    ledger_ptr book = make_ledger();
    std::vector<naive_worker> naive;
    std::vector<task_allocation> tasks;
    resources capacity;
    resources allocated;
    std::mt19937_64 random{seed};
    int serial = 0;
};

worker_offer make_offer(fleet_shape const& fleet, int number, bool accelerated)
{
    int const zone = number * fleet.zones / fleet.workers;
    std::string const name = "z" + std::to_string(zone);
    std::string const rack = std::to_string(number / fleet.workers_per_rack);
    resources capacity = fleet.capacity;
    capacity.accelerators = accelerated ? capacity.accelerators : 0;
    return worker_offer{worker_id{"w" + std::to_string(number)},
                        zone_id{name},
                        shard_id{name + "/" + rack},
                        capacity,
                        true};
}

/** Mostly small tasks, some large, with memory that varies beside cores. */
resources
make_size(fleet_shape const& fleet, bool accelerated, std::mt19937_64& random)
{
    std::uniform_int_distribution<int> percent(0, 99);
    std::uniform_int_distribution<std::int64_t> small(1, 8);
    std::uniform_int_distribution<std::int64_t> large(16, 48);
    std::int64_t const quarters =
        percent(random) < 80 ? small(random) : large(random);
    std::int64_t const per_quarter =
        fleet.capacity.memory_mib * 250 / fleet.capacity.milli_cores;
    std::int64_t const memory =
        quarters * per_quarter * (50 + percent(random)) / 100;
    std::int64_t const devices = accelerated ? 1 + percent(random) % 3 : 0;
    return resources{quarters * 250, memory, devices};
}

naive_worker*
choose_naive(packing_run& run, packing_way way, resources const& size)
{
    naive_worker* chosen = nullptr;
    for (naive_worker& worker : run.naive)
    {
        if (!fits(size, worker.unused))
        {
            continue;
        }
        if (way == packing_way::first_fit)
        {
            return &worker;
        }
        if (chosen == nullptr ||
            worker.unused.milli_cores > chosen->unused.milli_cores)
        {
            chosen = &worker;
        }
    }
    return chosen;
}

bool place_one(packing_run& run, packing_way way, resources const& size)
{
    task_allocation one;
    one.task = task_id{std::to_string(++run.serial)};
    one.size = size;
    if (way == packing_way::pack)
    {
        demand wanted;
        wanted.size = size;
        std::vector<task_allocation> const placed =
            place(*run.book, wanted, {one.task}, instant{});
        if (placed.empty())
        {
            return false;
        }
    }
    else
    {
        naive_worker* const worker = choose_naive(run, way, size);
        if (worker == nullptr)
        {
            return false;
        }
        worker->unused = worker->unused - size;
        one.worker = worker->name;
    }
    run.allocated = run.allocated + size;
    run.tasks.push_back(one);
    return true;
}

void end_one(packing_run& run, packing_way way)
{
    std::size_t const which = run.random() % run.tasks.size();
    std::swap(run.tasks[which], run.tasks.back());
    task_allocation const gone = run.tasks.back();
    run.tasks.pop_back();
    run.allocated = run.allocated - gone.size;
    if (way == packing_way::pack)
    {
        release_task(*run.book, gone.task);
        return;
    }
    auto const worker = std::find_if(run.naive.begin(),
                                     run.naive.end(),
                                     [&](naive_worker const& one)
                                     {
                                         return one.name == gone.worker;
                                     });
    worker->unused = worker->unused + gone.size;
}

double share_of(std::int64_t some, std::int64_t all)
{
    return all > 0 ? static_cast<double>(some) / static_cast<double>(all) : 0;
}

} // namespace

char const* to_string(packing_way way)
{
    switch (way)
    {
    case packing_way::first_fit:
        return "first fit";
    case packing_way::least_used:
        return "least used";
    case packing_way::pack:
        return "pack";
    }
    return "";
}

packing_share
measure_packing(fleet_shape const& fleet, packing_way way, bool accelerated)
{
    packing_run run;
    for (int i = 0; i < fleet.workers; ++i)
    {
        worker_offer const offer = make_offer(fleet, i, accelerated);
        set_worker(*run.book, offer);
        run.naive.push_back(naive_worker{offer.worker, offer.capacity});
        run.capacity = run.capacity + offer.capacity;
    }
    packing_share sum;
    for (int refused = 0; refused < refusals;)
    {
        resources const size = make_size(fleet, accelerated, run.random);
        if (place_one(run, way, size))
        {
            continue;
        }
        ++refused;
        sum.milli_cores +=
            share_of(run.allocated.milli_cores, run.capacity.milli_cores);
        sum.memory +=
            share_of(run.allocated.memory_mib, run.capacity.memory_mib);
        sum.accelerators +=
            share_of(run.allocated.accelerators, run.capacity.accelerators);
        for (int i = 0; i < ended_after_refusal; ++i)
        {
            end_one(run, way);
        }
    }
    return packing_share{sum.milli_cores / refusals,
                         sum.memory / refusals,
                         sum.accelerators / refusals};
}

} // namespace cicada
