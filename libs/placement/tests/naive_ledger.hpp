#pragma once

#include "placement/placement.hpp"

#include <algorithm>

/** A reference ledger for tests, without indexes: every query is a scan. */
namespace cicada
{

/** Free processors within which packing doesn't tell workers apart. */
constexpr std::int64_t naive_row_milli_cores = 1'000;

/** A worker's score for a demand, compared part by part; lower is better. */
struct naive_score
{
    std::vector<std::int64_t> parts;

    bool operator==(naive_score const&) const = default;
    auto operator<=>(naive_score const&) const = default;
};

struct naive_ledger
{
    std::map<worker_id, worker_offer> workers;
    std::map<task_id, task_allocation> tasks;

    resources free_on(worker_id const& name) const
    {
        resources unused = this->workers.at(name).capacity;
        for (auto const& [task, allocation] : this->tasks)
        {
            unused =
                allocation.worker == name ? unused - allocation.size : unused;
        }
        return unused;
    }

    bool can_place(worker_id const& name, resources const& size) const
    {
        return this->workers.at(name).in_rotation &&
               fits(size, this->free_on(name));
    }

    template <class Filter>
    int count(workload_id const& workload, Filter const& accepts) const
    {
        int sum = 0;
        for (auto const& [task, allocation] : this->tasks)
        {
            sum += allocation.workload == workload &&
                           accepts(this->workers.at(allocation.worker))
                       ? 1
                       : 0;
        }
        return sum;
    }

    naive_score score(demand const& wanted, worker_offer const& offer) const
    {
        std::int64_t const needless_accelerators =
            wanted.size.accelerators == 0 && offer.capacity.accelerators > 0;
        std::int64_t const other_zone = offer.zone != wanted.preferred_zone;
        if (wanted.policy == placement_policy::pack)
        {
            resources const unused = this->free_on(offer.worker);
            return naive_score{{needless_accelerators,
                                other_zone,
                                unused.accelerators,
                                unused.milli_cores / naive_row_milli_cores}};
        }
        int const in_zone = this->count(wanted.workload,
                                        [&](worker_offer const& other)
                                        {
                                            return other.zone == offer.zone;
                                        });
        int const in_rack = this->count(wanted.workload,
                                        [&](worker_offer const& other)
                                        {
                                            return other.rack == offer.rack;
                                        });
        return naive_score{
            {needless_accelerators, in_zone, other_zone, in_rack}};
    }

    /** The best score of the workers that fit; empty if none does. */
    naive_score best(demand const& wanted) const
    {
        naive_score found;
        for (auto const& [name, offer] : this->workers)
        {
            if (!this->can_place(name, wanted.size))
            {
                continue;
            }
            naive_score const score = this->score(wanted, offer);
            found = found.parts.empty() ? score : std::min(found, score);
        }
        return found;
    }

    /** How many tasks fit on the workers that `accepts` selects. */
    template <class Filter>
    int task_capacity(resources const& size, Filter const& accepts) const
    {
        int sum = 0;
        for (auto const& [name, offer] : this->workers)
        {
            resources unused = this->free_on(name);
            while (offer.in_rotation && accepts(offer) && fits(size, unused))
            {
                unused = unused - size;
                ++sum;
            }
        }
        return sum;
    }

    /** True if `count` tasks fit into one zone, or into one rack. */
    bool fits_close(resources const& size, int count, bool in_one_rack) const
    {
        for (auto const& entry : this->workers)
        {
            worker_offer const& reference = entry.second;
            auto const same_group = [&](worker_offer const& other)
            {
                return in_one_rack ? other.rack == reference.rack
                                   : other.zone == reference.zone;
            };
            int const capacity = this->task_capacity(size, same_group);
            if (capacity >= count)
            {
                return true;
            }
        }
        return false;
    }

    bool over_capacity() const
    {
        for (auto const& [name, offer] : this->workers)
        {
            if (!non_negative(this->free_on(name)))
            {
                return true;
            }
        }
        return false;
    }
};

} // namespace cicada
