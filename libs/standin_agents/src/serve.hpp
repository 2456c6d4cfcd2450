#pragma once

#include "server.hpp"

#include <boost/asio/awaitable.hpp>

/** What the coroutines share; only they include it. */
namespace cicada::standin
{

using task = boost::asio::awaitable<void>;

/** Answers a POST /run whose head was read; false: close the connection. */
boost::asio::awaitable<bool>
serve_run(server_state& server,
          agent_host& agent,
          connection& from,
          http::request_parser<http::buffer_body>& parser);

/** Waits; an end of the wait from outside is no error. */
task wait_for(milliseconds length);

/** Waits while the agent is paused or this connection is to be silent. */
task wait_while_stuck(agent_host const& agent, connection const& on);

} // namespace cicada::standin
