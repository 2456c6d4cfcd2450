#pragma once

#include "platform_standin/platform_standin.hpp"
#include "process.hpp"
#include "relay.hpp"

#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/asio/steady_timer.hpp>

#include <csignal>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

/** What the cases share: daemons as processes, the platform's stand-ins and
 * the record of what was sent, answered and run. All on one loop. */
namespace cicada::review
{

constexpr char const* first_service = "svc";
constexpr char const* second_service = "svc-b";

struct trial_options
{
    std::string program;
    std::string folder; //!< of this run: settings, logs
    std::string record; //!< file
    bool trouble = true;
    int daemons = 3;
    int workers = 6;
    std::int64_t memory_mb = 260;
    milliseconds lease_limit{10'000};
    milliseconds worker_delay{0}; //!< each way between daemons and workers
    int workers_of_second = 0;    //!< of a second service; 0: there is none
};

/** How a run of a case ended; the exit code of the program. */
enum class verdict
{
    held = 0,
    broken = 1,
    not_run = 2
};

struct daemon
{
    std::string name;
    std::string settings_file;
    std::string log_file;
    address callers;
    address readiness;
    soak::process running;
    std::shared_ptr<soak::relay> to_store;
    bool ready = false;
    int ends = 0; //!< of its process, whatever the cause
};

/** A start or an end of a task, as a worker saw it. */
struct task_event
{
    milliseconds at{0};
    batch::task_ref task;
    std::uint64_t run = 0;
    std::string worker;
    bool ended = false;
    batch::run_end how = batch::run_end::done; //!< if it ended
};

class trial
{
public:
    explicit trial(trial_options given);
    ~trial();

    trial(trial const&) = delete;
    trial& operator=(trial const&) = delete;

    /** Starts the stand-ins and the daemons; false: the case can't run. */
    bool start();
    /** Runs the loop until the condition holds; false: it didn't in time. */
    bool run_until(std::function<bool()> const& condition, milliseconds limit);
    void run_for(milliseconds span);

    milliseconds now() const; //!< since the start
    void note(std::string const& what);

    /** The position of the daemon that holds the placer's key; -1: none. */
    int placer() const;
    /** Reads the processes' ends, and starts an ended one again. */
    void watch_over();

    void call(address const& where,
              http_request request,
              milliseconds limit,
              http_callback callback);
    /** Calls and waits; the status, 0 without an answer. */
    int call_and_wait(std::string const& what,
                      daemon const& to,
                      http_request const& request,
                      milliseconds limit,
                      std::string* body = nullptr);

    /** Each step follows the one before. */
    batch::job make_job(std::string const& id,
                        int tasks,
                        milliseconds task_work,
                        int steps = 1);

    trial_options options;
    boost::asio::io_context loop{1};
    boost::asio::signal_set signals{this->loop, SIGTERM, SIGINT};
    std::ofstream record;
    instant began;
    platform::standin::store store;
    platform::standin::advisor advisor;
    std::unique_ptr<platform::standin::fleet> fleet;
    std::unique_ptr<platform::standin::fleet> second_fleet; //!< or none
    batch::cell_config config;
    std::vector<std::unique_ptr<daemon>> daemons;
    std::vector<task_event> events;
    std::map<std::string, milliseconds> work; //!< of a task, by job
    std::map<std::string, batch::job> jobs;   //!< that were made, by id
    /** Task events of jobs whose ids begin so stay out of the record. */
    std::string quiet_prefix = "-";
    std::vector<std::shared_ptr<soak::relay>> to_workers; //!< if delayed

private:
    platform::standin::worker_observer make_observer();
    void note_task(task_event const& seen);
    void probe();
    bool write_settings(daemon& of, address const& store_address) const;

    std::map<std::string, std::unique_ptr<http_client>> clients;
    std::map<std::string, int> noted; //!< events of a job in the record
};

} // namespace cicada::review
