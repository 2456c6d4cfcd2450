#pragma once

#include "protocol/protocol.hpp"

namespace cicada
{

/** One pool that the stand-in endpoints serve. */
struct served_pool
{
    pool_id name;
    milliseconds service_time{10};

    bool operator==(served_pool const&) const = default;
};

/** What cicada_standin is told on its command line. */
struct standin_options
{
    std::string host = "127.0.0.1";
    int workers = 50;
    int endpoints = 50;
    int slots = 8;
    int zones = 4;
    int racks_per_zone = 2;
    int worker_cores = 32;
    int worker_memory_gib = 64;
    int worker_accelerators = 0;
    std::vector<served_pool> pools;
    std::uint16_t store_port = 0;
    std::uint16_t control_port = 0;
    milliseconds instance_lag{0};

    bool operator==(standin_options const&) const = default;
};

/** Reads the command line. Errors: invalid_input, with popt's message. */
result<standin_options> read_options(int argc, char const** argv);

/** The workers and endpoints wanted, spread over zones and racks. */
std::vector<instance> make_instances(standin_options const& options);

} // namespace cicada
