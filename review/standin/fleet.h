#pragma once

#include "judge.h"

/** Executors, as the pages describe them. */
namespace review
{

struct fleet_settings
{
    int executors = 12;
    /** The kind of each executor, in turn. */
    std::vector<std::string> kinds{"a", "b"};
    int per_rack = 4;
    int cpu = 8000;
    int memory = 65536;
    milliseconds heartbeat{1500};
    milliseconds hold_max{10'000};
    milliseconds gang_timeout{3000};
    std::string service = "svc";
    std::uint64_t seed = 1;
};

struct active_run
{
    std::uint64_t run = 0;
    std::string spec;
    std::string checkpoint;
    step_shape shape;
    double remaining_ms = 0;
    double worked_ms = 0; //!< since the last checkpoint
};

struct executor
{
    std::string id;
    std::string kind;
    std::string rack;
    int cpu = 0;
    std::unique_ptr<server> listener;
    std::shared_ptr<bool> listening; //!< false: nothing is heard any more
    std::vector<std::unique_ptr<server>> former_listeners;
    bool away = false;
    bool cut = false; //!< no message gets through, either way
    bool draining = false;
    std::int64_t born = 0;
    clock::time_point life_began;
    std::int64_t token = 0;
    std::int64_t lease_until = 0;
    std::uint64_t last_end = 0;
    std::uint64_t lapsed_through = 0;
    std::uint64_t sequence = 0;
    std::map<task_name, active_run> active;
    std::map<task_name, std::uint64_t> highest;
    struct listed_end
    {
        json row;
        task_name task;
        std::uint64_t run = 0;
        std::string how;
    };
    std::map<std::uint64_t, listed_end> finished;
    std::set<asio::steady_timer*> polls;
    clock::time_point last_beat;
};

class fleet
{
public:
    fleet(asio::io_context& loop,
          store& list,
          judge& rules,
          fleet_settings const& settings);

    /** Ends all runs; the executor is back after `away` under its id, as the
     * kind if one is given. Without `away` it is lost for good. */
    void crash(std::size_t which,
               std::optional<milliseconds> away,
               std::string const& new_kind = "");
    /** The executor is lost without a sign: its connections stay open and
     * nothing answers. It is back after `away` under its id, at another
     * address. */
    void move(std::size_t which, milliseconds away);
    /** No message gets through for the span, and the executor runs on. */
    void cut(std::size_t which, milliseconds span);
    /** Its process ends and starts again under its id; it registers at once. */
    void restart(std::size_t which, milliseconds away);

    /** Whether the tasks of the step fit twice over on live executors. */
    bool has_room_twice(step_shape const& step) const;
    /** The share of the live executors' cores that is in use. */
    double share_in_use() const;

    std::vector<std::unique_ptr<executor>> executors;
    std::size_t last_started = 0; //!< the executor that got the last start

private:
    awaitable<reply> serve(executor& e, request r);
    awaitable<void> until_healed(executor& e);
    awaitable<reply> hold(executor& e, json body);
    reply start(executor& e, json const& body);
    reply stop(executor& e, json const& body);
    reply stamped(executor const& e, int status, json body) const;
    json report(executor const& e) const;
    std::int64_t clock_ms(executor const& e) const;
    void begin_life(executor& e);
    void listen(executor& e);
    void lose_runs(executor& e);
    void extend(executor& e, json const& body);
    void end(executor& e, task_name const& task, std::string const& how);
    void end_gang(std::string const& job,
                  int step,
                  std::uint64_t run,
                  std::string const& how);
    void beat(executor& e);
    awaitable<void> advance();
    awaitable<void> beats(executor& e);

    asio::io_context& loop;
    store& list;
    judge& rules;
    fleet_settings settings;
    std::mt19937_64 random;
    struct gang
    {
        std::map<int, executor*> members;
        clock::time_point began;
        double remaining_ms = 0;
        double worked_ms = 0;
        double total_ms = 0;
        int count = 0;
        bool checkpointing = false;
        bool fails = false;
    };
    std::map<std::tuple<std::string, int, std::uint64_t>, gang> gangs;
};

} // namespace review
