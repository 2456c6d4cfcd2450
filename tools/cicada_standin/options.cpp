#include "options.hpp"

#include <popt.h>

#include <charconv>
#include <memory>
#include <utility>

namespace cicada
{

namespace
{

using popt_handle =
    std::unique_ptr<poptContext_s, poptContext (*)(poptContext)>;

constexpr int pool_option = 1;
constexpr int port_limit = 65'536;

/** "NAME" or "NAME:SERVICE_MS". */
std::optional<served_pool> parse_pool(std::string const& text)
{
    std::size_t const colon = text.find(':');
    served_pool out;
    out.name = pool_id{text.substr(0, colon)};
    if (out.name.empty() || colon == std::string::npos)
    {
        return out.name.empty() ? std::nullopt
                                : std::optional<served_pool>(out);
    }
    int length = 0;
    char const* const end = text.data() + text.size();
    std::from_chars_result const read =
        std::from_chars(text.data() + colon + 1, end, length);
    if (read.ec != std::errc() || read.ptr != end || length < 0)
    {
        return std::nullopt;
    }
    out.service_time = milliseconds(length);
    return out;
}

error invalid(std::string message)
{
    return error{error_code::invalid_input, std::move(message)};
}

/** Why the numbers make no cell; empty: they do. */
std::string check(standin_options const& options, int store, int control)
{
    bool const counts = options.workers >= 0 && options.endpoints >= 0 &&
                        options.zones > 0 && options.racks_per_zone > 0 &&
                        options.slots > 0;
    bool const ports = store >= 0 && store < port_limit && control >= 0 &&
                       control < port_limit;
    if (!counts || !ports)
    {
        return "a count or port is out of range";
    }
    return {};
}

/** The zone and shard of the `index`th of a kind. */
void place(instance& out, standin_options const& options, int index)
{
    int const zone = index % options.zones;
    int const rack = index / options.zones % options.racks_per_zone;
    out.zone = zone_id{"zone-" + std::to_string(zone + 1)};
    out.shard = shard_id{out.zone.value + "/rack-" + std::to_string(rack + 1)};
    out.where.host = options.host;
}

} // namespace

result<standin_options> read_options(int argc, char const** argv)
{
    standin_options out;
    int store_port = 0;
    int control_port = 0;
    int lag_ms = 0;
    char* host = nullptr;
    char* pool = nullptr;
    int const number = POPT_ARG_INT | POPT_ARGFLAG_SHOW_DEFAULT;
    poptOption const options[] = {
        {"host", 0, POPT_ARG_STRING, &host, 0, "IP number to listen on", "IP"},
        {"workers", 0, number, &out.workers, 0, "workers", "N"},
        {"endpoints", 0, number, &out.endpoints, 0, "endpoints", "N"},
        {"slots", 0, number, &out.slots, 0, "per endpoint", "N"},
        {"zones", 0, number, &out.zones, 0, "zones", "N"},
        {"racks-per-zone", 0, number, &out.racks_per_zone, 0, "racks", "N"},
        {"cores", 0, number, &out.worker_cores, 0, "per worker", "N"},
        {"memory-gib", 0, number, &out.worker_memory_gib, 0, "per worker", "N"},
        {"accelerators",
         0,
         number,
         &out.worker_accelerators,
         0,
         "per worker",
         "N"},
        {"pool",
         0,
         POPT_ARG_STRING,
         &pool,
         pool_option,
         "of endpoints, in turn; may be repeated",
         "NAME[:SERVICE_MS]"},
        {"store-port", 0, number, &store_port, 0, "0: any", "PORT"},
        {"control-port", 0, number, &control_port, 0, "0: any", "PORT"},
        {"instance-lag-ms", 0, number, &lag_ms, 0, "of the list", "MS"},
        POPT_AUTOHELP POPT_TABLEEND};
    popt_handle const context(
        poptGetContext("cicada_standin", argc, argv, options, 0),
        poptFreeContext);
    int code = poptGetNextOpt(context.get());
    while (code == pool_option)
    {
        std::unique_ptr<char, void (*)(void*)> const owned(
            std::exchange(pool, nullptr), free);
        std::optional<served_pool> const parsed = parse_pool(owned.get());
        if (!parsed.has_value())
        {
            return invalid("--pool is NAME[:SERVICE_MS]");
        }
        out.pools.push_back(*parsed);
        code = poptGetNextOpt(context.get());
    }
    std::unique_ptr<char, void (*)(void*)> const owned_host(host, free);
    if (code < -1)
    {
        return invalid(poptStrerror(code));
    }
    std::string const problem = check(out, store_port, control_port);
    if (!problem.empty())
    {
        return invalid(problem);
    }
    out.host = host == nullptr ? out.host : host;
    out.store_port = static_cast<std::uint16_t>(store_port);
    out.control_port = static_cast<std::uint16_t>(control_port);
    out.instance_lag = milliseconds(lag_ms);
    if (out.pools.empty())
    {
        out.pools.push_back(served_pool{pool_id{"notice-hub"}});
    }
    return out;
}

std::vector<instance> make_instances(standin_options const& options)
{
    constexpr int milli = 1000;
    constexpr int mib_per_gib = 1024;
    std::vector<instance> list;
    for (int index = 0; index < options.workers; ++index)
    {
        instance worker;
        worker.name = "worker-" + std::to_string(index + 1);
        worker.capacity =
            resources{std::int64_t{options.worker_cores} * milli,
                      std::int64_t{options.worker_memory_gib} * mib_per_gib,
                      options.worker_accelerators};
        place(worker, options, index);
        list.push_back(worker);
    }
    int const pools = static_cast<int>(options.pools.size());
    for (int index = 0; index < options.endpoints; ++index)
    {
        instance endpoint;
        endpoint.name = "endpoint-" + std::to_string(index + 1);
        endpoint.kind = instance_kind::endpoint;
        endpoint.pool =
            options.pools[static_cast<std::size_t>(index % pools)].name;
        endpoint.slots = options.slots;
        place(endpoint, options, index / pools);
        list.push_back(endpoint);
    }
    return list;
}

} // namespace cicada
