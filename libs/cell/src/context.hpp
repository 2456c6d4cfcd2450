#pragma once

#include "batch/batch.hpp"
#include "cell/cell.hpp"
#include "decision_log/decision_log.hpp"
#include "messages.hpp"
#include "platform/platform.hpp"

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include <functional>

/** What the parts of a daemon share; all run on the one loop's thread. */
namespace cicada::cell
{

struct context
{
    boost::asio::io_context loop{1};
    cell_settings settings;
    decision_log log;
    platform::kv_client store;
    std::optional<batch::cell_config> config;
    instant store_heard;  //!< of the last answer
    instant store_failed; //!< of the last call without a good one
    bool stopping = false;

    explicit context(cell_settings const& given)
        : settings(given), log(log_of(given)), store(this->loop, given.store)
    {
    }

    static decision_log_settings log_of(cell_settings const& given)
    {
        decision_log_settings out;
        out.daemon = given.name;
        return out;
    }

    instant now() const
    {
        return std::chrono::time_point_cast<milliseconds>(
            std::chrono::steady_clock::now());
    }

    /** The store's last word to this daemon was none. */
    bool store_suspect() const
    {
        return this->store_failed > this->store_heard;
    }

    /** Notes whether a call to the store was answered. */
    void note_store(bool answered)
    {
        bool const before = this->store_suspect();
        (answered ? this->store_heard : this->store_failed) = this->now();
        if (before != this->store_suspect())
        {
            this->write(answered ? 501 : 500, "");
        }
    }

    void write(int number, std::string const& detail)
    {
        this->log.write(this->now(), number, detail);
    }

    /** Calls back after a pause, unless the daemon is gone by then. */
    void after(milliseconds pause, std::function<void()> then)
    {
        auto timer =
            std::make_shared<boost::asio::steady_timer>(this->loop, pause);
        timer->async_wait(
            [timer,
             then = std::move(then)](boost::system::error_code const& problem)
            {
                if (!problem)
                {
                    then();
                }
            });
    }
};

/** Why a call to the store failed, for the log. */
inline std::string describe(error const& problem)
{
    return std::string(to_string(problem.code)) + ": " + problem.message;
}

} // namespace cicada::cell
