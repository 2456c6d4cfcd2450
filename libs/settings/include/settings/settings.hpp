#pragma once

#include "core/core.hpp"
#include "ini/ini.hpp"

#include <functional>

/**
 * The daemon's settings: an INI text made into one typed value, or all that
 * is wrong with it at once. Each key is in docs/SETTINGS.md. All functions may
 * be called from any thread.
 */
namespace cicada
{

/** A value that no text for people ever shows. */
struct secret
{
    std::string value;

    bool operator==(secret const&) const = default;
};

/** Always "(secret)". */
std::string to_string(secret const& hidden);

/** Least severe event that is logged. */
enum class log_level
{
    info,
    warning,
    error
};

/** Bounds on what callers may take. */
struct caller_limits
{
    std::int64_t max_body_mib = 64;        //!< of one request
    std::int64_t max_replay_kib = 1'024;   //!< of a body held to send again
    int max_connections = 4'096;           //!< from all callers
    int max_connections_per_address = 512; //!< from one IP number
    milliseconds head_timeout{10'000};     //!< for a whole request head
    milliseconds body_timeout{30'000};     //!< without a byte of the body

    bool operator==(caller_limits const&) const = default;
};

/** All that a daemon is told by its settings. */
struct cicadad_settings
{
    daemon_settings core; //!< name, zone, addresses and periods too
    address callers_listen;
    address operators_listen;
    secret operators_token;
    address link_listen;
    secret link_token;
    std::vector<address> store_addresses; //!< tried in this order
    int store_calls_per_second = 200;     //!< by this daemon
    address instances;                    //!< the platform's list
    milliseconds instances_period{1'000};
    caller_limits callers;
    log_level level = log_level::info;
    std::string log_directory; //!< empty: the standard error stream
    int metrics_tenants = 64;  //!< labelled; those beyond are "other"

    bool operator==(cicadad_settings const&) const = default;
};

/** Reads a small file; the error says why not. */
using file_reader = std::function<result<std::string>(std::string const& path)>;

/**
 * Reads settings. `incarnation` of the result's core is left for the caller.
 *
 * @param read_file reads the files that `token-file` keys name
 */
checked<cicadad_settings> parse_settings(std::string const& text,
                                         file_reader const& read_file);

/** Reads settings from a file. */
checked<cicadad_settings> load_settings(std::string const& path);

/** One key, as docs/SETTINGS.md has it. */
struct setting_reference
{
    std::string section;
    std::string key;
    std::string allowed;       //!< unit and range
    std::string default_value; //!< or "required"
    std::string meaning;

    bool operator==(setting_reference const&) const = default;
};

/** Every key, by section. */
std::vector<setting_reference> settings_reference();

} // namespace cicada
