#pragma once

#include "base/base.hpp"
#include "ini/ini.hpp"

#include <memory>
#include <string>

/**
 * One daemon of a cell on the users' platform. It accepts callers' jobs, and
 * schedules all tasks of the cell while it holds the placer's key. It keeps
 * nothing on disk: durable state is in the platform's store.
 * See docs/design/platform.md.
 */
namespace cicada::cell
{

/** The settings file; docs/SETTINGS-CELL.md describes every key. */
struct cell_settings
{
    std::string name;
    std::string zone;
    address callers;
    address readiness;
    address link;
    address metrics;
    address store;
    address advisor; //!< an empty host: no advisor
    /** For the copy of the configuration, after the store answers again. */
    milliseconds catch_up_limit{3000};
    milliseconds lease_limit{6000}; //!< longest lease that workers grant
    milliseconds stop_limit{6000};  //!< from SIGTERM to SIGKILL
    int descriptors = 4096;         //!< limit of open files
    int milli_cores = 1000;         //!< of the instance, in 1/1000 core
    std::int64_t memory_mib = 0;    //!< of the instance; 0: not known

    bool operator==(cell_settings const&) const = default;
};

/** Parses settings; reports all problems at once, ignores unknown keys. */
checked<cell_settings> read_settings(std::string const& text);

/** Reads a settings file; an unreadable file is a problem with line 0. */
checked<cell_settings> load_settings(std::string const& path);

/** A daemon; all its work is done on the thread that calls run(). */
class cell_daemon
{
public:
    /** Listens on all addresses. Errors: unavailable. */
    static result<std::unique_ptr<cell_daemon>>
    open(cell_settings const& settings, std::string const& settings_file);

    ~cell_daemon();

    /** Serves until SIGTERM or SIGINT; SIGHUP reloads the settings file. */
    void run();

private:
    struct impl;
    explicit cell_daemon(std::unique_ptr<impl> created);
    std::unique_ptr<impl> implementation;
};

} // namespace cicada::cell
