#include "endpoint.hpp"
#include "gateway/gateway.hpp"

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/write.hpp>

#include <benchmark/benchmark.h>

#include <atomic>
#include <ctime>
#include <fstream>
#include <pthread.h>
#include <thread>
#include <unistd.h>

namespace cicada::benchmark_gateway
{
namespace
{

namespace net = boost::asio;
using tcp = net::ip::tcp;

constexpr int requests_per_caller = 50;

/** A gateway that sends every request to one endpoint; each has a thread. */
class setting
{
public:
    explicit setting(bool start) : start(start)
    {
        this->endpoint = spawn_endpoint(this->endpoint_context);
        gateway_settings settings;
        settings.self.value = "d1";
        settings.listen = {"127.0.0.1", 0};
        gateway_handlers handlers;
        handlers.on_event = [this](event_body const& body)
        {
            this->happened(body);
        };
        this->subject =
            std::move(gateway::open(this->context, settings, handlers).value());
        this->entry = this->subject->where();
        this->gateway_thread = std::thread(
            [this]()
            {
                this->context.run();
            });
        this->endpoint_thread = std::thread(
            [this]()
            {
                this->endpoint_context.run();
            });
    }

    ~setting()
    {
        net::post(this->context,
                  [this]()
                  {
                      this->subject->close();
                      this->context.stop();
                  });
        this->gateway_thread.join();
        this->endpoint_context.stop();
        this->endpoint_thread.join();
    }

    setting(setting const&) = delete;
    setting& operator=(setting const&) = delete;

    /** What the gateway's thread has used of a processor. */
    double cpu_seconds()
    {
        clockid_t clock{};
        timespec used{};
        pthread_getcpuclockid(this->gateway_thread.native_handle(), &clock);
        clock_gettime(clock, &used);
        return static_cast<double>(used.tv_sec) +
               static_cast<double>(used.tv_nsec) * 1e-9;
    }

    address entry;
    address endpoint;
    std::atomic<int> arrived = 0;

private:
    void happened(event_body const& body)
    {
        request_arrived const* const request =
            std::get_if<request_arrived>(&body);
        if (request == nullptr)
        {
            return;
        }
        ++this->arrived;
        if (!this->start)
        {
            return;
        }
        start_attempt order;
        order.request = request->request;
        order.grant.attempt.value = request->request.value;
        order.grant.where = this->endpoint;
        order.time_limit = milliseconds(30'000);
        this->subject->start(order);
    }

    bool start;
    net::io_context context{1};
    net::io_context endpoint_context{1};
    std::unique_ptr<gateway> subject;
    std::thread gateway_thread;
    std::thread endpoint_thread;
};

void run_loop(benchmark::State& state, loop_settings loop)
{
    loop.callers = static_cast<int>(state.range(0));
    loop.body_bytes = static_cast<std::size_t>(state.range(1));
    loop.requests = requests_per_caller;
    std::int64_t answered = 0;
    // NOLINTNEXTLINE(clang-analyzer-deadcode.DeadStores)
    for (auto _ : state)
    {
        answered += run_callers(loop);
    }
    if (answered != state.iterations() * loop.callers * loop.requests)
    {
        state.SkipWithError("a request failed");
    }
    state.SetItemsProcessed(answered);
    state.SetBytesProcessed(answered * state.range(1));
}

/** Callers to the endpoint, over kept connections. */
void BM_direct_kept(benchmark::State& state)
{
    setting cell(false);
    run_loop(state, {cell.endpoint, "/run", 1, 1, 0, true});
}

/** Callers to the endpoint, a new connection for each request. */
void BM_direct_new(benchmark::State& state)
{
    setting cell(false);
    run_loop(state, {cell.endpoint, "/run", 1, 1, 0, false});
}

/** Callers to the gateway over kept connections, on to the endpoint. */
void BM_gateway(benchmark::State& state)
{
    setting cell(true);
    run_loop(state, {cell.entry, "/v1/requests/render", 1, 1, 0, true});
    state.counters["gateway_cpu_us"] =
        cell.cpu_seconds() * 1e6 / static_cast<double>(cell.arrived.load());
}

constexpr std::int64_t small_bytes = 1024;
constexpr std::int64_t large_bytes = 4L * 1024 * 1024;

void cases(benchmark::internal::Benchmark* bench)
{
    bench->Args({1, small_bytes});
    bench->Args({64, small_bytes});
    bench->Args({1, large_bytes});
    bench->UseRealTime()->Unit(benchmark::kMillisecond);
}

BENCHMARK(BM_direct_kept)->Apply(cases);
BENCHMARK(BM_direct_new)->Apply(cases);
BENCHMARK(BM_gateway)->Apply(cases);

double resident_kib()
{
    std::ifstream file("/proc/self/statm");
    double all = 0;
    double resident = 0;
    file >> all >> resident;
    return resident * static_cast<double>(sysconf(_SC_PAGESIZE)) / 1024;
}

/** Resident memory of requests that wait, with a body of 1 KiB each. */
void BM_waiting_memory(benchmark::State& state)
{
    std::string const text =
        "POST /v1/requests/render HTTP/1.1\r\nHost: entry\r\n"
        "Cicada-Tenant: paper\r\nContent-Length: 1024\r\n\r\n" +
        std::string(small_bytes, 'b');
    double grown = 0;
    // NOLINTNEXTLINE(clang-analyzer-deadcode.DeadStores)
    for (auto _ : state)
    {
        setting cell(false);
        net::io_context context;
        std::vector<tcp::socket> callers;
        callers.reserve(static_cast<std::size_t>(state.range(0)));
        double const before = resident_kib();
        for (std::int64_t count = 0; count < state.range(0); ++count)
        {
            callers.emplace_back(context);
            callers.back().connect(
                {net::ip::make_address(cell.entry.host), cell.entry.port});
            net::write(callers.back(), net::buffer(text));
            while (cell.arrived.load() <= count)
            {
                std::this_thread::yield();
            }
        }
        grown = resident_kib() - before;
    }
    state.counters["kib_in_all"] = grown;
    state.counters["kib_each"] = grown / static_cast<double>(state.range(0));
}

BENCHMARK(BM_waiting_memory)
    ->Arg(100)
    ->Arg(1'000)
    ->Arg(2'000)
    ->Iterations(1)
    ->Unit(benchmark::kMillisecond);

} // namespace
} // namespace cicada::benchmark_gateway
