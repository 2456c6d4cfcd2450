#pragma once

#include <websocketpp/client.hpp>
#include <websocketpp/config/asio_no_tls.hpp>
#include <websocketpp/config/asio_no_tls_client.hpp>
#include <websocketpp/server.hpp>

/**
 * The websocket library as the link uses it: one configuration for both ends,
 * so that a dialed and an accepted connection are of one type.
 */
namespace cicada::websocket
{

/** No log, and bounded waits for what the link's own timer doesn't see. */
struct config : websocketpp::config::asio_client
{
    static constexpr websocketpp::log::level alog_level =
        websocketpp::log::alevel::none;
    static constexpr websocketpp::log::level elog_level =
        websocketpp::log::elevel::none;

    struct transport_config : websocketpp::config::asio_client::transport_config
    {
        static constexpr long timeout_connect = 2000;
        static constexpr long timeout_dns_resolve = 2000;
        static constexpr long timeout_socket_shutdown = 500;
    };

    using transport_type =
        websocketpp::transport::asio::endpoint<transport_config>;
};

using client = websocketpp::client<config>;
using server = websocketpp::server<config>;
using connection = client::connection_type;
using connection_ptr = client::connection_ptr;
using message_ptr = client::message_ptr;

static_assert(std::is_same_v<connection_ptr, server::connection_ptr>);

} // namespace cicada::websocket
