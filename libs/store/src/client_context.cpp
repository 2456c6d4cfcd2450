#include "client_context.hpp"

#include <boost/asio/post.hpp>

#include <algorithm>

namespace cicada::store_detail
{

namespace
{

void finish(client_context& context, std::uint64_t id, exchange const& how)
{
    std::map<std::uint64_t, open_exchange>::iterator const found =
        context.exchanges.find(id);
    if (found == context.exchanges.end())
    {
        return;
    }
    open_exchange const open = std::move(found->second);
    context.exchanges.erase(found);
    open.limit->cancel();
    open.handler(how);
}

void expire(client_context& context, std::uint64_t id)
{
    std::map<std::uint64_t, open_exchange>::iterator const found =
        context.exchanges.find(id);
    if (found == context.exchanges.end())
    {
        return;
    }
    cancel_function const cancel = found->second.cancel;
    exchange late;
    late.message = "no answer in time";
    finish(context, id, late);
    cancel();
}

/** Brings the end of an exchange from the transport's thread to the loop. */
exchange_handler onto_loop(client_context& context, std::uint64_t id)
{
    std::weak_ptr<client_context> const weak = context.weak_from_this();
    return [weak, id](exchange const& how)
    {
        context_ptr const kept = weak.lock();
        if (kept == nullptr)
        {
            return;
        }
        client_context& there = *kept;
        boost::asio::post(there.loop,
                          [&there, id, how]()
                          {
                              finish(there, id, how);
                          });
    };
}

} // namespace

client_context::client_context(store_settings const& given)
    : settings(given), random(given.seed)
{
    share_budgets(*this, given.sharers);
    this->reads.bucket = full_bucket(this->reads.share, now());
    this->writes.bucket = full_bucket(this->writes.share, now());
}

instant now()
{
    return std::chrono::time_point_cast<milliseconds>(
        std::chrono::steady_clock::now());
}

timer_ptr run_after(client_context& context,
                    milliseconds delay,
                    std::function<void()> const& what)
{
    timer_ptr timer =
        std::make_shared<boost::asio::steady_timer>(context.loop, delay);
    timer->async_wait(
        [timer, what](boost::system::error_code const& cancelled)
        {
            if (!cancelled)
            {
                what();
            }
        });
    return timer;
}

address current_endpoint(client_context const& context)
{
    return context.settings.endpoints[context.endpoint];
}

void leave_endpoint(client_context& context, address const& failed)
{
    if (current_endpoint(context) == failed)
    {
        context.endpoint =
            (context.endpoint + 1) % context.settings.endpoints.size();
    }
}

double random_share(client_context& context)
{
    return std::uniform_real_distribution<double>(0.0, 1.0)(context.random);
}

void share_budgets(client_context& context, int sharers)
{
    store_settings const& cell = context.settings;
    context.reads.share = share_of(cell.read_budget, sharers);
    context.writes.share = share_of(cell.write_budget, sharers);
}

std::optional<milliseconds> reserve(client_context& context,
                                    call_kind kind,
                                    budget_use use,
                                    milliseconds most)
{
    bool const reads = kind == call_kind::read || kind == call_kind::watch;
    open_budget& budget = reads ? context.reads : context.writes;
    budget_grant const grant = take_token(budget.share, budget.bucket, now());
    bool const waits = use == budget_use::waits;
    if (waits && grant.delay > most)
    {
        return std::nullopt;
    }
    budget.bucket = grant.rest;
    if (!waits || grant.delay == milliseconds(0))
    {
        return milliseconds(0);
    }
    std::lock_guard<std::mutex> const lock(context.counts_mutex);
    store_counts& counts = context.counts;
    counts.delayed += 1;
    counts.delay += grant.delay;
    counts.longest_delay = std::max(counts.longest_delay, grant.delay);
    return grant.delay;
}

void count_call(client_context& context, call_kind kind, std::size_t txns)
{
    std::lock_guard<std::mutex> const lock(context.counts_mutex);
    store_counts& counts = context.counts;
    counts.reads += kind == call_kind::read ? 1 : 0;
    counts.writes += kind == call_kind::write ? 1 : 0;
    counts.leases += kind == call_kind::lease ? 1 : 0;
    counts.watches += kind == call_kind::watch ? 1 : 0;
    counts.txns += static_cast<std::int64_t>(txns);
}

void start_exchange(client_context& context,
                    outgoing const& what,
                    milliseconds limit,
                    exchange_handler handler)
{
    std::uint64_t const id = ++context.last_exchange;
    open_exchange& open = context.exchanges[id];
    open.handler = std::move(handler);
    open.limit = run_after(context,
                           limit,
                           [&context, id]()
                           {
                               expire(context, id);
                           });
    open.cancel = context.wire.post(what, onto_loop(context, id));
}

void drop_exchanges(client_context& context)
{
    std::map<std::uint64_t, open_exchange> const dropped =
        std::move(context.exchanges);
    context.exchanges.clear();
    for (std::pair<std::uint64_t const, open_exchange> const& each : dropped)
    {
        each.second.limit->cancel();
        each.second.cancel();
    }
}

} // namespace cicada::store_detail
