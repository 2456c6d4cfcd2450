#include "cell_impl.hpp"

#include <csignal>

namespace cicada::cell
{

namespace
{

constexpr milliseconds store_silence{3000};  //!< then no longer ready
constexpr milliseconds placer_silence{1000}; //!< the same, without the store
constexpr milliseconds flush_period{50};     //!< of the log
constexpr milliseconds leave_rotation{2300}; //!< two probes a second apart
constexpr milliseconds exit_margin{700};     //!< before the platform kills
constexpr milliseconds last_requests{150};   //!< in the kernel, not yet read

} // namespace

// ---- configuration, probes, metrics

void cell_daemon::impl::take_config(watched_prefix::items const& items)
{
    auto const item = items.find(keys::config);
    if (item == items.end())
    {
        return;
    }
    result<batch::cell_config> read =
        platform::decode_config(item->second.value);
    if (!read.has_value())
    {
        this->shared.write(115, describe(read.assume_error()));
        return;
    }
    batch::cell_config const& config = read.assume_value();
    if (this->shared.config && this->shared.config->version >= config.version)
    {
        return;
    }
    this->shared.config = config;
    this->caller_server.set_bounds(config.header_bytes, config.body_bytes);
    this->shared.write(
        114,
        "version=" + std::to_string(config.version) +
            " queues=" + std::to_string(config.queues.size()) +
            " revision=" + std::to_string(item->second.revision));
}

void cell_daemon::impl::answer_probe(http_responder const& answer) const
{
    bool const store =
        this->shared.now() < this->shared.store_heard + store_silence;
    // Without the store, peers are asked, as long as the placer is heard.
    bool const peers = this->shared.now() < this->heard_at + placer_silence;
    bool const ready =
        this->shared.config && (store || peers) && !this->shared.stopping;
    answer({ready ? 200 : 503, {}, ""});
}

void cell_daemon::impl::answer_metrics(http_responder const& answer) const
{
    std::string text;
    auto const add = [&text](std::string const& name, std::uint64_t value)
    {
        text += "cicada_" + name + " " + std::to_string(value) + "\n";
    };
    add("placing", this->placing ? 1 : 0);
    add("store_calls_total", this->shared.store.calls());
    add("log_lines_left_out_total", this->shared.log.left_out());
    add("requests_in_progress", this->caller_server.in_progress());
    add("peers_up", this->up.size());
    add("configuration_version",
        this->shared.config
            ? static_cast<std::uint64_t>(this->shared.config->version)
            : 0);
    if (this->placing)
    {
        batch::load_report const load = this->placing->load();
        for (std::size_t i = 0; i < load.wait.size(); ++i)
        {
            add("wait_ms{priority=\"" + std::to_string(i) + "\"}",
                static_cast<std::uint64_t>(load.wait[i].count()));
        }
        for (auto const& entry : load.pending)
        {
            add("jobs_pending{queue=\"" + entry.first + "\"}",
                static_cast<std::uint64_t>(entry.second));
        }
    }
    answer({200, {{"Content-Type", "text/plain"}}, text});
}

// ---- signals

void cell_daemon::impl::on_signal(int number)
{
    this->signals.async_wait(
        [this](boost::system::error_code const& problem, int next)
        {
            if (!problem)
            {
                this->on_signal(next);
            }
        });
    if (number == SIGHUP)
    {
        this->reload();
        return;
    }
    if (!this->shared.stopping)
    {
        this->begin_stop();
    }
}

void cell_daemon::impl::reload()
{
    checked<cell_settings> const read = load_settings(this->settings_file);
    if (!read.has_value())
    {
        for (text_problem const& each : read.assume_error())
        {
            this->shared.write(
                102, "what=\"" + describe(each, this->settings_file) + "\"");
        }
        return;
    }
    this->shared.write(113,
                       read.assume_value() == this->shared.settings
                           ? "changed=no"
                           : "changed=yes in_force=\"at the next start\"");
}

void cell_daemon::impl::begin_stop()
{
    this->shared.write(110, "");
    this->shared.stopping = true;
    this->member_step(membership::stop_wanted{});
    instant const deadline =
        this->shared.now() + this->shared.settings.stop_limit - exit_margin;
    this->shared.after(leave_rotation,
                       [this, deadline]
                       {
                           this->caller_server.drain();
                           this->finish_stop(deadline);
                       });
}

void cell_daemon::impl::finish_stop(instant deadline)
{
    bool const idle = this->caller_server.in_progress() == 0;
    if (!idle)
    {
        this->idle_since.reset();
    }
    else if (!this->idle_since)
    {
        this->idle_since = this->shared.now();
    }
    bool const over =
        idle && this->shared.now() >= *this->idle_since + last_requests;
    if (!over && this->shared.now() < deadline)
    {
        this->shared.after(membership_tick,
                           [this, deadline]
                           {
                               this->finish_stop(deadline);
                           });
        return;
    }
    this->shared.write(idle ? 111 : 112,
                       "in_progress=" +
                           std::to_string(this->caller_server.in_progress()));
    this->shared.log.flush();
    this->shared.loop.stop();
}

void cell_daemon::impl::flush_log()
{
    this->shared.log.flush();
    this->shared.after(flush_period,
                       [this]
                       {
                           this->flush_log();
                       });
}

} // namespace cicada::cell
