#pragma once

#include "base/base.hpp"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <cstdint>
#include <limits>
#include <memory>
#include <optional>
#include <set>

/** A loopback proxy that harms the connections that pass through it. */
namespace cicada::soak
{

enum class relay_mode
{
    pass,
    mute_requests, //!< what the caller sends is swallowed
    mute_answers,  //!< what the server sends is swallowed
    refuse         //!< new connections are reset
};

/** Placers, by the epoch of their fencing tokens. */
struct epoch_range
{
    std::uint64_t lowest = 0;
    std::uint64_t highest = std::numeric_limits<std::uint64_t>::max();

    bool operator==(epoch_range const&) const = default;
};

/** Returns the epoch of the placer that made the fencing token. */
std::uint64_t epoch_of(std::uint64_t token);

class relay : public std::enable_shared_from_this<relay>
{
public:
    relay(boost::asio::io_context& loop, address const& target);

    /** Listens on a free port. Errors: unavailable. */
    result<address> listen();
    void stop();

    /** A connection that has lost bytes stays mute for good. */
    void set_mode(relay_mode mode);
    /** Swallows everything, whatever the mode. */
    void set_cut(bool wanted);
    /** A connection whose last token is of another epoch falls silent for
     * good; one without a token passes. */
    void set_epochs(epoch_range const& wanted);
    /** Every chunk arrives this much later. */
    void set_delay(milliseconds delay);
    void reset_all();
    /** Open connections fall silent for good; new ones work. */
    void silence_all();

private:
    class pipe;

    void accept();

    boost::asio::io_context& loop;
    address target;
    boost::asio::ip::tcp::acceptor acceptor;
    std::set<std::shared_ptr<pipe>> pipes;
    relay_mode mode = relay_mode::pass;
    bool cut = false;
    epoch_range epochs;
    milliseconds delay{0};
};

} // namespace cicada::soak
