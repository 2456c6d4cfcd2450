#include "kept_call.hpp"

#include "codec.hpp"

namespace cicada::store_detail
{

namespace
{

constexpr int status_ok = 200;
constexpr int first_server_error = 500;

/** A call, its tries and its end. */
struct running_call : std::enable_shared_from_this<running_call>
{
    client_context& context; //!< outlives what its loop runs
    kept_call call;
    instant deadline;
    exchange_handler handler;
    int tries_left = 0;
    int running = 0;
    bool sent = false; //!< one of the tries may have arrived
    timer_ptr second_try;

    explicit running_call(client_context& given) : context(given) {}

    milliseconds remaining() const
    {
        return this->deadline - now();
    }

    void finish(exchange how)
    {
        if (how.how == exchange_result::not_sent && this->sent)
        {
            how.how = exchange_result::unknown;
        }
        exchange_handler const once = std::move(this->handler);
        this->handler = nullptr;
        if (this->second_try != nullptr)
        {
            this->second_try->cancel();
        }
        once(how);
    }

    bool over() const
    {
        return this->handler == nullptr;
    }

    void begin()
    {
        std::optional<milliseconds> const delay = reserve(this->context,
                                                          this->call.kind,
                                                          this->call.budget,
                                                          this->remaining());
        if (!delay.has_value())
        {
            exchange refused;
            refused.how = exchange_result::not_sent;
            refused.message = "over the budget until its deadline";
            this->finish(refused);
            return;
        }
        std::shared_ptr<running_call> const kept = this->shared_from_this();
        run_after(this->context,
                  *delay,
                  [kept]()
                  {
                      kept->first();
                  });
    }

    void first()
    {
        std::shared_ptr<running_call> const kept = this->shared_from_this();
        this->second_try = run_after(this->context,
                                     this->remaining() / 2,
                                     [kept]()
                                     {
                                         kept->second();
                                     });
        this->try_once();
    }

    void second()
    {
        if (this->over() || this->tries_left == 0)
        {
            return;
        }
        this->leave(current_endpoint(this->context));
        this->pay();
        this->try_once();
    }

    /** For a try beside the first. */
    void pay()
    {
        reserve(this->context,
                this->call.kind,
                budget_use::only_counts,
                milliseconds(0));
    }

    void leave(address const& where)
    {
        this->context.wire.drop_kept(where);
        leave_endpoint(this->context, where);
    }

    void try_once()
    {
        this->tries_left -= 1;
        this->running += 1;
        count_call(this->context, this->call.kind, 0);
        outgoing what;
        what.where = current_endpoint(this->context);
        what.path = this->call.path;
        what.body = this->call.body;
        std::shared_ptr<running_call> const kept = this->shared_from_this();
        start_exchange(this->context,
                       what,
                       this->remaining(),
                       [kept, what](exchange const& how)
                       {
                           kept->tried(what.where, how);
                       });
    }

    void tried(address const& where, exchange const& how)
    {
        this->running -= 1;
        this->sent = this->sent || how.how != exchange_result::not_sent;
        if (this->over())
        {
            return;
        }
        bool const settled = how.how == exchange_result::answered &&
                             how.status < first_server_error;
        if (settled)
        {
            this->finish(how);
            return;
        }
        this->leave(where);
        if (this->tries_left > 0 && this->remaining() > milliseconds(0))
        {
            this->pay();
            this->try_once();
            return;
        }
        if (this->running == 0)
        {
            this->finish(how);
        }
    }
};

} // namespace

void make_call(context_ptr const& context,
               kept_call const& call,
               instant deadline,
               exchange_handler handler)
{
    std::shared_ptr<running_call> const made =
        std::make_shared<running_call>(*context);
    made->call = call;
    made->deadline = deadline;
    made->handler = std::move(handler);
    made->tries_left = static_cast<int>(context->settings.endpoints.size()) + 1;
    made->begin();
}

error error_of(exchange const& how)
{
    if (how.how == exchange_result::not_sent)
    {
        return {error_code::unavailable, how.message};
    }
    if (how.how == exchange_result::unknown)
    {
        return {error_code::unknown, how.message};
    }
    bool const server_error = how.status >= first_server_error;
    return {server_error ? error_code::unknown : error_code::refused,
            "HTTP status " + std::to_string(how.status) + ": " +
                decode_message(how.body)};
}

bool is_good(exchange const& how)
{
    return how.how == exchange_result::answered && how.status == status_ok;
}

} // namespace cicada::store_detail
