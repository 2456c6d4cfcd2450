#pragma once

#include "base/base.hpp"

#include <utility>

#include <boost/asio/io_context.hpp>

/** What the benchmarks put at both sides of a gateway. */
namespace cicada::benchmark_gateway
{

/** An endpoint that reads a request and answers 200 at once, on `context`. */
address spawn_endpoint(boost::asio::io_context& context);

/** What a closed loop of callers does. */
struct loop_settings
{
    address where;
    std::string target;
    int callers = 1;
    int requests = 1; //!< of each caller
    std::size_t body_bytes = 0;
    bool keep = true; //!< one connection per caller, not per request
};

/** Runs the loop to its end; the number of answers with status 200. */
int run_callers(loop_settings const& loop);

} // namespace cicada::benchmark_gateway
