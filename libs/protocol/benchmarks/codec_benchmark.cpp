#include "protocol/protocol.hpp"

#include <benchmark/benchmark.h>

namespace cicada
{
namespace
{

/** A heartbeat of a cell with as many workloads as the argument says. */
heartbeat full_heartbeat(std::int64_t workloads)
{
    heartbeat out;
    out.note_number = 41;
    out.table_version = 97;
    out.free = resources{812'000, 1'600'000, 4};
    out.largest_free = resources{31'000, 64'000, 1};
    for (std::int64_t index = 0; index < workloads; ++index)
    {
        out.adverts.push_back(
            pool_advert{pool_id{"pool-" + std::to_string(index)},
                        96,
                        17,
                        230,
                        milliseconds(1'450)});
    }
    return out;
}

void BM_encode_heartbeat(benchmark::State& state)
{
    peer_message const message = full_heartbeat(state.range(0));
    std::size_t size = 0;
    for (auto unused : state)
    {
        (void)unused;
        size = encode_peer_message(message).size();
    }
    state.counters["bytes"] = static_cast<double>(size);
}

void BM_decode_heartbeat(benchmark::State& state)
{
    std::string const bytes =
        encode_peer_message(full_heartbeat(state.range(0)));
    for (auto unused : state)
    {
        (void)unused;
        benchmark::DoNotOptimize(decode_peer_message(bytes));
    }
}

void BM_encode_slot_request(benchmark::State& state)
{
    peer_message const message = slot_request{request_id{"d1-0000000000012345"},
                                              workload_id{"parent-ping"},
                                              tenant_id{"district-7"},
                                              work_class::normal,
                                              milliseconds(28'000),
                                              pool_id{"notice-hub"}};
    std::size_t size = 0;
    for (auto unused : state)
    {
        (void)unused;
        size = encode_peer_message(message).size();
    }
    state.counters["bytes"] = static_cast<double>(size);
}

BENCHMARK(BM_encode_heartbeat)->Arg(1)->Arg(33);
BENCHMARK(BM_decode_heartbeat)->Arg(1)->Arg(33);
BENCHMARK(BM_encode_slot_request);

} // namespace
} // namespace cicada
