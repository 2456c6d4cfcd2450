#pragma once

#include "batch_checker/batch_checker.hpp"

#include <optional>

/** Models a worker that follows docs/CONTRACTS.md, without a network. */
namespace cicada::batch::model
{

struct model_run
{
    std::uint64_t run = 0;
    resources size;
    milliseconds work_left{0};
    bool fails = false; //!< ends as failed instead of done
    bool gang = false;
    instant began;
    std::optional<instant> stops_at;
};

class worker_model
{
public:
    worker_model(worker_offer const& offer, checker& invariants);

    worker_offer offer;
    std::uint64_t token = 0;

    /** Handles a start; the cell model draws `fails` and `work`. */
    order_outcome start(instant now,
                        start_task const& order,
                        task_step const& shape,
                        milliseconds work,
                        bool fails);
    /** The run goes on for `span` before it ends as stopped. */
    order_outcome stop(instant now, stop_task const& order, milliseconds span);
    /** Returns nullopt if the token is too low. */
    std::optional<worker_report> poll(instant now, poll_worker const& order);

    /** Loses all runs and ends, and restarts as this incarnation, whose clock
     * starts at 0. */
    void crash(instant now, std::int64_t incarnation);

    /** Advances the runs by `span`. Ends the finished ones, or all of them if
     * the lease has expired. */
    void advance(instant now, milliseconds span);

    /** The cell model ends the members of a gang together. */
    std::map<task_ref, model_run> runs;
    void end(task_ref const& task, run_end how);

    /** Returns the worker's own clock, which runs 2% slow. */
    std::int64_t clock(instant now) const;
    bool partitioned = false; //!< unreachable, but still running
    /** Only this placer reaches it. */
    std::optional<std::size_t> isolated_with;
    bool listed = true; //!< in the list of workers
    std::size_t ends_per_report = 500;

private:
    /** Extends the lease, by no more than the worker's limit from now on. */
    void extend(instant now, std::optional<std::int64_t> until);
    void note_lapse(instant now);
    resources used() const;

    checker& invariants;
    instant life_began;
    std::int64_t lease_until = 0;
    std::uint64_t next_end = 1;
    std::uint64_t lapsed_ends = 0; //!< ends up to here precede a lapsed lease
    std::vector<finished_run> ends;
    std::map<task_ref, std::uint64_t> refused_up_to;
};

} // namespace cicada::batch::model
