#pragma once

#include "loop.hpp"
#include "metrics/metrics.hpp"
#include "operators/operators.hpp"
#include "store_session.hpp"

#include <atomic>

/** The operators' interface of this daemon. */
namespace cicada
{

/** What the operators' interface reads and does; all outlive it. */
struct operators_parts
{
    address where;
    std::string token;
    member self;
    state const* reducer = nullptr;            //!< on the decision thread only
    store_session const* store = nullptr;      //!< on the decision thread only
    store_client* store_calls = nullptr;       //!< any thread
    metrics_registry const* metrics = nullptr; //!< any thread
    std::function<void()> drain;               //!< on the decision thread only
};

class operators_session
{
public:
    /** `run` outlives this object. */
    explicit operators_session(loop& run);

    /** Listens. Errors: unavailable. */
    result<void> open(operators_parts const& parts);

    /** Calls that wait for the decision thread give up; it is ending. */
    void stop_answering();

    /** Stops listening. */
    void close();

private:
    operators_callbacks make_callbacks();
    operators_view read_view() const;
    std::string read_metrics();

    /** Runs `read` on the decision thread; empty if it doesn't come round. */
    template <class Value>
    Value ask(std::function<Value()> const& read);

    loop& run;
    operators_parts parts;
    std::atomic<bool> ending{false};
    std::unique_ptr<operators_server> server;
};

} // namespace cicada
