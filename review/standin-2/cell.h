// A small deployment for the cases: daemons as separate processes, the store of
// the project's stand-in, and executors written for the review.
#pragma once

#include "http/http.hpp"
#include "platform_standin/platform_standin.hpp"

#include <boost/asio/signal_set.hpp>
#include <boost/asio/steady_timer.hpp>
#include <nlohmann/json.hpp>

#include <csignal>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <sys/types.h>
#include <vector>

namespace review
{

using nlohmann::json;
using cicada::address;
using cicada::milliseconds;

std::int64_t steady_ms();
std::int64_t unix_ms();

// Writes record.txt; each line begins with the seconds since the start.
class record
{
public:
    explicit record(std::string const& path);
    void line(std::string const& text);
    double seconds() const;

private:
    std::ofstream file;
    std::int64_t began = steady_ms();
};

// How long a task of the client works in this run, and how it ends.
struct work
{
    std::int64_t ms = 0;
    bool fails = false;
};

struct world;

// One run as the executors saw it, kept for the judgement.
struct run_seen
{
    std::string executor;
    int life = 0;
    std::uint64_t run = 0;
    std::int64_t started = 0;
    std::int64_t ended = 0; // 0: still running
    std::string how;
    bool noted = false; // acknowledged while its lease had not lapsed
};

// An executor as PROTOCOL.md describes it, on one loopback port.
class executor
{
public:
    executor(world& given, int number, std::string kind, std::string rack);

    std::string const& id() const { return this->name; }
    address const& where() const { return this->at; }
    // Loses everything, closes its connections, and is back after `away`; its
    // next `born` is the time of day plus `clock_off_ms`.
    void crash(milliseconds away, std::int64_t clock_off_ms);
    // Back as another kind; the entry is written `entry_ms` after the start.
    void return_as(milliseconds away, std::string kind, std::int64_t entry_ms);
    // Leaves for good; the entry lapses after three heartbeats.
    void leave_for_good();
    void beat();
    void tick();
    std::size_t active_runs() const { return this->active.size(); }
    int busy_cpu() const;
    bool up() const { return this->running; }
    std::string const& kind_of() const { return this->kind; }
    int capacity_cpu = 32000;

private:
    struct active_run
    {
        std::uint64_t run = 0;
        std::int64_t ends_at = 0;
        bool fails = false;
        int cpu = 0;
        std::size_t seen = 0;
    };
    struct waiting_poll
    {
        std::int64_t until = 0;
        cicada::http_responder answer;
    };

    void begin_life(std::int64_t clock_off_ms, std::int64_t entry_ms = 0);
    void listen();
    void serve(cicada::http_request const& request,
               cicada::http_responder const& answer);
    void hold(json const& body, cicada::http_responder const& answer);
    void start(json const& body, cicada::http_responder const& answer);
    void stop(json const& body, cicada::http_responder const& answer);
    void extend(json const& body);
    void end(std::string const& task, std::string const& how);
    void reply(cicada::http_responder const& answer, int status, json body);
    json report() const;
    std::int64_t clock() const { return steady_ms() - this->life_began; }

    world& all;
    std::string name;
    std::string kind;
    std::string rack;
    address at;
    std::unique_ptr<cicada::http_server> server;
    std::int64_t entry_gone_at = 0; // of an executor that is away
    bool running = false;
    int life = 0;
    std::int64_t born = 0;
    std::int64_t life_began = 0;
    std::int64_t next_beat = 0;
    std::uint64_t sequence = 0;
    std::uint64_t token = 0;
    std::int64_t lease_until = 0;
    std::uint64_t last_end = 0;
    std::map<std::string, active_run> active;
    std::map<std::string, std::uint64_t> highest; // run stopped or ended
    std::map<std::uint64_t, json> finished;
    std::map<std::uint64_t, std::pair<std::string, std::size_t>> end_of;
    std::uint64_t lapsed_through = 0;
    std::vector<waiting_poll> polls;
};

struct daemon_process
{
    std::string name;
    address callers;
    std::string settings;
    std::string log;
    pid_t pid = 0;
    std::unique_ptr<cicada::http_client> client;
};

struct cell_settings
{
    int daemons = 3;
    int executors = 8;
    int hold_max_ms = 10000;
    std::string folder; // of the case
    std::string program;
};

// Everything of one case.
struct world
{
    explicit world(cell_settings const& given);
    ~world();

    void after(std::int64_t ms, std::function<void()> then);
    void log(std::string const& text) { this->out.line(text); }
    void broken(std::string const& rule, std::string const& text);

    void add_executor(std::string const& kind, std::string const& rack);
    void put_config(std::vector<cicada::batch::queue_rule> queues);
    void start_daemons();
    void start_daemon(daemon_process& each);
    void kill_daemon(daemon_process& each, int number);
    void reap(daemon_process& each);
    // The daemon that holds the placer's key; null if none does.
    daemon_process* placer();
    bool all_ready();

    // Sends a request to a daemon, and to the others in turn while it gets no
    // answer, 429, 502, 503 or 504; as the clients of the pages.
    void call(cicada::http_request request,
              std::function<void(int status, std::string const& body)> then,
              int attempt = 0);

    // Checks for two runs at the same time.
    void judge_start(std::string const& task, executor const& on);
    // Checks what depends on which ends were taken note of; at the end.
    void judge_history();

    // Ends the case without a verdict.
    void give_up(std::string const& why);
    // The exit code: 0 held, 1 broken, 2 not run.
    int verdict(bool ran);

    boost::asio::io_context loop{1};
    boost::asio::signal_set signals{this->loop, SIGTERM, SIGINT};
    bool given_up = false;
    cell_settings settings;
    record out;
    cicada::platform::standin::store store;
    address store_at;
    // No queue of the cases needs advice; the settings name an advisor.
    cicada::platform::standin::advisor advisor;
    address advisor_at;
    std::string temporary;
    std::vector<std::unique_ptr<executor>> executors;
    std::vector<std::unique_ptr<daemon_process>> daemons;
    std::vector<std::string> breaches;
    // By task name, as ID.K.STEP.INDEX.
    std::map<std::string, std::vector<run_seen>> runs;
    // Decides what a run does; starts that nobody sent end the case.
    std::function<std::optional<work>(std::string const& task, int nth_run)>
        truth;
    std::map<std::string, int> max_attempts; // by job
    std::function<std::string(std::string const& task)> label_of; // required
    std::function<int(std::string const& task)> cpu_of;
    // Which tasks' runs go into the record; unset: all.
    std::function<bool(std::string const& task)> logged;
    bool logs(std::string const& task) const
    {
        return !this->logged || this->logged(task);
    }
};

std::string job_of(std::string const& task);
cicada::batch::queue_rule
make_queue(std::string const& name, int priority, int attempts);
cicada::http_request submit(cicada::batch::queue_rule const& queue,
                            std::string const& id,
                            json const& body);
cicada::http_request get(cicada::batch::queue_rule const& queue,
                         std::string const& id);

int case_run_numbers(cell_settings settings, bool trouble);
int case_attempts(cell_settings settings, bool trouble);
int case_born(cell_settings settings, bool trouble);
int case_new_kind(cell_settings settings, bool trouble);
int case_settle(cell_settings settings, bool trouble);
int case_reserved(cell_settings settings, bool trouble);
int case_hopeless(cell_settings settings, bool trouble);

} // namespace review
