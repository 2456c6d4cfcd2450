#pragma once

#include "budget.hpp"
#include "transport.hpp"

#include <utility>

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include <map>
#include <mutex>
#include <random>

/**
 * What the parts of a client share: its loop, its budget, its counts, and the
 * exchanges that are under way. But for what is said, all of it belongs to
 * the loop's thread.
 */
namespace cicada::store_detail
{

using timer_ptr = std::shared_ptr<boost::asio::steady_timer>;

/** One exchange whose handler hasn't been called. */
struct open_exchange
{
    cancel_function cancel;
    timer_ptr limit;
    exchange_handler handler;
};

/** Kinds of calls, as store_counts tells them apart. */
enum class call_kind
{
    read,
    write,
    lease,
    watch
};

/** A budget, as it stands. */
struct open_budget
{
    budget_settings share; //!< this daemon's
    token_bucket bucket;
};

/** See above. */
struct client_context : std::enable_shared_from_this<client_context>
{
    explicit client_context(store_settings const& given);

    store_settings const settings;
    boost::asio::io_context loop{1};
    transport wire;
    open_budget reads;
    open_budget writes;
    std::mt19937_64 random;
    std::size_t endpoint = 0; //!< of the settings', the one to use
    std::uint64_t last_exchange = 0;
    std::map<std::uint64_t, open_exchange> exchanges;

    std::mutex counts_mutex;
    store_counts counts; //!< under its mutex, from any thread
};

using context_ptr = std::shared_ptr<client_context>;

/** The process's monotonic clock. */
instant now();

/** Runs `what` on the loop after a while, unless the timer is cancelled. */
timer_ptr run_after(client_context& context,
                    milliseconds delay,
                    std::function<void()> const& what);

/** The endpoint to use now; there is at least one. */
address current_endpoint(client_context const& context);

/** Uses the next endpoint from now on, if `failed` is still the one in use. */
void leave_endpoint(client_context& context, address const& failed);

/** A number from 0 to 1. */
double random_share(client_context& context);

/** Whether a call waits for the budget. */
enum class budget_use
{
    waits,
    only_counts //!< takes its token, and goes out at once
};

/** Shares the budgets among so many daemons from now on. */
void share_budgets(client_context& context, int sharers);

/**
 * Takes a token for a call of that kind. Returns how long the call must wait;
 * nothing, and no token taken, if that is longer than `most`.
 */
std::optional<milliseconds> reserve(client_context& context,
                                    call_kind kind,
                                    budget_use use,
                                    milliseconds most);

/** Counts a call that goes out. */
void count_call(client_context& context, call_kind kind, std::size_t txns);

/** Posts; after `limit` without an answer the result is `unknown`. */
void start_exchange(client_context& context,
                    outgoing const& what,
                    milliseconds limit,
                    exchange_handler handler);

/** Cancels all exchanges; their handlers are dropped. */
void drop_exchanges(client_context& context);

} // namespace cicada::store_detail
