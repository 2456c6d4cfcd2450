#include "store/store.hpp"

#include "codec.hpp"
#include "kept_call.hpp"
#include "watcher.hpp"
#include "writer.hpp"

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/post.hpp>

#include <algorithm>
#include <thread>

namespace cicada
{

using namespace store_detail;

namespace
{

constexpr int status_not_found = 404;
constexpr char const* no_endpoints = "no endpoints are set";

using work_guard =
    boost::asio::executor_work_guard<boost::asio::io_context::executor_type>;

/** Hands the answer to a lease call on, read by `decode`. */
exchange_handler
lease_answers(lease_handler const& handler,
              result<lease_answer> (*decode)(std::string const&))
{
    return [handler, decode](exchange const& how)
    {
        if (!is_good(how))
        {
            handler(error_of(how));
            return;
        }
        handler(decode(how.body));
    };
}

/** A read that got no answer has no effect, wherever it was lost. */
error range_error(exchange const& how)
{
    error why = error_of(how);
    bool const lost = why.code == error_code::unknown;
    why.code = lost ? error_code::unavailable : why.code;
    return why;
}

exchange_handler range_answers(range_handler const& handler)
{
    return [handler](exchange const& how)
    {
        if (!is_good(how))
        {
            handler(range_error(how));
            return;
        }
        handler(decode_range(how.body));
    };
}

exchange_handler revoke_answers(lease_id lease, lease_handler const& handler)
{
    return [lease, handler](exchange const& how)
    {
        bool const gone = how.how == exchange_result::answered &&
                          how.status == status_not_found;
        if (!gone && !is_good(how))
        {
            handler(error_of(how));
            return;
        }
        handler(lease_answer{lease, milliseconds(0)});
    };
}

} // namespace

struct store_client::impl
{
    explicit impl(store_settings const& settings)
        : context(std::make_shared<client_context>(settings)),
          commits(*context), work(context->loop.get_executor())
    {
    }

    context_ptr context;
    writer commits;
    std::map<std::uint64_t, std::shared_ptr<watcher>> watches;
    work_guard work;
    std::thread thread;
    std::mutex mutex; //!< guards what follows
    std::uint64_t last_watch = 0;

    bool reachable() const
    {
        return !this->context->settings.endpoints.empty();
    }

    void post(std::function<void()> what)
    {
        boost::asio::post(this->context->loop, std::move(what));
    }

    void call(kept_call const& what,
              milliseconds limit,
              exchange_handler const& handler)
    {
        instant const deadline = now() + limit;
        this->post(
            [this, what, deadline, handler]()
            {
                if (!this->reachable())
                {
                    exchange none;
                    none.how = exchange_result::not_sent;
                    none.message = no_endpoints;
                    handler(none);
                    return;
                }
                make_call(this->context, what, deadline, handler);
            });
    }

    void
    commit(txn const& request, instant deadline, txn_handler const& handler)
    {
        if (!this->reachable())
        {
            txn_answer none;
            none.outcome = txn_outcome::failed;
            none.message = no_endpoints;
            handler(none);
            return;
        }
        this->commits.commit(request, deadline, handler);
    }

    void drop_all()
    {
        for (std::pair<std::uint64_t const, std::shared_ptr<watcher>> const&
                 each : this->watches)
        {
            each.second->stop();
        }
        this->watches.clear();
        drop_exchanges(*this->context);
        this->context->loop.stop();
    }
};

store_client::store_client(store_settings const& settings)
    : self(std::make_shared<impl>(settings))
{
    boost::asio::io_context& loop = this->self->context->loop;
    this->self->thread = std::thread(
        [&loop]()
        {
            loop.run();
        });
}

store_client::~store_client()
{
    this->stop();
}

void store_client::range(range_request const& request,
                         milliseconds limit,
                         range_handler const& handler)
{
    kept_call call;
    call.path = range_path;
    call.body = encode_range(request);
    this->self->call(call, limit, range_answers(handler));
}

void store_client::commit(txn const& request,
                          milliseconds limit,
                          txn_handler const& handler)
{
    impl& inner = *this->self;
    instant const deadline = now() + limit;
    inner.post(
        [&inner, request, deadline, handler]()
        {
            inner.commit(request, deadline, handler);
        });
}

void store_client::grant(milliseconds ttl,
                         milliseconds limit,
                         lease_handler const& handler)
{
    kept_call call;
    call.path = grant_path;
    call.body = encode_grant(ttl);
    call.kind = call_kind::lease;
    this->self->call(call, limit, lease_answers(handler, decode_grant));
}

void store_client::keep_alive(lease_id lease,
                              milliseconds limit,
                              lease_handler const& handler)
{
    kept_call call;
    call.path = keep_alive_path;
    call.body = encode_lease(lease);
    call.kind = call_kind::lease;
    call.budget = budget_use::only_counts;
    this->self->call(call, limit, lease_answers(handler, decode_keep_alive));
}

void store_client::revoke(lease_id lease,
                          milliseconds limit,
                          lease_handler const& handler)
{
    kept_call call;
    call.path = revoke_path;
    call.body = encode_lease(lease);
    call.kind = call_kind::lease;
    this->self->call(call, limit, revoke_answers(lease, handler));
}

watch_id store_client::watch(std::string const& prefix,
                             std::int64_t from_revision,
                             watch_handler handler)
{
    impl& inner = *this->self;
    watch_id made;
    {
        std::lock_guard<std::mutex> const lock(inner.mutex);
        made.value = ++inner.last_watch;
    }
    watch_wanted const wanted{prefix, from_revision, std::move(handler)};
    inner.post(
        [&inner, made, wanted]()
        {
            if (!inner.reachable())
            {
                wanted.handler(watch_disconnected{no_endpoints});
                return;
            }
            std::shared_ptr<watcher> const started =
                std::make_shared<watcher>(*inner.context, wanted);
            inner.watches[made.value] = started;
            started->start();
        });
    return made;
}

void store_client::unwatch(watch_id which)
{
    impl& inner = *this->self;
    inner.post(
        [&inner, which]()
        {
            std::map<std::uint64_t, std::shared_ptr<watcher>>::iterator const
                found = inner.watches.find(which.value);
            if (found != inner.watches.end())
            {
                found->second->stop();
                inner.watches.erase(found);
            }
        });
}

void store_client::share_with(int sharers)
{
    impl& inner = *this->self;
    inner.post(
        [&inner, sharers]()
        {
            share_budgets(*inner.context, sharers);
        });
}

store_counts store_client::counts() const
{
    client_context& context = *this->self->context;
    std::lock_guard<std::mutex> const lock(context.counts_mutex);
    return context.counts;
}

void store_client::stop()
{
    impl& inner = *this->self;
    if (!inner.thread.joinable())
    {
        return;
    }
    inner.post(
        [&inner]()
        {
            inner.drop_all();
        });
    inner.thread.join();
}

} // namespace cicada
