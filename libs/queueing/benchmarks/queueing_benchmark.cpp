#include "queueing/queueing.hpp"

#include <benchmark/benchmark.h>

#include <random>

namespace cicada
{
namespace
{

constexpr int tenant_count = 33;
constexpr int slots_per_endpoint = 8;

queue_entry make_entry(int serial, instant now)
{
    queue_entry entry;
    entry.request = request_id{"r" + std::to_string(serial)};
    entry.tenant = tenant_id{"t" + std::to_string(serial % tenant_count)};
    entry.urgency =
        static_cast<work_class>(serial / tenant_count % work_class_count);
    entry.workload = workload_id{"w" + std::to_string(serial % 2)};
    entry.arrived = now;
    entry.deadline = now + seconds{86'400};
    return entry;
}

fair_queue_ptr make_filled_queue(int count)
{
    fair_queue_ptr queue =
        make_fair_queue({.slots = 100'000, .max_total = 1'000'000});
    std::map<tenant_id, tenant_limits> limits;
    for (int i = 0; i < tenant_count; ++i)
    {
        tenant_limits tenant;
        tenant.max_queued = 1'000'000;
        limits.emplace(tenant_id{"t" + std::to_string(i)}, tenant);
    }
    set_limits(*queue, limits);
    for (int i = 0; i < count; ++i)
    {
        push(*queue, make_entry(i, instant{}), instant{});
    }
    return queue;
}

/** One push and one pop; the argument is the number of queued requests. */
void BM_push_pop(benchmark::State& state)
{
    int serial = static_cast<int>(state.range(0));
    fair_queue_ptr const queue = make_filled_queue(serial);
    instant now{};
    while (state.KeepRunning())
    {
        now += milliseconds{serial % 8 == 0 ? 1 : 0};
        push(*queue, make_entry(serial++, now), now);
        benchmark::DoNotOptimize(pop(*queue, 1'000'000, now));
    }
    state.SetItemsProcessed(state.iterations());
    state.counters["waiting"] = queued(*queue);
}

/** Cancels all queued requests in order of arrival; `each` is per request. */
void BM_cancel_wave(benchmark::State& state)
{
    int const count = static_cast<int>(state.range(0));
    std::int64_t cancelled = 0;
    while (state.KeepRunning())
    {
        state.PauseTiming();
        fair_queue_ptr const queue = make_filled_queue(count);
        state.ResumeTiming();
        for (int i = 0; i < count; ++i)
        {
            cancelled +=
                cancel(*queue, request_id{"r" + std::to_string(i)}).has_value();
        }
    }
    state.SetItemsProcessed(cancelled);
    state.counters["each"] = benchmark::Counter(
        static_cast<double>(cancelled),
        benchmark::Counter::kIsRate | benchmark::Counter::kInvert);
}

/** Frees and acquires one slot; the argument is the number of endpoints. */
void BM_take_release(benchmark::State& state)
{
    slot_table_ptr const table = make_slot_table();
    workload_id const workload{"ping"};
    int const count = static_cast<int>(state.range(0));
    for (int i = 0; i < count; ++i)
    {
        set_endpoint(*table,
                     {endpoint_id{"e" + std::to_string(i)},
                      workload,
                      zone_id{"z" + std::to_string(i % 4)},
                      slots_per_endpoint,
                      rotation::in});
    }
    int serial = 0;
    for (; serial < count * 7; ++serial)
    {
        acquire_slot(*table,
                     attempt_id{std::to_string(serial)},
                     workload,
                     zone_id{"z" + std::to_string(serial % 4)});
    }
    while (state.KeepRunning())
    {
        release_slot(*table, attempt_id{std::to_string(serial - count)});
        benchmark::DoNotOptimize(
            acquire_slot(*table,
                         attempt_id{std::to_string(serial)},
                         workload,
                         zone_id{"z" + std::to_string(serial % 4)}));
        ++serial;
    }
    state.SetItemsProcessed(state.iterations());
}

BENCHMARK(BM_push_pop)->Arg(0)->Arg(1'000)->Arg(20'000);
BENCHMARK(BM_cancel_wave)->Arg(1)->Arg(1'000)->Arg(100'000);
BENCHMARK(BM_take_release)->Arg(50)->Arg(200)->Arg(1'000);

} // namespace
} // namespace cicada
