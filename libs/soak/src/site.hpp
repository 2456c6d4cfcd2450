#pragma once

#include "batch_checker/batch_checker.hpp"
#include "platform_standin/platform_standin.hpp"
#include "process.hpp"
#include "relay.hpp"
#include "soak/soak.hpp"

#include <boost/asio/steady_timer.hpp>

#include <map>
#include <random>

/** What a soak is made of; all on one loop. */
namespace cicada::soak
{

inline instant steady_now()
{
    return std::chrono::time_point_cast<milliseconds>(
        std::chrono::steady_clock::now());
}

/** The loop, the dice and the judge, shared by all parts. */
struct bench
{
    boost::asio::io_context loop{1};
    soak_settings settings;
    std::mt19937_64 random;
    batch::model::checker judge;
    soak_report report;
    instant began = steady_now();
    milliseconds lateness{0}; //!< of this process's own timers, of late

    explicit bench(soak_settings const& given);

    double draw(double low, double high);
    int draw_int(int low, int high);
    bool chance(double share);
    void after(milliseconds pause, std::function<void()> then);
    void breach(std::string const& what);
};

// ---- daemons

/** One daemon: its process, its addresses, its way to the store. */
struct daemon_seat
{
    std::string name;
    std::string settings_file;
    std::string log_file;
    address callers;
    process running;
    std::shared_ptr<relay> to_store;
    std::unique_ptr<http_client> client;
    bool wanted = true; //!< to be started again when it has ended
    bool paused = false;
    bool in_rotation = false;
    instant start_at; //!< not before
    instant hurt_at;  //!< of the last kill or pause
    std::optional<instant> stop_sent;
    bool killed = false; //!< since its last start
};

class crew
{
public:
    crew(bench& given, address const& store, address const& advisor);

    result<void> start();
    /** Reaps, restarts, and judges how processes ended. */
    void watch_over();
    void probe();
    void end_all();

    void kill(std::size_t which, milliseconds away);
    void stop(std::size_t which);
    void pause(std::size_t which, milliseconds span);
    void wake(std::size_t which);
    void hang_up(std::size_t which);

    /** The daemon that holds the placer's key and runs; none if nobody does. */
    std::optional<std::size_t> placer(platform::standin::store const& list);

    /** One that the balancer would choose; any, if none is in rotation. */
    std::size_t choose(bool also_leaving);

    std::vector<std::unique_ptr<daemon_seat>> seats;

private:
    result<void> write_settings(daemon_seat& seat,
                                std::string const& host,
                                address const& store) const;
    void start_process(daemon_seat& seat);
    void judge_end(daemon_seat& seat, process_end const& end);

    bench& shared;
    address store;
    address advisor;
};

// ---- callers

/** One job and what its caller knows of it. */
struct caller_job
{
    batch::job job;
    int attempts = 0;
    bool accepted = false;
    bool uncertain = false; //!< an attempt had no answer
    bool given_up = false;
    bool cancel_wanted = false;
    bool left = false; //!< cancelled without waiting for the job's acceptance
    bool cancel_sent = false;
    bool cancelled = false;
    bool asking = false;
    instant accepted_at;
    instant next_ask;
    std::optional<batch::job_state> state;
};

class callers
{
public:
    /** `count_allowed`: the workers that the advisor allows for a step. */
    callers(bench& given,
            crew& daemons,
            batch::cell_config config,
            std::function<int(std::string const& step)> count_allowed);

    /** Hands in jobs at the settings' rate until told to stop. */
    void begin();
    void end();
    /** Every job that was accepted is over. */
    bool all_over() const;
    void finish();

    platform::standin::task_profile truth(batch::task_ref const& task,
                                          std::uint64_t run,
                                          std::string const& spec);

    void set_config(batch::cell_config config);
    batch::cell_config const& config() const;

private:
    std::string draw_id();
    batch::job draw_job();
    bool can_run(batch::job const& made) const;
    void hand_in();
    void submit(std::shared_ptr<caller_job> const& of);
    void take_submit(std::shared_ptr<caller_job> const& of,
                     result<http_reply> const& reply);
    void leave_early(std::shared_ptr<caller_job> const& of);
    void cancel(std::shared_ptr<caller_job> const& of);
    void take_unknown_job(std::shared_ptr<caller_job> const& of);
    void ask(std::shared_ptr<caller_job> const& of);
    void ask_all();
    void call(http_request const& request,
              std::function<void(result<http_reply> const&)> const& then);

    bench& shared;
    crew& daemons;
    batch::cell_config rules;
    std::function<int(std::string const& step)> count_allowed;
    std::map<std::string, std::shared_ptr<caller_job>> jobs;
    bool open = false;
};

} // namespace cicada::soak
