#pragma once

#include "store/store.hpp"

namespace cicada::store_detail
{

/** How far an HTTP exchange came. */
enum class exchange_result
{
    answered, //!< a whole answer, whatever its status
    not_sent, //!< no byte of the body was sent
    unknown   //!< sent, in part or whole, and no whole answer
};

/** The end of an HTTP exchange. */
struct exchange
{
    exchange_result how = exchange_result::unknown;
    int status = 0;      //!< HTTP
    std::string body;    //!< of the answer
    std::string message; //!< why there is none
};

/** Which connection a call may use. */
enum class connection_use
{
    kept, //!< one that was used before; the call may arrive twice
    fresh //!< one of its own; the call arrives at most once
};

/** What is sent. */
struct outgoing
{
    address where;
    std::string path;
    std::string body; //!< JSON, never empty
    connection_use use = connection_use::kept;
};

using exchange_handler = std::function<void(exchange const&)>;
using line_handler = std::function<void(std::string const&)>;
using end_handler = std::function<void(std::string const& message)>;

/** Ends an exchange or stream at once; its end handler may still be called. */
using cancel_function = std::function<void()>;

/**
 * HTTP by cpprestsdk. Handlers are called on its threads. It has no deadline
 * of its own that callers may rely on: they cancel. Thread-safe.
 */
class transport
{
public:
    transport();
    ~transport();

    transport(transport const&) = delete;
    transport& operator=(transport const&) = delete;

    /** Posts and reads the whole answer. */
    cancel_function post(outgoing const& what, exchange_handler const& handler);

    /** Posts on a fresh connection and reads the answer line by line. */
    cancel_function stream(outgoing const& what,
                           line_handler const& on_line,
                           end_handler const& on_end);

    /** Lets go of the connections kept to `where`, as they may be silent. */
    void drop_kept(address const& where);

private:
    struct impl;
    std::unique_ptr<impl> self;
};

} // namespace cicada::store_detail
