#pragma once

#include "fake_agent.hpp"

#include <functional>
#include <random>

/**
 * Runs several reducers in virtual time with fakes of the service, the peer
 * connections and the agents. Message delays are random. A peer connection
 * keeps the order of messages; service and agent calls may be reordered.
 */
namespace cicada::failure_testing
{

/** Size of the simulated cell. */
struct simulated_cell_size
{
    int daemons = 3;
    int zones = 2;
    int endpoints_per_zone = 2;
    int workers_per_zone = 2;
    int slots = 2;
};

/** One simulated daemon. */
struct fake_daemon
{
    daemon_settings settings;
    state_ptr reducer;
    bool alive = false;
    bool paused = false;
    std::uint64_t incarnation = 0; //!< incremented at each start
    instant lease_end;
    std::vector<std::function<void()>>
        pending_events; //!< events delayed while paused
};

/** A fake of the platform's service. */
struct fake_store
{
    bool reachable = true;
    double lost_answers = 0.0; //!< probability, of writes
    std::map<daemon_id, member> members;
    ownership_table table;
    cell_config config;
    std::map<std::string, intent> intents;
    std::map<job_id, job_record> jobs;
    std::map<job_id, job_record> done_jobs;
};

class simulated_cell
{
public:
    simulated_cell(simulated_cell_size const& shape, std::uint64_t seed);

    // ---- faults; effective immediately ----
    void start(daemon_id const& name);
    void kill(daemon_id const& name);
    void pause(daemon_id const& name);
    void resume(daemon_id const& name);
    void stop_gracefully(daemon_id const& name);
    void set_link(daemon_id const& a, daemon_id const& b, bool up);
    void set_agent_reachable(std::string const& name, bool reachable);
    void set_leaving(std::string const& name);

    // ---- callers ----
    void call(daemon_id const& entry, std::string const& key, bool idempotent);
    void submit(daemon_id const& entry, int tasks, bool gang);

    /** Advances the virtual time by `length`. */
    void run_for(milliseconds length);

    /** Runs `what` after a delay. */
    void at(milliseconds delay, std::function<void()> what);

    daemon_id daemon(int index) const;
    state const& reducer(daemon_id const& name) const;
    bool is_alive(daemon_id const& name) const;
    std::uint64_t draw(std::uint64_t below);

    history observed;
    fake_store store;
    std::map<std::string, fake_agent> agents;
    instant now;

private:
    struct pending
    {
        instant at;
        std::uint64_t order = 0;
        std::function<void()> what;
    };

    /** Two daemons; the lower name comes first. */
    struct daemon_pair
    {
        daemon_id lower;
        daemon_id higher;

        std::strong_ordering operator<=>(daemon_pair const&) const = default;
    };

    /** The connection between two daemons. */
    struct fake_link
    {
        bool cut = false;
        bool up = false;
        std::uint64_t session = 0;
        instant free_at;
    };

    milliseconds delay();
    void feed(daemon_id const& name, event_body const& body);
    void feed_incarnation(daemon_id const& name,
                          std::uint64_t incarnation,
                          event_body const& body);
    void execute(daemon_id const& from, effect const& what);
    void send(daemon_id const& from, send_peer const& message);
    void order(daemon_id const& from, send_agent const& sent);
    void attempt(daemon_id const& from, start_attempt const& start);
    void record_answer(request_id const& request, reported_outcome what);
    void write(daemon_id const& from,
               std::function<event_body(bool)> const& apply);
    event_body apply_table(propose_table const& e);
    event_body apply_intent(write_intent const& e);
    event_body apply_job(write_job const& e);
    void load(daemon_id const& from, shard_id const& home);
    void notify_all(std::function<event_body()> const& make);
    void send_cell_state(daemon_id const& name);
    void renew_lease(daemon_id const& name, std::uint64_t incarnation);
    void expire_leases();
    void tick_all();
    void update_links();
    fake_link& link(daemon_id const& a, daemon_id const& b);
    void list_instances(daemon_id const& name);
    agent_order_ended failed_order(send_agent const& sent,
                                   error_code code) const;

    std::mt19937_64 random;
    std::uint64_t sequence = 0;
    std::vector<pending> queue; //!< a heap, earliest first
    std::map<daemon_id, fake_daemon> daemons;
    std::map<daemon_pair, fake_link> links;
    std::map<request_id, std::string> key_of;
    std::map<request_id, daemon_id> entry_of;
    std::uint64_t calls = 0;
};

} // namespace cicada::failure_testing
