#pragma once

#include "fleet.h"

#include <sys/types.h>

/** The daemons as processes, and the clients. */
namespace review
{

struct daemon
{
    std::string name;
    std::string host;
    std::string settings_file;
    std::string log_file;
    pid_t pid = 0;
    bool in_rotation = true;
    int misses = 0;
    clock::time_point start_at;
};

struct cell_settings
{
    int daemons = 3;
    std::string program;
    std::string folder;
    milliseconds hold_max{10'000};
    int catch_up_ms = 3000;
};

class cell
{
public:
    cell(asio::io_context& loop,
         store& to,
         judge& rules,
         cell_settings const& settings);
    ~cell();

    bool start_all();
    std::vector<std::unique_ptr<daemon>> daemons;

private:
    bool start(daemon& d);
    awaitable<void> watch_over();
    awaitable<void> probe();

    asio::io_context& loop;
    judge& rules;
    cell_settings settings;
};

/** One queue, with the settings that the configuration gives it. */
struct queue_settings
{
    std::string name;
    std::string host;
    std::string prefix;
    int priority = 1;
    int max_attempts = 3;
    double slack_factor = 4.0;
    int target_ms = 3000;
};

json config_of(std::vector<queue_settings> const& queues,
               std::string const& service);

/** A stream of jobs. */
struct load_settings
{
    queue_settings queue;
    double jobs_per_s = 12.0;
    double cancel_share = 0.0;
    std::uint64_t seed = 1;
    std::function<std::vector<step_shape>(std::mt19937_64&)> make_steps;
};

class clients
{
public:
    clients(asio::io_context& loop,
            cell& system,
            judge& rules,
            load_settings const& settings);

    /** Hands jobs in for the span. */
    awaitable<void> press(milliseconds span);
    /** Hands in one job and returns its id. */
    std::string submit(std::vector<step_shape> steps);
    /** Asks for the job's state and notes the answer. */
    awaitable<void> ask(std::string id);
    std::string const& queue() const;

    int sent = 0;
    int accepted = 0;
    int refused = 0;
    int unanswered = 0;

private:
    awaitable<void> one(std::string id);
    tcp::endpoint pick();

    asio::io_context& loop;
    cell& system;
    judge& rules;
    load_settings settings;
    std::mt19937_64 random;
};

} // namespace review
