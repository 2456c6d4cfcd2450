#pragma once

#include "base/base.hpp"
#include "ini/ini.hpp"

#include <memory>
#include <string>

/**
 * One daemon of a cell on the users' platform: takes callers' jobs, and places
 * all of the cell's tasks while it holds the placer's key. It has no disk;
 * what must last is in the platform's store. docs/design/platform.md.
 */
namespace cicada::cell
{

/** What the settings file says; docs/SETTINGS-CELL.md has every key. */
struct cell_settings
{
    std::string name;
    std::string zone;
    address callers;
    address readiness;
    address link;
    address metrics;
    address store;
    address advisor;                //!< host empty: no advice to be had
    milliseconds lease_limit{6000}; //!< the longest that workers grant
    milliseconds stop_limit{6000};  //!< after SIGTERM, until SIGKILL
    int descriptors = 4096;
    int milli_cores = 1000; //!< of the instance, in thousandths

    bool operator==(cell_settings const&) const = default;
};

/** Every problem of the text at once; unknown keys are passed over. */
checked<cell_settings> read_settings(std::string const& text);

/** Reads a file; a file that can't be read is a problem without a line. */
checked<cell_settings> load_settings(std::string const& path);

class cell_daemon
{
public:
    /** Opens the addresses. Errors: unavailable. */
    static result<std::unique_ptr<cell_daemon>>
    open(cell_settings const& settings, std::string const& settings_file);

    ~cell_daemon();

    /** Serves until SIGTERM or SIGINT; SIGHUP reads the settings again. */
    void run();

private:
    struct impl;
    explicit cell_daemon(std::unique_ptr<impl> made);
    std::unique_ptr<impl> self;
};

} // namespace cicada::cell
