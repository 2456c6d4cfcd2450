#pragma once

#include "protocol/protocol.hpp"

#include <functional>
#include <memory>

/**
 * Reads the platform's list of instances over HTTP. The list may lag behind the
 * actual instances.
 */
namespace cicada
{

/**
 * Called on a thread of the HTTP library. `std::nullopt`: the list is unchanged
 * since the last successful read.
 */
using instances_handler =
    std::function<void(result<std::optional<std::vector<instance>>> const&)>;

/**
 * Reads the list of one server. read() may be called from any thread, but only
 * one call may be in flight at a time.
 */
class instances_client
{
public:
    /** `time_limit` is the timeout of each call. */
    instances_client(address const& where, milliseconds time_limit);
    ~instances_client();

    instances_client(instances_client const&) = delete;
    instances_client& operator=(instances_client const&) = delete;

    /**
     * Requests the list. The handler may be called after the client is
     * destroyed.
     *
     * Errors: unavailable; invalid_input for a malformed list.
     */
    void read(instances_handler const& handler);

private:
    struct impl;
    std::shared_ptr<impl> implementation;
};

} // namespace cicada
