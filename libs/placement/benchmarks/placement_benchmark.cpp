#include "placement/placement.hpp"

#include <benchmark/benchmark.h>

#include <algorithm>
#include <random>

namespace cicada
{
namespace
{

constexpr int tasks_per_worker = 19;
constexpr int workers_per_rack = 6;
constexpr int zone_count = 4;
constexpr int gang_tasks = 16;
constexpr std::uint64_t seed = 20'261'204;

instant const now{milliseconds{0}};

worker_offer make_offer(int number, int workers)
{
    int const zone = number * zone_count / workers;
    std::string const name = "z" + std::to_string(zone);
    int const rack = number / workers_per_rack;
    bool const accelerated = number % 10 == 0;
    return worker_offer{worker_id{"w" + std::to_string(number)},
                        zone_id{name},
                        shard_id{name + "/r" + std::to_string(rack)},
                        resources{32'000, 65'536, accelerated ? 4 : 0},
                        true};
}

/** Random sizes: processors and memory uniform, no accelerators. */
resources make_size(std::mt19937_64& random)
{
    std::uniform_int_distribution<std::int64_t> cores(1, 12);
    std::uniform_int_distribution<std::int64_t> memory(1, 12);
    return resources{cores(random) * 250, memory(random) * 512, 0};
}

demand make_demand(resources const& size, placement_policy policy)
{
    demand wanted;
    wanted.workload = workload_id{"batch"};
    wanted.size = size;
    wanted.policy = policy;
    wanted.preferred_zone = zone_id{"z1"};
    wanted.run_time = seconds{60};
    return wanted;
}

/** A fleet filled with tasks. */
struct fleet
{
    ledger_ptr ledger_state = make_ledger();
    std::vector<task_id> tasks;
    std::mt19937_64 random{seed};
    int serial = 0;

    explicit fleet(int workers)
    {
        for (int i = 0; i < workers; ++i)
        {
            set_worker(*this->ledger_state, make_offer(i, workers));
        }
        for (int i = 0; i < workers * tasks_per_worker; ++i)
        {
            this->place_one(placement_policy::pack);
        }
    }

    bool place_one(placement_policy policy)
    {
        task_id const task{std::to_string(++this->serial)};
        resources const size = make_size(this->random);
        bool const placed =
            !place(*this->ledger_state, make_demand(size, policy), {task}, now)
                 .empty();
        if (placed)
        {
            this->tasks.push_back(task);
        }
        return placed;
    }

    void release_one()
    {
        std::size_t const index = this->random() % this->tasks.size();
        std::swap(this->tasks[index], this->tasks.back());
        release_task(*this->ledger_state, this->tasks.back());
        this->tasks.pop_back();
    }
};

/** Releases a task and places one; reports the 99th percentile separately. */
void run_release_and_place(benchmark::State& state, placement_policy policy)
{
    fleet cell(static_cast<int>(state.range(0)));
    std::vector<double> times;
    while (state.KeepRunning())
    {
        auto const begin = std::chrono::steady_clock::now();
        cell.release_one();
        benchmark::DoNotOptimize(cell.place_one(policy));
        auto const end = std::chrono::steady_clock::now();
        times.push_back(
            std::chrono::duration<double, std::micro>(end - begin).count());
    }
    std::sort(times.begin(), times.end());
    state.counters["p99_us"] = times[times.size() * 99 / 100];
    state.SetItemsProcessed(state.iterations());
    state.SetComplexityN(state.range(0));
}

void BM_pack(benchmark::State& state)
{
    run_release_and_place(state, placement_policy::pack);
}

void BM_spread(benchmark::State& state)
{
    run_release_and_place(state, placement_policy::spread);
}

/** First fit by a linear scan, for comparison; same fleet and sizes. */
void BM_naive_first_fit(benchmark::State& state)
{
    struct naive_worker
    {
        resources unused;
        std::vector<resources> tasks;
    };
    std::vector<naive_worker> workers(static_cast<std::size_t>(state.range(0)));
    std::mt19937_64 random{seed};
    auto const place_first = [&]()
    {
        resources const size = make_size(random);
        for (naive_worker& worker : workers)
        {
            if (fits(size, worker.unused))
            {
                worker.unused = worker.unused - size;
                worker.tasks.push_back(size);
                return true;
            }
        }
        return false;
    };
    for (naive_worker& worker : workers)
    {
        worker.unused = resources{32'000, 65'536, 0};
    }
    for (std::size_t i = 0; i < workers.size() * tasks_per_worker; ++i)
    {
        place_first();
    }
    while (state.KeepRunning())
    {
        naive_worker& worker = workers[random() % workers.size()];
        if (!worker.tasks.empty())
        {
            worker.unused = worker.unused + worker.tasks.back();
            worker.tasks.pop_back();
        }
        benchmark::DoNotOptimize(place_first());
    }
    state.SetItemsProcessed(state.iterations());
    state.SetComplexityN(state.range(0));
}

/** Holds and releases a gang in a half-full fleet. */
void BM_gang(benchmark::State& state)
{
    fleet cell(static_cast<int>(state.range(0)));
    for (std::size_t i = cell.tasks.size() / 2; i > 0; --i)
    {
        cell.release_one();
    }
    std::vector<task_id> tasks;
    tasks.reserve(gang_tasks);
    for (int i = 0; i < gang_tasks; ++i)
    {
        tasks.push_back(task_id{"gang/" + std::to_string(i)});
    }
    demand wanted = make_demand({2'000, 4'096, 0}, placement_policy::close);
    wanted.all_or_none = true;
    while (state.KeepRunning())
    {
        benchmark::DoNotOptimize(
            hold(*cell.ledger_state, job_id{"g"}, wanted, tasks, now, now));
        release_hold(*cell.ledger_state, job_id{"g"});
    }
    state.SetComplexityN(state.range(0));
}

/** Plans preemption for an urgent task in a full fleet. */
void BM_preemption(benchmark::State& state)
{
    fleet cell(static_cast<int>(state.range(0)));
    demand wanted = make_demand({4'000, 8'192, 0}, placement_policy::pack);
    wanted.urgency = work_class::urgent;
    while (state.KeepRunning())
    {
        benchmark::DoNotOptimize(plan_preemption(
            *cell.ledger_state, wanted, milliseconds{0}, now + seconds{60}));
    }
    state.SetComplexityN(state.range(0));
}

void set_fleet_sizes(benchmark::internal::Benchmark* family)
{
    family->Arg(50)->Arg(200)->Arg(1'000)->Arg(4'000);
    family->Complexity()->MinTime(0.3);
}

BENCHMARK(BM_naive_first_fit)->Apply(set_fleet_sizes);
BENCHMARK(BM_pack)->Apply(set_fleet_sizes);
BENCHMARK(BM_spread)->Apply(set_fleet_sizes);
BENCHMARK(BM_gang)->Apply(set_fleet_sizes);
BENCHMARK(BM_preemption)->Apply(set_fleet_sizes);

} // namespace
} // namespace cicada
