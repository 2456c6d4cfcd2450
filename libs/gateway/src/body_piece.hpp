#pragma once

#include "connection.hpp"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/http/buffer_body.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/read.hpp>

#include <span>

/** Bodies of requests and answers, read in pieces as they come. */
namespace cicada
{

namespace http = boost::beast::http;

/** A piece of a body. */
struct body_piece
{
    std::size_t bytes = 0;
    bool last = false; //!< the body is whole with this piece
    io_error failure;
};

/** A completion token that keeps the failure as a value. */
inline auto into(io_error& failure)
{
    return net::redirect_error(net::use_awaitable, failure);
}

/** Reads at least one byte into `space`, or the body's end. */
template <class Parser>
net::awaitable<body_piece>
read_piece(connection& from, Parser& parser, std::span<char> space)
{
    body_piece piece;
    http::buffer_body::value_type& body = parser.get().body();
    while (piece.bytes == 0 && !parser.is_done() && !piece.failure)
    {
        body.data = space.data();
        body.size = space.size();
        co_await http::async_read_some(
            from.socket, from.buffer, parser, into(piece.failure));
        if (piece.failure == http::error::need_buffer)
        {
            piece.failure = {};
        }
        piece.bytes = space.size() - body.size;
    }
    piece.last = parser.is_done();
    co_return piece;
}

} // namespace cicada
