#include "placer.hpp"

#include "keys.hpp"

#include <algorithm>

namespace cicada::cell
{

namespace
{

constexpr milliseconds tick_period{10};         //!< of the scheduler's timer
constexpr milliseconds load_period{200};        //!< between load messages
constexpr milliseconds load_event_period{1000}; //!< in the log
constexpr milliseconds worker_list_pause{100}; //!< 48 workers write every 1.5 s
constexpr milliseconds worker_list_wait{1000}; //!< scheduling needs the list
constexpr milliseconds worker_list_timeout{2000};
constexpr milliseconds worker_list_retry_delay{200};

store_watch::watch_settings worker_list_watch_settings()
{
    store_watch::watch_settings out;
    out.wait = worker_list_wait;
    out.timeout = worker_list_timeout;
    out.pause = worker_list_pause;
    out.retry_delay = worker_list_retry_delay;
    return out;
}

} // namespace

placer::placer(context& daemon_context,
               placer_ports daemon_ports,
               std::uint64_t own_epoch,
               std::int64_t revision)
    : shared(daemon_context), ports(std::move(daemon_ports)), epoch(own_epoch),
      claimed_epoch(own_epoch), epoch_revision(revision),
      connections(daemon_context.loop)
{
}

void placer::start()
{
    this->shared.log_event(events::placement_started,
                           "epoch=" + std::to_string(this->epoch));
    this->read_records();
}

void placer::stop()
{
    this->stopped = true;
    if (this->workers)
    {
        this->workers->stop();
    }
    if (this->intake)
    {
        this->intake->stop();
    }
    this->connections.clear();
}

// ---- jobs

void placer::add_job(std::string const& record)
{
    result<batch::job> read = batch::decode_job(record);
    if (!read.has_value())
    {
        this->shared.log_event(events::malformed_link_message,
                               describe(read.assume_error()));
        return;
    }
    batch::job_stored event;
    event.accepted = std::move(read.assume_value());
    this->step_scheduler(event);
}

void placer::handle_job(job_message const& received)
{
    if (!this->loaded)
    {
        this->early_jobs.push_back(received);
        return;
    }
    // A job that was stored before the records were read is either among them
    // or has ended since, and must not start again.
    if (received.revision > this->intake_revision)
    {
        this->add_job(received.record);
    }
}

void placer::handle_cancel(std::string const& job)
{
    if (!this->loaded)
    {
        this->early_cancels.push_back(job);
        return;
    }
    this->step_scheduler(batch::cancel_stored{job});
}

void placer::handle_advice(batch::advice_answered const& answer)
{
    if (this->loaded)
    {
        this->step_scheduler(answer);
    }
}

void placer::handle_config()
{
    if (!this->loaded || !this->shared.config)
    {
        return;
    }
    // The queues come first: a job must not start by the former ones because
    // its customer's cap became known.
    this->step_scheduler(batch::queues_changed{this->shared.config->version,
                                               this->shared.config->queues});
    batch::customers_changed event;
    if (this->shared.config->customers)
    {
        for (batch::customer_rule const& each : *this->shared.config->customers)
        {
            event.customers.push_back(each.share);
        }
    }
    this->step_scheduler(event);
}

void placer::set_askers(std::vector<std::string> const& names)
{
    if (this->askers == names)
    {
        return;
    }
    this->askers = names;
    if (this->loaded)
    {
        this->step_scheduler(batch::advice_requesters_changed{names});
    }
}

void placer::set_claim(std::uint64_t claimed, std::int64_t revision)
{
    if (claimed >= this->claimed_epoch)
    {
        this->claimed_epoch = claimed;
        this->epoch_revision = revision;
    }
}

void placer::handle_intake(watched_prefix::items const& known,
                           std::vector<std::string> const& changed)
{
    for (std::string const& key : changed)
    {
        std::string const job = keys::strip_prefix(key, keys::jobs);
        auto const item = known.find(key);
        if (item == known.end())
        {
            continue;
        }
        if (!job.empty())
        {
            if (!batch::state_of(*this->scheduler, job))
            {
                this->add_job(item->second.value);
            }
            continue;
        }
        std::string const cancelled = keys::strip_prefix(key, keys::cancels);
        if (!cancelled.empty())
        {
            this->step_scheduler(batch::cancel_stored{cancelled});
        }
    }
}

// ---- the list of workers

void placer::watch_workers()
{
    auto self = this->shared_from_this();
    this->workers = std::make_shared<watched_prefix>(
        this->shared,
        keys::workers,
        worker_list_watch_settings(),
        [self](watched_prefix::items const& items,
               std::vector<std::string> const& changed)
        {
            self->handle_workers(items, changed);
        });
    this->workers->start();
}

void placer::handle_store_recovery(instant sent_at)
{
    for (std::shared_ptr<watched_prefix> const& each :
         {this->workers, this->intake})
    {
        if (each)
        {
            each->handle_store_recovery(sent_at);
        }
    }
}

void placer::handle_workers(watched_prefix::items const& known,
                            std::vector<std::string> const& changed)
{
    for (std::string const& key : changed)
    {
        std::string const id = keys::strip_prefix(key, keys::workers);
        auto const item = known.find(key);
        if (item == known.end())
        {
            this->step_scheduler(batch::worker_unlisted{id});
            continue;
        }
        result<batch::worker_offer> offer =
            platform::decode_offer(id, item->second.value);
        if (!offer.has_value())
        {
            // It may have replaced the entry of a worker that was listed.
            this->shared.log_event(events::worker_entry_rejected,
                                   describe(offer.assume_error()));
            this->step_scheduler(batch::worker_unlisted{id});
            continue;
        }
        this->step_scheduler(
            batch::worker_listed{std::move(offer.assume_value())});
    }
    this->step_scheduler(batch::worker_list_complete{});
}

// ---- time

void placer::tick()
{
    if (this->stopped)
    {
        return;
    }
    this->measure_lag();
    this->step_scheduler(batch::time_passed{this->worker_list_lag()});
    this->shared.after(tick_period,
                       [self = this->shared_from_this()]
                       {
                           self->tick();
                       });
}

/** Takes the time by which the timer is late; it falls by a tenth a tick. */
void placer::measure_lag()
{
    constexpr int decay_divisor = 10;
    instant const now = this->shared.now();
    milliseconds const late = std::chrono::duration_cast<milliseconds>(
        now - this->last_tick - tick_period);
    if (this->last_tick != instant{})
    {
        this->lag =
            std::max(late,
                     this->lag - (this->lag + milliseconds{decay_divisor - 1}) /
                                     decay_divisor);
    }
    this->last_tick = now;
}

milliseconds placer::worker_list_lag() const
{
    return std::max(
        milliseconds{0},
        std::chrono::duration_cast<milliseconds>(
            this->shared.health.answered_at - this->workers->answered_at()));
}

void placer::send_load()
{
    if (this->stopped)
    {
        return;
    }
    load_message out;
    out.epoch = this->epoch;
    out.load = this->load();
    this->ports.send_all(out);
    if (this->loaded && this->shared.now() >= this->next_load_event)
    {
        this->next_load_event = this->shared.now() + load_event_period;
        this->shared.log_event(
            events::cell_load,
            batch::describe_load(*this->scheduler) +
                " lag_ms=" + std::to_string(this->lag.count()));
    }
    this->shared.after(load_period,
                       [self = this->shared_from_this()]
                       {
                           self->send_load();
                       });
}

std::optional<batch::job_state> placer::state_of(std::string const& job) const
{
    return this->loaded ? batch::state_of(*this->scheduler, job) : std::nullopt;
}

bool placer::ready() const
{
    return this->loaded;
}

batch::scheduler_gauges placer::gauges() const
{
    return this->loaded ? batch::gauges_of(*this->scheduler)
                        : batch::scheduler_gauges{};
}

batch::load_report placer::load() const
{
    if (!this->loaded)
    {
        return {};
    }
    batch::load_report report = batch::load_of(*this->scheduler);
    report.lag = std::max(milliseconds{0}, this->lag);
    return report;
}

// ---- effects

void placer::step_scheduler(batch::event_body body)
{
    if (this->stopped)
    {
        return;
    }
    std::vector<batch::effect> const effects =
        batch::step(*this->scheduler, {this->shared.now(), std::move(body)});
    for (batch::effect const& each : effects)
    {
        if (this->stopped)
        {
            return;
        }
        std::visit(
            [this](auto const& effect)
            {
                this->execute(effect);
            },
            each);
    }
}

} // namespace cicada::cell
