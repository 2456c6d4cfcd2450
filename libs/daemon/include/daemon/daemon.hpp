#pragma once

#include "settings/settings.hpp"

#include <memory>

/**
 * The daemon: one decision thread that feeds the reducer, and the parts that
 * turn its effects into calls and answers into events.
 */
namespace cicada
{

/** A daemon in this process. */
class daemon
{
public:
    /**
     * Opens every listener; joins the cell once run() is called.
     *
     * Errors: unavailable, if an address can't be had.
     */
    static result<std::unique_ptr<daemon>>
    open(cicadad_settings const& settings);

    daemon(daemon const&) = delete;
    daemon& operator=(daemon const&) = delete;
    ~daemon();

    /** Runs on the calling thread until the daemon has stopped. */
    void run();

    /** Leaves in order; the second call ends at once. Any thread. */
    void stop();

    /** Where callers call; the port that was free if 0 was asked for. */
    address callers_address() const;

private:
    struct impl;
    explicit daemon(std::unique_ptr<impl> made);

    std::unique_ptr<impl> self;
};

} // namespace cicada
