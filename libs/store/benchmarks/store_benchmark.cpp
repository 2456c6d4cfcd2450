#include "store/store.hpp"

#include "standin_store/standin_store.hpp"
#include "transport.hpp"

#include <benchmark/benchmark.h>

#include <condition_variable>
#include <mutex>

/**
 * Calls to the service for each record written, with group commit and
 * without, and the cost of a connection for each write. All over loopback to
 * the stand-in, whose answers may be held back by a set time.
 */
namespace cicada
{
namespace
{

constexpr seconds limit{30};

/** Counts what ended, and waits for all of it. */
class countdown
{
public:
    explicit countdown(int count) : left(count) {}

    void ended(bool good)
    {
        std::lock_guard<std::mutex> const lock(this->mutex);
        this->left -= 1;
        this->bad += good ? 0 : 1;
        this->changed.notify_all();
    }

    /** Returns how many ended badly. */
    int wait()
    {
        std::unique_lock<std::mutex> lock(this->mutex);
        this->changed.wait(lock,
                           [this]()
                           {
                               return this->left == 0;
                           });
        return this->bad;
    }

private:
    std::mutex mutex;
    std::condition_variable changed;
    int left;
    int bad = 0;
};

store_settings settings_for(std::uint16_t port, int most_txns, double budget)
{
    store_settings settings;
    settings.endpoints = {{"127.0.0.1", port}};
    settings.write_budget = {budget, budget / 10.0};
    settings.sharers = 1;
    settings.batch.most_txns = most_txns;
    return settings;
}

/** Writes `count` records at once and waits for all of them. */
int write_all(store_client& client, int count, std::int64_t& serial)
{
    countdown left(count);
    for (int i = 0; i < count; ++i)
    {
        std::string const key = "intent/" + std::to_string(++serial);
        client.commit(create_key({key, std::string(300, 'x'), {}}),
                      limit,
                      [&left](txn_answer const& got)
                      {
                          left.ended(got.outcome == txn_outcome::done);
                      });
    }
    return left.wait();
}

/**
 * Range 0: most txns in a call; 1: records at once; 2: answer's delay, ms;
 * 3: the daemon's share of the write budget, calls a second.
 */
void BM_group_commit(benchmark::State& state)
{
    standin_store service;
    std::uint16_t const port = service.start({}).value();
    standin_faults delay;
    delay.slow = milliseconds(state.range(2));
    service.set_faults(delay);
    store_client client(settings_for(port,
                                     static_cast<int>(state.range(0)),
                                     static_cast<double>(state.range(3))));
    std::int64_t serial = 0;
    int bad = 0;
    for (auto each : state)
    {
        benchmark::DoNotOptimize(each);
        bad += write_all(client, static_cast<int>(state.range(1)), serial);
    }
    store_counts const seen = client.counts();
    state.counters["records/s"] = benchmark::Counter(
        static_cast<double>(serial), benchmark::Counter::kIsRate);
    state.counters["calls/s"] = benchmark::Counter(
        static_cast<double>(seen.writes), benchmark::Counter::kIsRate);
    state.counters["calls/record"] =
        static_cast<double>(seen.writes) / static_cast<double>(serial);
    state.counters["bad"] = bad;
}

BENCHMARK(BM_group_commit)
    ->ArgNames({"most", "at_once", "delay_ms", "budget"})
    ->Args({1, 1, 4, 100'000})
    ->Args({1, 100, 4, 100'000})
    ->Args({100, 1, 4, 100'000})
    ->Args({100, 100, 4, 100'000})
    ->Args({100, 1000, 4, 100'000})
    ->Args({1, 100, 4, 33})
    ->Args({100, 100, 4, 33})
    ->Args({100, 1000, 4, 33})
    ->Unit(benchmark::kMillisecond)
    ->UseRealTime();

/** Range 0: 1 for a connection of its own for each call, 0 for a kept one. */
void BM_connection(benchmark::State& state)
{
    standin_store service;
    store_detail::outgoing what;
    what.where = {"127.0.0.1", service.start({}).value()};
    what.path = "/v3/kv/range";
    what.body = "{\"key\":\"aw==\"}";
    what.use = state.range(0) == 1 ? store_detail::connection_use::fresh
                                   : store_detail::connection_use::kept;
    store_detail::transport wire;
    for (auto each : state)
    {
        benchmark::DoNotOptimize(each);
        countdown left(1);
        wire.post(what,
                  [&left](store_detail::exchange const& how)
                  {
                      left.ended(how.status == 200);
                  });
        left.wait();
    }
}

BENCHMARK(BM_connection)->ArgName("fresh")->Arg(0)->Arg(1)->UseRealTime();

/**
 * How often a write arrives whose first answer is lost: range 0 as above.
 * The counter `arrivals` is for each write.
 */
void BM_lost_answer(benchmark::State& state)
{
    standin_store service;
    store_detail::outgoing what;
    what.where = {"127.0.0.1", service.start({}).value()};
    what.path = "/v3/kv/range";
    what.body = "{\"key\":\"aw==\"}";
    what.use = state.range(0) == 1 ? store_detail::connection_use::fresh
                                   : store_detail::connection_use::kept;
    store_detail::transport wire;
    std::int64_t writes = 0;
    for (auto each : state)
    {
        benchmark::DoNotOptimize(each);
        what.path = "/v3/kv/range";
        countdown first(1);
        wire.post(what,
                  [&first](store_detail::exchange const&)
                  {
                      first.ended(true);
                  });
        first.wait();
        standin_faults faults;
        faults.lose_answers = 1;
        service.set_faults(faults);
        what.path = "/v3/kv/put";
        countdown second(1);
        wire.post(what,
                  [&second](store_detail::exchange const&)
                  {
                      second.ended(true);
                  });
        second.wait();
        writes += 1;
    }
    state.counters["arrivals"] = static_cast<double>(service.calls().writes) /
                                 static_cast<double>(writes);
}

BENCHMARK(BM_lost_answer)
    ->ArgName("fresh")
    ->Arg(0)
    ->Arg(1)
    ->Iterations(200)
    ->UseRealTime();

} // namespace
} // namespace cicada
