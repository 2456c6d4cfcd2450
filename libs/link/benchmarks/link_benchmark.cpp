#include "link/link.hpp"

#include <benchmark/benchmark.h>
#include <unistd.h>

#include <atomic>
#include <fstream>
#include <thread>
#include <vector>

namespace cicada
{
namespace
{

constexpr std::size_t heartbeat_bytes = 1224; //!< of 33 workloads

double resident_kib()
{
    std::ifstream statm("/proc/self/statm");
    long total = 0;
    long resident = 0;
    statm >> total >> resident;
    constexpr double bytes_per_kib = 1024;
    return static_cast<double>(resident) *
           static_cast<double>(sysconf(_SC_PAGESIZE)) / bytes_per_kib;
}

/** Daemons on loopback, each linked to all the others. */
struct mesh
{
    explicit mesh(int size)
    {
        for (int index = 0; index < size; ++index)
        {
            link_settings settings;
            settings.name = "daemon-" + std::to_string(index);
            settings.token = "token";
            this->links.push_back(std::make_unique<peer_link>(
                settings,
                link_handlers{[this](std::string const&)
                              {
                                  ++this->ups;
                              },
                              [](std::string const&, std::string const&) {},
                              [this](std::string const&, std::string const&)
                              {
                                  ++this->received;
                              }}));
            this->failed = this->failed || !this->links.back()->start().empty();
        }
        this->connect_all();
    }

    void connect_all()
    {
        int const size = static_cast<int>(this->links.size());
        for (int from = 0; from < size; ++from)
        {
            for (int to = from + 1; to < size; ++to)
            {
                this->links[static_cast<std::size_t>(from)]->connect(
                    "daemon-" + std::to_string(to),
                    "127.0.0.1",
                    this->links[static_cast<std::size_t>(to)]->port());
            }
        }
        while (!this->failed && this->ups < size * (size - 1))
        {
            std::this_thread::yield();
        }
    }

    /** Every daemon sends one heartbeat to every other; all arrive. */
    void beat()
    {
        int const size = static_cast<int>(this->links.size());
        std::string const bytes(heartbeat_bytes, 'x');
        int const wanted = this->received + size * (size - 1);
        for (std::unique_ptr<peer_link> const& link : this->links)
        {
            for (int to = 0; to < size; ++to)
            {
                link->send("daemon-" + std::to_string(to), bytes, "heartbeat");
            }
        }
        while (!this->failed && this->received < wanted)
        {
            std::this_thread::yield();
        }
    }

    std::atomic<int> ups{0};
    std::atomic<int> received{0};
    bool failed = false;
    std::vector<std::unique_ptr<peer_link>> links;
};

void BM_heartbeats_of_all(benchmark::State& state)
{
    static double const before = resident_kib();
    mesh daemons(static_cast<int>(state.range(0)));
    for (auto unused : state)
    {
        (void)unused;
        daemons.beat();
    }
    double const links = static_cast<double>(state.range(0));
    state.counters["bytes"] =
        static_cast<double>(heartbeat_bytes) * links * (links - 1);
    state.counters["kib_per_daemon"] = (resident_kib() - before) / links;
}

BENCHMARK(BM_heartbeats_of_all)
    ->Arg(2)
    ->Arg(9)
    ->UseRealTime()
    ->Unit(benchmark::kMillisecond);

} // namespace
} // namespace cicada
