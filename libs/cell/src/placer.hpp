#pragma once

#include "context.hpp"
#include "watched_prefix.hpp"
#include "worker_connections.hpp"

#include <map>
#include <memory>

namespace cicada::cell
{

/** Before a read of the store is repeated that failed. */
constexpr milliseconds failure_pause{100};

/** Calls from the placer into the daemon. */
struct placer_ports
{
    /** Sends to one daemon, which may be this one. */
    std::function<void(std::string const& daemon, message const&)> send;
    std::function<void(message const&)> send_all;
    /** A worker or the store knows a placer with a higher epoch. */
    std::function<void()> superseded;
};

/**
 * Runs the scheduler while this daemon holds the placer's key: executes its
 * effects and returns their results to it as events. At the start it reads the
 * stored jobs, then the list of workers.
 */
class placer : public std::enable_shared_from_this<placer>
{
public:
    placer(context& shared,
           placer_ports ports,
           std::uint64_t epoch,
           std::int64_t epoch_revision);

    void start();
    void stop();

    void handle_job(job_message const& received);
    void handle_cancel(std::string const& job);
    void handle_advice(batch::advice_answered const& answer);
    void set_askers(std::vector<std::string> const& names);
    /** Passes on the queues, and the customers' caps and shares, of the
     * daemon's configuration. */
    void handle_config();

    /** Sets the highest epoch that this daemon has claimed and the revision of
     * the epoch key, which saves require. */
    void set_claim(std::uint64_t epoch, std::int64_t revision);

    void handle_store_recovery(instant sent_at);

    /** None if the job isn't known, or the jobs haven't been read yet. */
    std::optional<batch::job_state> state_of(std::string const& job) const;
    bool ready() const;
    batch::load_report load() const;
    batch::scheduler_gauges gauges() const;

private:
    void read_records();
    void handle_records(std::vector<platform::kv_item> const& intake,
                        std::vector<platform::kv_item> const& progress,
                        std::vector<platform::kv_item> const& roster);
    void log_records(std::vector<platform::kv_item> const& intake,
                     std::vector<platform::kv_item> const& progress,
                     std::vector<platform::kv_item> const& roster);
    void handle_roster(std::vector<platform::kv_item> const& roster);
    void watch_workers();
    void handle_workers(watched_prefix::items const& known,
                        std::vector<std::string> const& changed);
    void handle_intake(watched_prefix::items const& known,
                       std::vector<std::string> const& changed);
    void step_scheduler(batch::event_body body);
    void add_job(std::string const& record);
    void tick();
    void measure_lag();
    /** How much older the list's last answer is than the store's. */
    milliseconds worker_list_lag() const;
    void send_load();

    /** Sends a start or stop and reports the outcome as an Answer. */
    template <class Answer, class Order>
    void send_order(Order const& order, http_request request);
    void execute(batch::poll_worker const& effect);
    void execute(batch::start_task const& effect);
    void execute(batch::stop_task const& effect);
    void execute(batch::request_advice const& effect);
    void execute(batch::save_progress const& effect);
    void execute(batch::save_roster const& effect);
    void execute(batch::read_jobs const& effect);
    void execute(batch::confirm_claim const& effect);
    void execute(batch::log_decision const& effect);
    void handle_save_reply(batch::save_progress const& call,
                           result<platform::kv_commit_result> const& reply);
    void handle_roster_reply(batch::save_roster const& call,
                             result<platform::kv_commit_result> const& reply);
    void execute(batch::stop_placing const& effect);

    context& shared;
    placer_ports ports;
    std::uint64_t epoch;
    std::uint64_t claimed_epoch; //!< at least `epoch`; higher after a reclaim
    std::int64_t epoch_revision;
    batch::scheduler_ptr scheduler;
    std::shared_ptr<watched_prefix> workers;
    std::shared_ptr<watched_prefix> intake;
    std::int64_t intake_revision = 0;
    worker_connections connections;
    std::vector<std::string> askers;
    /** Received before the records were read. */
    std::vector<job_message> early_jobs;
    std::vector<std::string> early_cancels;
    instant next_load_event;
    instant last_tick;
    milliseconds lag{0}; //!< of the timer, decaying
    bool loaded = false; //!< the records have been read
    bool stopped = false;
};

} // namespace cicada::cell
