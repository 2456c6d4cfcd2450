#pragma once

#include "model/model.hpp"

#include <optional>
#include <string>
#include <vector>

/** What cicada_load is told on its command line. */
namespace cicada::load
{

/** One tenant's stream of requests. */
struct tenant_load
{
    std::string tenant;
    work_class urgency = work_class::normal;
    std::string workload;
    double rate = 1; //!< requests per second
    std::size_t body_bytes = 0;
    std::optional<int> service_ms; //!< of the stand-in endpoint
    bool idempotent = true;

    bool operator==(tenant_load const&) const = default;
};

struct options
{
    std::vector<address> entries; //!< taken in turn
    std::vector<tenant_load> tenants;
    int seconds = 10;
    int connections = 1000; //!< requests under way at once
    std::uint64_t seed = 1;
    bool json = false;
    std::optional<address> verify; //!< the stand-in's control

    bool operator==(options const&) const = default;
};

/** Reads the command line. Errors: invalid_input. */
result<options> read_options(int count, char const** words);

} // namespace cicada::load
