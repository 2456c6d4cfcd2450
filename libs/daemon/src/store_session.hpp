#pragma once

#include "loop.hpp"
#include "store/store.hpp"

/**
 * This daemon's dealings with the platform's service: its membership lease,
 * the watch on what every daemon follows, and the records that the reducer
 * asks to be written. On the decision thread.
 */
namespace cicada
{

class store_session
{
public:
    /** `run` and `client` outlive this object. */
    store_session(loop& run,
                  store_client& client,
                  daemon_settings const& settings);

    /** Joins the cell: lease, member record, first read, watch. */
    void start();

    /** Ends the lease, so that the others see this daemon go at once. */
    void leave(std::function<void()> const& done);

    void carry_out(write_intent const& effect);
    void carry_out(write_job const& effect);
    void carry_out(load_jobs const& effect);
    void carry_out(propose_table const& effect);
    void carry_out(write_member const& effect);

    /** Reads a job by its home and name, over or not. */
    void find_job(
        shard_id const& home,
        job_id const& name,
        std::function<void(result<std::optional<job_record>>)> const& handler);

    /** Whether the service answered lately. */
    bool reachable() const;

private:
    /** Delay before a failed lease grant, write or read is retried. */
    static constexpr milliseconds rejoin_delay{500};

    void join();
    void take_lease(result<lease_answer> const& answer, instant asked);
    void renew();
    void schedule_renewal();
    void check_expiry();
    void put_member();
    void keep_record_lease();
    void read_cell();
    void take_cell(range_answer const& cell);
    void take_value(key_value const& value);
    void take_watch(watch_event const& happened);
    void take_change(key_change const& change);
    void tell_members();
    void heard(bool answered);
    txn creation(write_job const& effect) const;
    void replace_intent(write_intent const& effect, key_value const& stored);
    void commit_intent(write_intent const& effect, txn const& request);

    loop& run;
    store_client& client;
    daemon_settings const settings;
    member self;
    lease_id lease;
    instant lease_end;
    bool lease_told = false;
    lease_id record_lease; //!< of intents and ended jobs written lately
    bool watching = false;
    bool leaving = false;
    bool up = true;
    std::map<daemon_id, member> members;
    bool members_changed = false;
    std::uint64_t table_version = 0;
    std::int64_t table_revision = 0; //!< of the service, at that version
};

} // namespace cicada
