#pragma once

#include "http/http.hpp"

#include <map>
#include <memory>

namespace cicada::cell
{

/** The HTTP clients of one worker. Polls and orders have clients of their own:
 * polls wait for an end. */
struct worker_clients
{
    address where;
    std::shared_ptr<http_client> polls;
    std::shared_ptr<http_client> orders;
};

/**
 * The connections to the workers. A worker that has moved gets new clients; the
 * former ones are kept until their calls have ended, since a client drops the
 * calls in progress when it is destroyed, and each call's outcome is awaited.
 */
class worker_connections
{
public:
    explicit worker_connections(boost::asio::io_context& loop);

    worker_clients& at(std::string const& worker, address const& where);

    /** Drops all calls in progress. */
    void clear();

private:
    void keep_until_calls_end(worker_clients const& former);

    boost::asio::io_context& loop;
    std::map<std::string, worker_clients> clients;
};

/** No call to a worker may take longer. */
constexpr milliseconds max_worker_call{2000};

} // namespace cicada::cell
