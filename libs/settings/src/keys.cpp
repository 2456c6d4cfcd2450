#include "keys.hpp"

#include <sstream>

namespace cicada
{
namespace
{

using draft = settings_draft;
using text = std::string;

constexpr std::size_t shortest_token = 16;
constexpr char ip_and_port[] = "IP:port";

bool read_name(std::string& field, text const& value)
{
    field = value;
    return is_plain_name(value);
}

bool read_token(secret& field, text const& value)
{
    field.value = value;
    return value.size() >= shortest_token;
}

bool read_path(std::string& field, text const& value)
{
    field = value;
    return !value.empty();
}

bool read_addresses(std::vector<address>& field, text const& value)
{
    std::istringstream words(value);
    std::string word;
    while (std::getline(words, word, ','))
    {
        std::size_t const first = word.find_first_not_of(' ');
        std::optional<address> const each =
            parse_address(first == text::npos ? "" : word.substr(first));
        if (!each)
        {
            return false;
        }
        field.push_back(*each);
    }
    return !field.empty();
}

bool read_level(log_level& field, text const& value)
{
    field = value == "error"     ? log_level::error
            : value == "warning" ? log_level::warning
                                 : log_level::info;
    return value == "info" || value == "warning" || value == "error";
}

template <class Field>
bool read_count(Field& field,
                text const& value,
                std::int64_t low,
                std::int64_t high)
{
    return store_value(field, within(parse_count(value), low, high));
}

bool read_memory(std::int64_t& field,
                 text const& value,
                 std::int64_t low_mib,
                 std::int64_t high_mib)
{
    return store_value(field,
                       within(parse_memory_mib(value), low_mib, high_mib));
}

bool read_time(milliseconds& field,
               text const& value,
               milliseconds low,
               milliseconds high)
{
    return store_value(field, within(parse_duration(value), low, high));
}

constexpr milliseconds ms(std::int64_t count)
{
    return milliseconds(count);
}

std::vector<setting_key> identity_keys()
{
    return {
        {"daemon",
         {"name",
          "lower-case letters, digits, hyphens; at most 63",
          [](draft& d, text const& v)
          {
              return read_name(d.settings.core.self.name.value, v);
          }},
         "required",
         "this daemon's name, its own in the cell"},
        {"daemon",
         {"zone",
          "lower-case letters, digits, hyphens; at most 63",
          [](draft& d, text const& v)
          {
              return read_name(d.settings.core.self.zone.value, v);
          }},
         "required",
         "the availability zone it runs in"},
    };
}

std::vector<setting_key> caller_keys()
{
    return {
        {"callers",
         {"listen",
          ip_and_port,
          [](draft& d, text const& v)
          {
              return store_value(d.settings.callers_listen, parse_address(v));
          }},
         "required",
         "where callers' HTTP requests come in"},
        {"callers",
         {"max-body",
          "1MiB to 1024MiB",
          [](draft& d, text const& v)
          {
              return read_memory(d.settings.callers.max_body_mib, v, 1, 1024);
          }},
         "64MiB",
         "largest body of a request"},
        {"callers",
         {"max-replay-kib",
          "0 to 16384",
          [](draft& d, text const& v)
          {
              return read_count(
                  d.settings.callers.max_replay_kib, v, 0, 16'384);
          }},
         "1024",
         "largest body, in KiB, that is held to be sent again"},
        {"callers",
         {"max-connections",
          "1 to 60000",
          [](draft& d, text const& v)
          {
              return read_count(
                  d.settings.callers.max_connections, v, 1, 60'000);
          }},
         "4096",
         "open connections of all callers"},
        {"callers",
         {"max-connections-per-address",
          "1 to 60000",
          [](draft& d, text const& v)
          {
              return read_count(
                  d.settings.callers.max_connections_per_address, v, 1, 60'000);
          }},
         "512",
         "open connections from one IP number"},
        {"callers",
         {"head-timeout",
          "100ms to 10m",
          [](draft& d, text const& v)
          {
              return read_time(
                  d.settings.callers.head_timeout, v, ms(100), ms(600'000));
          }},
         "10s",
         "for the whole head of a request"},
        {"callers",
         {"body-timeout",
          "100ms to 10m",
          [](draft& d, text const& v)
          {
              return read_time(
                  d.settings.callers.body_timeout, v, ms(100), ms(600'000));
          }},
         "30s",
         "without a byte of the body"},
    };
}

std::vector<setting_key> operator_keys()
{
    return {
        {"operators",
         {"listen",
          ip_and_port,
          [](draft& d, text const& v)
          {
              return store_value(d.settings.operators_listen, parse_address(v));
          }},
         "required",
         "where cicadactl and metrics readers come in"},
        {"operators",
         {"advertise",
          ip_and_port,
          [](draft& d, text const& v)
          {
              return store_value(d.operators_advertise, parse_address(v));
          }},
         "as listen",
         "the same, as others reach it"},
        {"operators",
         {"token",
          "at least 16 bytes",
          [](draft& d, text const& v)
          {
              return read_token(d.settings.operators_token, v);
          }},
         "this or token-file required",
         "bearer token of the operators"},
        {"operators",
         {"token-file",
          "path of a file",
          [](draft& d, text const& v)
          {
              return read_path(d.operators_token_file, v);
          }},
         "this or token required",
         "file that holds the token"},
    };
}

std::vector<setting_key> link_keys()
{
    return {
        {"link",
         {"listen",
          ip_and_port,
          [](draft& d, text const& v)
          {
              return store_value(d.settings.link_listen, parse_address(v));
          }},
         "required",
         "where peers connect"},
        {"link",
         {"advertise",
          ip_and_port,
          [](draft& d, text const& v)
          {
              return store_value(d.link_advertise, parse_address(v));
          }},
         "as listen",
         "the same, as peers reach it"},
        {"link",
         {"token",
          "at least 16 bytes",
          [](draft& d, text const& v)
          {
              return read_token(d.settings.link_token, v);
          }},
         "this or token-file required",
         "shared by all daemons of the cell"},
        {"link",
         {"token-file",
          "path of a file",
          [](draft& d, text const& v)
          {
              return read_path(d.link_token_file, v);
          }},
         "this or token required",
         "file that holds the token"},
    };
}

std::vector<setting_key> platform_keys()
{
    return {
        {"store",
         {"addresses",
          "IP:port, IP:port, ...",
          [](draft& d, text const& v)
          {
              return read_addresses(d.settings.store_addresses, v);
          }},
         "required",
         "the platform's key-value service, tried in this order"},
        {"store",
         {"calls-per-second",
          "1 to 10000",
          [](draft& d, text const& v)
          {
              return read_count(
                  d.settings.store_calls_per_second, v, 1, 10'000);
          }},
         "200",
         "most calls this daemon makes to it"},
        {"instances",
         {"address",
          ip_and_port,
          [](draft& d, text const& v)
          {
              return store_value(d.settings.instances, parse_address(v));
          }},
         "required",
         "the platform's list of instances"},
        {"instances",
         {"period",
          "100ms to 1m",
          [](draft& d, text const& v)
          {
              return read_time(
                  d.settings.instances_period, v, ms(100), ms(60'000));
          }},
         "1s",
         "between two readings of the list"},
    };
}

std::vector<setting_key> timing_keys()
{
    return {
        {"timing",
         {"heartbeat-period",
          "50ms to 10s",
          [](draft& d, text const& v)
          {
              return read_time(
                  d.settings.core.heartbeat_period, v, ms(50), ms(10'000));
          }},
         "500ms",
         "between two heartbeats to a peer"},
        {"timing",
         {"peer-timeout",
          "100ms to 1m",
          [](draft& d, text const& v)
          {
              return read_time(
                  d.settings.core.peer_timeout, v, ms(100), ms(60'000));
          }},
         "2s",
         "silence that takes a peer as down"},
        {"timing",
         {"member-lease",
          "500ms to 1m",
          [](draft& d, text const& v)
          {
              return read_time(
                  d.settings.core.member_lease, v, ms(500), ms(60'000));
          }},
         "3s",
         "the daemon's lease in the platform's service"},
        {"timing",
         {"sync-wait",
          "0 to 30s",
          [](draft& d, text const& v)
          {
              return read_time(d.settings.core.sync_wait, v, ms(0), ms(30'000));
          }},
         "2s",
         "a worker or endpoint may hold a sync so long"},
        {"timing",
         {"agent-timeout",
          "100ms to 1m",
          [](draft& d, text const& v)
          {
              return read_time(
                  d.settings.core.agent_timeout, v, ms(100), ms(60'000));
          }},
         "4s",
         "silence that takes a worker or endpoint out of rotation"},
        {"timing",
         {"task-lease",
          "1s to 10m",
          [](draft& d, text const& v)
          {
              return read_time(
                  d.settings.core.task_lease, v, ms(1'000), ms(600'000));
          }},
         "15s",
         "a worker ends a task this long after the last sync"},
        {"timing",
         {"grant-start-within",
          "10ms to 10s",
          [](draft& d, text const& v)
          {
              return read_time(
                  d.settings.core.grant_start_within, v, ms(10), ms(10'000));
          }},
         "1s",
         "an attempt starts within this of its grant or not at all"},
        {"timing",
         {"store-timeout",
          "50ms to 30s",
          [](draft& d, text const& v)
          {
              return read_time(
                  d.settings.core.store_timeout, v, ms(50), ms(30'000));
          }},
         "2s",
         "for one call to the platform's service"},
    };
}

std::vector<setting_key> output_keys()
{
    return {
        {"log",
         {"level",
          "info, warning, error",
          [](draft& d, text const& v)
          {
              return read_level(d.settings.level, v);
          }},
         "info",
         "least severe event that is logged"},
        {"log",
         {"directory",
          "path of a directory",
          [](draft& d, text const& v)
          {
              return read_path(d.settings.log_directory, v);
          }},
         "standard error stream",
         "where log files go"},
        {"metrics",
         {"tenants",
          "1 to 1000",
          [](draft& d, text const& v)
          {
              return read_count(d.settings.metrics_tenants, v, 1, 1'000);
          }},
         "64",
         "tenants with their own label; later ones are \"other\""},
    };
}

std::vector<setting_key> make_keys()
{
    std::vector<setting_key> keys;
    for (std::vector<setting_key> const& part : {identity_keys(),
                                                 caller_keys(),
                                                 operator_keys(),
                                                 link_keys(),
                                                 platform_keys(),
                                                 timing_keys(),
                                                 output_keys()})
    {
        keys.insert(keys.end(), part.begin(), part.end());
    }
    return keys;
}

} // namespace

std::vector<setting_key> const& setting_keys()
{
    static std::vector<setting_key> const keys = make_keys();
    return keys;
}

} // namespace cicada
