#include "pool.hpp"

#include <deque>
#include <queue>
#include <unordered_map>

namespace cicada
{
namespace
{

constexpr int max_waiting = 20'000;
constexpr int max_waiting_tenant = 2'000;

/** An attempt that ends. */
struct slot_end
{
    instant at;
    std::size_t which = 0;

    auto operator<=>(slot_end const&) const = default;
};

/** What is running, and how each request fared. */
struct pool
{
    std::vector<arrival> const* list = nullptr;
    int free = 0;
    std::priority_queue<slot_end, std::vector<slot_end>, std::greater<>> ends;
    std::vector<fate> fates;

    void start(std::size_t which, instant now)
    {
        arrival const& one = (*this->list)[which];
        --this->free;
        this->ends.push(slot_end{now + one.service, which});
        this->fates[which].served = true;
        this->fates[which].wait = now - one.entry.arrived;
    }
};

pool make_pool(int slots, std::vector<arrival> const& list)
{
    pool made;
    made.list = &list;
    made.free = slots;
    made.fates.reserve(list.size());
    for (arrival const& one : list)
    {
        made.fates.push_back(fate{one.entry, false, {}, {}});
    }
    return made;
}

/** Runs all arrivals and ends in order of time. */
template <class Arrive, class End, class Fill>
void run(pool& cell, Arrive const& arrive, End const& end, Fill const& fill)
{
    std::size_t next = 0;
    std::vector<arrival> const& list = *cell.list;
    while (next < list.size())
    {
        bool const ends_first = !cell.ends.empty() &&
                                cell.ends.top().at <= list[next].entry.arrived;
        instant const now =
            ends_first ? cell.ends.top().at : list[next].entry.arrived;
        if (ends_first)
        {
            std::size_t const which = cell.ends.top().which;
            cell.ends.pop();
            ++cell.free;
            end(which);
        }
        else
        {
            arrive(next++, now);
        }
        fill(now);
    }
}

} // namespace

std::vector<fate> run_naive(int slots, std::vector<arrival> const& list)
{
    pool cell = make_pool(slots, list);
    std::deque<std::size_t> line;
    run(
        cell,
        [&](std::size_t which, instant)
        {
            if (line.size() < max_waiting)
            {
                line.push_back(which);
            }
        },
        [](std::size_t) {},
        [&](instant now)
        {
            while (cell.free > 0 && !line.empty())
            {
                if (list[line.front()].entry.deadline > now)
                {
                    cell.start(line.front(), now);
                }
                line.pop_front();
            }
        });
    return cell.fates;
}

std::vector<fate> run_ours(int slots, std::vector<arrival> const& list)
{
    pool cell = make_pool(slots, list);
    fair_queue_ptr const queue =
        make_fair_queue({.slots = slots, .max_total = max_waiting});
    std::map<tenant_id, tenant_limits> limits;
    std::unordered_map<request_id, std::size_t> numbers;
    for (std::size_t i = 0; i < list.size(); ++i)
    {
        queue_entry const& entry = list[i].entry;
        numbers.emplace(entry.request, i);
        tenant_limits& one = limits[entry.tenant];
        one.max_queued = max_waiting_tenant;
    }
    set_limits(*queue, limits);
    run(
        cell,
        [&](std::size_t which, instant now)
        {
            queue_entry const& entry = list[which].entry;
            cell.fates[which].promised = expected_wait(
                *queue, entry.urgency, entry.tenant, entry.workload);
            push(*queue, entry, now);
        },
        [&](std::size_t which)
        {
            record_service(
                *queue, list[which].entry.workload, list[which].service);
        },
        [&](instant now)
        {
            expire(*queue, now);
            while (std::optional<queue_entry> const next =
                       pop(*queue, cell.free, now))
            {
                cell.start(numbers.at(next->request), now);
            }
        });
    return cell.fates;
}

} // namespace cicada
