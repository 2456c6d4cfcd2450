#include "ledger_state.hpp"

#include <algorithm>

namespace cicada
{
namespace
{

/** The expected end of a task, which frees its resources. */
struct task_end
{
    instant at;
    worker_record* worker = nullptr;
    resources size;
};

/** A worker's free resources once some of its tasks have ended. */
struct worker_forecast
{
    worker_record* worker = nullptr;
    resources unused;
    int tasks = 0; //!< of the gang that fit into `unused`
};

/** Expected capacity for a gang in a zone, or in the whole fleet. */
struct capacity_forecast
{
    std::map<std::uint64_t, worker_forecast> workers; //!< by number
    std::vector<task_end> ends; //!< earliest first, once sorted
    int gang_tasks = 0;         //!< that fit on all workers
    instant start;
};

void add_worker(ledger const& state,
                worker_record& worker,
                resources const& size,
                capacity_forecast& forecast)
{
    resources const unused = free_of(worker);
    int const tasks = task_capacity(unused, size);
    forecast.workers.emplace(worker.number,
                             worker_forecast{&worker, unused, tasks});
    forecast.gang_tasks += tasks;
    for (task_id const& id : worker.tasks)
    {
        task_allocation const& task = state.tasks.at(id);
        forecast.ends.push_back(
            task_end{task.expected_end, &worker, task.size});
    }
}

/**
 * Frees the resources of tasks in the order of their expected ends until the
 * gang fits, and sets the start to that time. False if it never fits.
 */
bool advance_until_fit(capacity_forecast& forecast,
                       resources const& size,
                       int count,
                       instant now)
{
    std::stable_sort(forecast.ends.begin(),
                     forecast.ends.end(),
                     [](task_end const& left, task_end const& right)
                     {
                         return left.at < right.at;
                     });
    forecast.start = now;
    for (task_end const& end : forecast.ends)
    {
        if (forecast.gang_tasks >= count || end.at == instant::max())
        {
            break;
        }
        worker_forecast& worker = forecast.workers.at(end.worker->number);
        worker.unused = worker.unused + end.size;
        int const tasks = task_capacity(worker.unused, size);
        forecast.gang_tasks += tasks - worker.tasks;
        worker.tasks = tasks;
        forecast.start = std::max(forecast.start, end.at);
    }
    return forecast.gang_tasks >= count;
}

/** Distributes `count` tasks over the fewest workers that fit them. */
std::vector<reserved_share> make_shares(capacity_forecast const& forecast,
                                        int count)
{
    std::vector<worker_forecast> workers;
    for (auto const& [number, worker] : forecast.workers)
    {
        workers.push_back(worker);
    }
    std::stable_sort(
        workers.begin(),
        workers.end(),
        [](worker_forecast const& left, worker_forecast const& right)
        {
            return left.tasks > right.tasks;
        });
    std::vector<reserved_share> shares;
    for (worker_forecast const& worker : workers)
    {
        int const tasks = std::min(worker.tasks, count);
        if (tasks == 0)
        {
            break;
        }
        shares.push_back(reserved_share{worker.worker->offer.worker, tasks});
        count -= tasks;
    }
    return shares;
}

capacity_forecast forecast_capacity(ledger& state,
                                    demand const& wanted,
                                    std::optional<zone_id> const& zone)
{
    capacity_forecast forecast;
    for (auto& [id, worker] : state.workers)
    {
        if (worker.offer.in_rotation && (!zone || worker.offer.zone == *zone))
        {
            add_worker(state, worker, wanted.size, forecast);
        }
    }
    return forecast;
}

std::vector<std::optional<zone_id>> reservation_scopes(ledger const& state,
                                                       demand const& wanted)
{
    if (wanted.policy != placement_policy::close)
    {
        return {std::nullopt};
    }
    std::vector<std::optional<zone_id>> scopes;
    for (zone_id const& zone : zones_in_order(state, wanted.preferred_zone))
    {
        scopes.emplace_back(zone);
    }
    return scopes;
}

} // namespace

bool can_place(ledger const& state,
               worker_record const& worker,
               resources const& size,
               instant expected_end)
{
    resources const unused = free_of(worker);
    if (!worker.offer.in_rotation || !fits(size, unused))
    {
        return false;
    }
    if (worker.reserved_tasks == 0 || expected_end <= state.reservation->start)
    {
        return true;
    }
    resources unused_at_start = unused;
    for (task_id const& id : worker.tasks)
    {
        task_allocation const& task = state.tasks.at(id);
        if (task.expected_end <= state.reservation->start)
        {
            unused_at_start = unused_at_start + task.size;
        }
    }
    resources const reserved = state.reservation->size * worker.reserved_tasks;
    return fits(size + reserved, unused_at_start);
}

std::optional<gang_reservation> reserve_gang(ledger& state,
                                             job_id const& job,
                                             demand const& wanted,
                                             int count,
                                             instant now)
{
    cancel_reservation(state);
    std::optional<gang_reservation> best;
    for (std::optional<zone_id> const& scope :
         reservation_scopes(state, wanted))
    {
        capacity_forecast forecast = forecast_capacity(state, wanted, scope);
        if (!advance_until_fit(forecast, wanted.size, count, now) ||
            (best && best->start <= forecast.start))
        {
            continue;
        }
        best = gang_reservation{
            job, forecast.start, wanted.size, make_shares(forecast, count)};
    }
    state.reservation = best;
    if (best)
    {
        for (reserved_share const& share : best->shares)
        {
            state.workers.at(share.worker).reserved_tasks = share.tasks;
        }
    }
    return best;
}

void cancel_reservation(ledger& state)
{
    if (!state.reservation)
    {
        return;
    }
    for (reserved_share const& share : state.reservation->shares)
    {
        auto const found = state.workers.find(share.worker);
        if (found != state.workers.end())
        {
            found->second.reserved_tasks = 0;
        }
    }
    state.reservation.reset();
}

std::optional<gang_reservation> reservation_of(ledger const& state)
{
    return state.reservation;
}

} // namespace cicada
