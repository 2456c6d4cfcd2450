#include "cell_impl.hpp"
#include "http_status.hpp"

#include <csignal>

namespace cicada::cell
{

namespace
{

/** Without an answer for longer, the store counts as unusable. */
constexpr milliseconds max_store_silence{3000};
/** Without a load message for longer, the peers count as unusable. */
constexpr milliseconds max_placer_silence{1000};
constexpr milliseconds flush_period{50};    //!< of the log
constexpr milliseconds closed_period{1000}; //!< of the event 121, at most
/** Requests arrive until two readiness probes, a second apart, have failed. */
constexpr milliseconds rotation_delay{2300};
constexpr milliseconds kill_margin{700}; //!< before the platform's SIGKILL
/** Requests may be in the kernel's buffers while none is in progress. */
constexpr milliseconds min_idle_time{150};

struct closed_count
{
    char const* cause;
    std::uint64_t http_closed_connections::*count;
};

constexpr closed_count closed_counts[] = {
    {"malformed", &http_closed_connections::malformed},
    {"header_bytes", &http_closed_connections::header_bytes},
    {"body_bytes", &http_closed_connections::body_bytes},
    {"header_timeout", &http_closed_connections::header_timeout},
    {"request_timeout", &http_closed_connections::request_timeout},
    {"unfinished_bytes", &http_closed_connections::unfinished_bytes},
    {"connections", &http_closed_connections::connections},
};

} // namespace

// ---- configuration, probes, metrics

void cell_daemon::impl::handle_store_recovery(instant sent_at)
{
    this->config_watch->handle_store_recovery(sent_at);
    this->cell_watch->handle_store_recovery(sent_at);
    if (this->active_placer)
    {
        this->active_placer->handle_store_recovery(sent_at);
    }
}

void cell_daemon::impl::handle_config(watched_prefix::items const& items)
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
        this->shared.log_event(events::configuration_rejected,
                               describe(read.assume_error()));
        return;
    }
    batch::cell_config const& config = read.assume_value();
    if (this->shared.config && this->shared.config->version >= config.version)
    {
        return;
    }
    std::string const version_before =
        this->shared.config ? std::to_string(this->shared.config->version)
                            : "none";
    this->shared.config = config;
    this->caller_server.set_bounds(config.header_bytes, config.body_bytes);
    this->caller_server.set_timeouts(config.header_timeout,
                                     config.idle_timeout);
    if (this->active_placer)
    {
        this->active_placer->handle_config();
    }
    this->shared.log_event(
        events::configuration_applied,
        "version=" + std::to_string(config.version) +
            " queues=" + std::to_string(config.queues.size()) + " customers=" +
            std::to_string(config.customers ? config.customers->size() : 0) +
            " revision=" + std::to_string(item->second.revision) +
            " before=" + version_before + " confirmed_ms_ago=" +
            age_text(this->config_watch->answered_before(),
                     this->shared.now()));
}

void cell_daemon::impl::answer_probe(http_responder const& answer) const
{
    bool const store_usable =
        this->shared.now() <
        this->shared.health.answered_at + max_store_silence;
    // Without the store, requests are relayed to peers. A recent load message
    // shows that they are connected.
    bool const peers_usable =
        this->shared.now() < this->load_received_at + max_placer_silence;
    bool const ready = this->shared.config && (store_usable || peers_usable) &&
                       !this->shared.stopping;
    answer(
        {ready ? http_status::ok : http_status::service_unavailable, {}, ""});
}

void cell_daemon::impl::answer_metrics(http_responder const& answer) const
{
    std::string text;
    auto const add = [&text](std::string const& name, std::uint64_t value)
    {
        text += "cicada_" + name + " " + std::to_string(value) + "\n";
    };
    add("placing", this->active_placer ? 1 : 0);
    add("store_calls_total", this->shared.store.calls());
    add("log_lines_left_out_total", this->shared.log.dropped_lines());
    add("requests_in_progress", this->caller_server.in_progress());
    add("peers_up", this->connected_peers.size());
    add("configuration_version",
        this->shared.config
            ? static_cast<std::uint64_t>(this->shared.config->version)
            : 0);
    add("configuration_age_ms",
        static_cast<std::uint64_t>(
            (this->shared.now() - this->config_watch->answered_at()).count()));
    add("unauthorized_calls_total", this->api->unauthorized_calls());
    for (closed_count const& each : closed_counts)
    {
        add(std::string("connections_closed_total{cause=\"") + each.cause +
                "\"}",
            this->caller_server.closed_connections().*each.count);
    }
    add("store_failing", this->shared.store_failing() ? 1 : 0);
    add("store_watch_failures_total",
        this->config_watch->failures() + this->cell_watch->failures());
    if (this->active_placer)
    {
        batch::load_report const load = this->active_placer->load();
        batch::scheduler_gauges const gauges = this->active_placer->gauges();
        add("steps_put_off", static_cast<std::uint64_t>(gauges.steps_put_off));
        add("worker_speeds_differ", gauges.speeds_differ ? 1 : 0);
        add("workers_usable",
            static_cast<std::uint64_t>(gauges.workers_usable));
        add("workers_excluded",
            static_cast<std::uint64_t>(gauges.workers_excluded));
        add("jobs_open", static_cast<std::uint64_t>(gauges.jobs_open));
        add("orders_unanswered",
            static_cast<std::uint64_t>(gauges.orders_unanswered));
        add("orders_held", static_cast<std::uint64_t>(gauges.orders_held));
        add("task_records", static_cast<std::uint64_t>(gauges.task_records));
        add("placer_lag_ms", static_cast<std::uint64_t>(load.lag.count()));
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
        for (auto const& entry : load.customers)
        {
            std::string const label = "{customer=\"" + entry.first + "\"}";
            add("customer_wait_ms" + label,
                entry.second.wait.empty()
                    ? 0
                    : static_cast<std::uint64_t>(
                          entry.second.wait.back().count()));
            add("customer_until_share_ms" + label,
                static_cast<std::uint64_t>(entry.second.until_share.count()));
        }
    }
    answer({http_status::ok, {{"Content-Type", "text/plain"}}, text});
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
            this->shared.log_event(
                events::settings_rejected,
                "what=\"" + describe(each, this->settings_file) + "\"");
        }
        return;
    }
    this->shared.log_event(events::settings_reloaded,
                           read.assume_value() == this->shared.settings
                               ? "changed=no"
                               : "changed=yes in_force=\"at the next start\"");
}

void cell_daemon::impl::begin_stop()
{
    this->shared.log_event(events::shutdown_started, "");
    this->shared.stopping = true;
    this->step_membership(membership::stop_requested{});
    instant const deadline =
        this->shared.now() + this->shared.settings.stop_limit - kill_margin;
    this->shared.after(rotation_delay,
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
    bool const drained =
        idle && this->shared.now() >= *this->idle_since + min_idle_time;
    if (!drained && this->shared.now() < deadline)
    {
        this->shared.after(membership_tick,
                           [this, deadline]
                           {
                               this->finish_stop(deadline);
                           });
        return;
    }
    this->shared.log_event(
        idle ? events::shutdown_completed : events::shutdown_incomplete,
        "in_progress=" + std::to_string(this->caller_server.in_progress()));
    this->shared.log.flush();
    this->shared.loop.stop();
}

void cell_daemon::impl::log_closed_connections()
{
    http_closed_connections const& closed =
        this->caller_server.closed_connections();
    if (closed != this->logged_closed)
    {
        std::string detail;
        for (closed_count const& each : closed_counts)
        {
            detail += std::string(detail.empty() ? "" : " ") + each.cause +
                      "=" +
                      std::to_string(closed.*each.count -
                                     this->logged_closed.*each.count);
        }
        this->logged_closed = closed;
        this->shared.log_event(events::connections_closed, detail);
    }
    this->shared.after(closed_period,
                       [this]
                       {
                           this->log_closed_connections();
                       });
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
