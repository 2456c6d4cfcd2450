#pragma once

#include "batch/batch.hpp"
#include "cell/cell.hpp"
#include "decision_log/decision_log.hpp"
#include "event_numbers/event_numbers.hpp"
#include "messages.hpp"
#include "platform/platform.hpp"
#include "revision_history.hpp"
#include "store_health.hpp"

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include <functional>

namespace cicada::cell
{

/** Milliseconds since `then`, or "never" if it is unset. */
inline std::string age_text(instant then, instant now)
{
    return then == instant{} ? "never" : std::to_string((now - then).count());
}

/** A call to the store, for the log; `what` is a list of KEY=VALUE. */
struct store_call
{
    std::string what;
    instant sent_at;
};

/** An error's code and message, for the log. */
inline std::string describe(error const& problem)
{
    return std::string(to_string(problem.code)) + ": " + problem.message;
}

/** State shared by a daemon's components; used on the loop's thread only. */
struct context
{
    boost::asio::io_context loop{1};
    cell_settings settings;
    decision_log log;
    platform::kv_client store;
    std::optional<batch::cell_config> config;
    store_health health;
    revision_history revisions; //!< of the store
    /** Gets the time at which the call was sent that was answered first. */
    std::function<void(instant)> on_store_recovery;
    bool stopping = false;

    explicit context(cell_settings const& daemon_settings)
        : settings(daemon_settings), log(make_log_settings(daemon_settings)),
          store(this->loop, daemon_settings.store)
    {
    }

    static decision_log_settings
    make_log_settings(cell_settings const& daemon_settings)
    {
        decision_log_settings out;
        out.daemon = daemon_settings.name;
        return out;
    }

    instant now() const
    {
        return std::chrono::time_point_cast<milliseconds>(
            std::chrono::steady_clock::now());
    }

    bool store_failing() const
    {
        return is_failing(this->health);
    }

    /** Records the outcome of a call to the store; logs a change. */
    template <class T>
    void record_store_call(store_call const& call, result<T> const& reply)
    {
        bool const before = this->store_failing();
        instant const answered_before = this->health.answered_at;
        instant const at = this->now();
        record_call(this->health, call.sent_at, at, reply.has_value());
        if (before == this->store_failing())
        {
            return;
        }
        std::string detail =
            call.what + " sent_ms_ago=" + age_text(call.sent_at, at) +
            " answered_ms_ago=" + age_text(answered_before, at);
        if (!reply.has_value())
        {
            detail += " why=\"" + describe(reply.assume_error()) + "\"";
        }
        this->log_event(reply.has_value() ? events::store_available
                                          : events::store_unavailable,
                        detail);
        if (reply.has_value() && this->on_store_recovery)
        {
            this->on_store_recovery(call.sent_at);
        }
    }

    /** The detail is a list of KEY=VALUE. */
    void log_event(int number, std::string const& detail)
    {
        this->log.write(this->now(), number, detail);
    }

    /** Calls back once after a pause; never after the loop has stopped. */
    void after(milliseconds pause, std::function<void()> callback)
    {
        auto timer =
            std::make_shared<boost::asio::steady_timer>(this->loop, pause);
        timer->async_wait(
            [timer, callback = std::move(callback)](
                boost::system::error_code const& problem)
            {
                if (!problem)
                {
                    callback();
                }
            });
    }
};

} // namespace cicada::cell
