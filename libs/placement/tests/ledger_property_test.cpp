#include "placement/placement.hpp"

#include "naive_ledger.hpp"
#include "property_testing/property_testing.hpp"

#include <gtest/gtest.h>

namespace cicada
{
namespace
{

constexpr int worker_count = 12;
constexpr int workers_per_rack = 2;
constexpr int workers_per_zone = 6;
constexpr int hold_ms = 1'000;
constexpr int reserved_gang_tasks = 6;

/** Keeps the serials of second tasks apart from those of first tasks. */
constexpr int second_task_offset = 1'000;

/** Cumulative weights of the events in a script, out of event_weights. */
constexpr int place_one_end = 6;
constexpr int place_gang_end = 8;
constexpr int release_one_end = 12;
constexpr int end_hold_end = 13;
constexpr int advance_time_end = 15;
constexpr int event_weights = 16;

/** The kind of worker change that removes it; others set its accelerators. */
constexpr int remove_kind = 0;

task_id task_name(int serial)
{
    return task_id{"t" + std::to_string(serial)};
}

worker_offer make_offer(int number, resources const& capacity)
{
    int const zone = number / workers_per_zone;
    int const rack = number / workers_per_rack;
    std::string const zone_name = "z" + std::to_string(zone);
    return worker_offer{worker_id{"w" + std::to_string(number)},
                        zone_id{zone_name},
                        shard_id{zone_name + "/r" + std::to_string(rack)},
                        capacity,
                        true};
}

/** Applies events to the ledger under test and to the naive ledger. */
struct ledger_run
{
    ledger_ptr state = make_ledger();
    naive_ledger naive;
    std::map<job_id, std::vector<task_id>> holds;
    std::map<job_id, int> expiries;
    int serial = 0;
    int now_ms = 0;

    instant now() const
    {
        return instant{milliseconds{this->now_ms}};
    }

    void add_worker(int number, resources const& capacity)
    {
        worker_offer const offer = make_offer(number, capacity);
        set_worker(*this->state, offer);
        this->naive.workers.insert_or_assign(offer.worker, offer);
    }

    ledger_run()
    {
        for (int i = 0; i < worker_count; ++i)
        {
            this->add_worker(
                i, resources{8'000, 32'768, i % workers_per_zone == 0 ? 2 : 0});
        }
    }

    demand make_demand(script_reader& event) const
    {
        demand wanted;
        wanted.workload = workload_id{"l" + std::to_string(event.below(3))};
        wanted.size = resources{std::int64_t{500} * (1 + event.below(8)),
                                std::int64_t{1'500} * (1 + event.below(8)),
                                event.below(6) == 0 ? 1 : 0};
        wanted.preferred_zone = zone_id{"z" + std::to_string(event.below(2))};
        wanted.run_time = milliseconds{500 * (1 + event.below(9))};
        return wanted;
    }

    /** Records a placed task in the naive ledger; returns what is wrong. */
    std::string mirror_task(task_allocation const& allocation)
    {
        if (!this->naive.can_place(allocation.worker, allocation.size))
        {
            return "placed a task on a worker where it doesn't fit";
        }
        this->naive.tasks.emplace(allocation.task, allocation);
        return {};
    }

    std::string place_one(script_reader& event)
    {
        demand wanted = this->make_demand(event);
        wanted.policy = event.below(2) == 0 ? placement_policy::pack
                                            : placement_policy::spread;
        naive_score const best = this->naive.best(wanted);
        std::vector<task_allocation> const placed = place(
            *this->state, wanted, {task_name(++this->serial)}, this->now());
        if (placed.empty())
        {
            return best.parts.empty() ? std::string()
                                      : "refused a task that fits";
        }
        worker_offer const& offer =
            this->naive.workers.at(placed.front().worker);
        if (this->naive.score(wanted, offer) != best)
        {
            return "placed a task on a worker that isn't the best";
        }
        return this->mirror_task(placed.front());
    }

    std::string place_gang(script_reader& event)
    {
        demand wanted = this->make_demand(event);
        wanted.policy = event.below(2) == 0 ? placement_policy::close
                                            : placement_policy::pack;
        wanted.all_or_none = true;
        int const count = 2 + event.below(10);
        std::vector<task_id> tasks;
        tasks.reserve(static_cast<std::size_t>(count));
        for (int i = 0; i < count; ++i)
        {
            tasks.push_back(task_name(++this->serial));
        }
        bool const close = wanted.policy == placement_policy::close;
        auto const every_worker = [](worker_offer const&)
        {
            return true;
        };
        bool const possible =
            close
                ? this->naive.fits_close(wanted.size, count, false)
                : this->naive.task_capacity(wanted.size, every_worker) >= count;
        job_id const job{"j" + std::to_string(this->serial)};
        instant const expires = this->now() + milliseconds{hold_ms};
        std::vector<task_allocation> const placed =
            hold(*this->state, job, wanted, tasks, this->now(), expires);
        if (placed.size() != (possible ? tasks.size() : 0))
        {
            return "placed only part of a gang, or refused a gang that fits";
        }
        if (possible)
        {
            this->holds.emplace(job, tasks);
            this->expiries.emplace(job, this->now_ms + hold_ms);
        }
        return this->mirror_gang(placed, close);
    }

    std::string mirror_gang(std::vector<task_allocation> const& placed,
                            bool close)
    {
        std::set<zone_id> zones;
        for (task_allocation const& allocation : placed)
        {
            zones.insert(this->naive.workers.at(allocation.worker).zone);
            std::string fault = this->mirror_task(allocation);
            if (!fault.empty())
            {
                return fault;
            }
        }
        return close && zones.size() > 1
                   ? "placed a close gang in several zones"
                   : "";
    }

    std::string end_hold(bool commit)
    {
        if (this->holds.empty())
        {
            return {};
        }
        job_id const job = this->holds.begin()->first;
        if (commit)
        {
            commit_hold(*this->state, job);
        }
        else
        {
            release_hold(*this->state, job);
            this->erase_naive(this->holds.at(job));
        }
        this->holds.erase(job);
        this->expiries.erase(job);
        return {};
    }

    void erase_naive(std::vector<task_id> const& tasks)
    {
        for (task_id const& task : tasks)
        {
            this->naive.tasks.erase(task);
        }
    }

    std::string advance_time(int ms)
    {
        this->now_ms += ms;
        for (job_id const& job : expire_holds(*this->state, this->now()))
        {
            if (this->expiries.at(job) > this->now_ms)
            {
                return "a hold expired too early";
            }
            this->erase_naive(this->holds.at(job));
            this->holds.erase(job);
            this->expiries.erase(job);
        }
        return {};
    }

    std::string release_one(int index)
    {
        if (this->naive.tasks.empty())
        {
            return {};
        }
        auto const at =
            std::next(this->naive.tasks.begin(),
                      index % static_cast<int>(this->naive.tasks.size()));
        std::optional<task_allocation> const released =
            release_task(*this->state, at->first);
        bool const same = released && *released == at->second;
        this->naive.tasks.erase(at);
        return same ? "" : "released an allocation other than the one placed";
    }

    std::string replace_worker(int number, int kind)
    {
        worker_id const name{"w" + std::to_string(number)};
        if (kind == remove_kind)
        {
            remove_worker(*this->state, name);
            this->naive.workers.erase(name);
            std::erase_if(this->naive.tasks,
                          [&](auto const& allocation)
                          {
                              return allocation.second.worker == name;
                          });
            return {};
        }
        this->add_worker(number, resources{8'000, 32'768, kind - 1});
        return {};
    }

    std::string step(std::uint32_t number)
    {
        script_reader event(number);
        int const kind = event.below(event_weights);
        std::string fault =
            kind < place_one_end     ? this->place_one(event)
            : kind < place_gang_end  ? this->place_gang(event)
            : kind < release_one_end ? this->release_one(event.below(1'000))
            : kind < end_hold_end    ? this->end_hold(event.below(2) == 0)
            : kind < advance_time_end
                ? this->advance_time(event.below(400))
                : this->replace_worker(event.below(worker_count),
                                       event.below(4));
        return fault.empty() ? check_invariants(*this->state) : fault;
    }
};

TEST(ledger, agrees_with_a_scan_of_the_fleet)
{
    EXPECT_EQ(find_counterexample(
                  [](script const& events)
                  {
                      ledger_run run;
                      std::string fault;
                      for (std::uint32_t const event : events)
                      {
                          fault = fault.empty() ? run.step(event) : fault;
                      }
                      return fault;
                  },
                  150,
                  200),
              "");
}

/** True if the gang fits at its start when tasks end as expected. */
bool gang_can_start(ledger const& state, gang_reservation const& gang)
{
    for (reserved_share const& share : gang.shares)
    {
        worker_usage const usage = *find_worker(state, share.worker);
        resources unused = usage.offer.capacity - gang.size * share.tasks;
        for (task_allocation const& task : tasks_on(state, share.worker))
        {
            unused =
                task.expected_end > gang.start ? unused - task.size : unused;
        }
        if (!non_negative(unused))
        {
            return false;
        }
    }
    return true;
}

/** Fills a fleet, reserves for a gang, then places and releases more tasks. */
std::string place_after_reservation(script const& events)
{
    ledger_run run;
    std::size_t const half = events.size() / 2;
    std::optional<gang_reservation> gang;
    for (std::size_t i = 0; i < events.size(); ++i)
    {
        script_reader event(events[i]);
        if (i == half)
        {
            demand const wanted = run.make_demand(event);
            gang = reserve_gang(*run.state,
                                job_id{"gang"},
                                wanted,
                                reserved_gang_tasks,
                                run.now());
        }
        std::vector<task_id> const name{task_name(static_cast<int>(i))};
        if (event.below(4) == 0)
        {
            release_task(*run.state, task_name(event.below(200)));
        }
        else
        {
            demand wanted = run.make_demand(event);
            wanted.policy = static_cast<placement_policy>(event.below(3));
            std::vector<task_id> tasks = name;
            if (wanted.policy == placement_policy::close)
            {
                tasks.push_back(
                    task_name(static_cast<int>(i) + second_task_offset));
            }
            place(*run.state, wanted, tasks, run.now());
        }
        if (gang && !gang_can_start(*run.state, *gang))
        {
            return "a task was placed that delays the gang";
        }
    }
    return check_invariants(*run.state);
}

TEST(reservation, is_not_delayed_by_later_placements)
{
    EXPECT_EQ(find_counterexample(place_after_reservation, 200, 200), "");
}

} // namespace
} // namespace cicada
