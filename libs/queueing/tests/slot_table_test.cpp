#include "queueing/queueing.hpp"

#include "property_testing/property_testing.hpp"

#include <gtest/gtest.h>

namespace cicada
{
namespace
{

workload_id const ping{"ping"};
zone_id const local_zone{"a"};
zone_id const cheap_zone{"b"};
zone_id const expensive_zone{"c"};

/** One endpoint of a test case. */
struct endpoint_row
{
    zone_id zone;
    int slots = 0;
    rotation state = rotation::in;
    int in_use = 0;
};

struct choice_case
{
    char const* name;
    std::vector<endpoint_row> endpoints;
    int expected; //!< index into endpoints; -1: none
};

endpoint_id endpoint_name(std::size_t number)
{
    return endpoint_id{"e" + std::to_string(number)};
}

void add_endpoint(slot_table& table,
                  std::size_t number,
                  endpoint_row const& row)
{
    endpoint_id const name = endpoint_name(number);
    set_endpoint(table, {name, ping, row.zone, row.slots, row.state});
    for (int i = 0; i < row.in_use; ++i)
    {
        adopt_attempt(
            table, attempt_id{name.value + "/" + std::to_string(i)}, name);
    }
}

class slot_choice : public testing::TestWithParam<choice_case>
{
};

TEST_P(slot_choice, chooses_the_best_endpoint)
{
    choice_case const& row = this->GetParam();
    slot_table_ptr const table = make_slot_table();
    set_link(*table, {local_zone, cheap_zone, 1, milliseconds{4}});
    set_link(*table, {local_zone, expensive_zone, 2, milliseconds{3}});
    for (std::size_t i = 0; i < row.endpoints.size(); ++i)
    {
        add_endpoint(*table, i, row.endpoints[i]);
    }
    std::optional<endpoint_id> const chosen =
        acquire_slot(*table, attempt_id{"new"}, ping, local_zone);
    ASSERT_EQ(chosen.has_value(), row.expected >= 0);
    if (chosen)
    {
        EXPECT_EQ(*chosen,
                  endpoint_name(static_cast<std::size_t>(row.expected)));
    }
    EXPECT_EQ(check_invariants(*table), "");
}

INSTANTIATE_TEST_SUITE_P(
    table,
    slot_choice,
    testing::Values(
        choice_case{"least_loaded",
                    {{local_zone, 8, rotation::in, 3},
                     {local_zone, 8, rotation::in, 2}},
                    1},
        choice_case{"load_by_size",
                    {{local_zone, 2, rotation::in, 1},
                     {local_zone, 8, rotation::in, 3}},
                    1},
        choice_case{"own_zone_first",
                    {{cheap_zone, 8, rotation::in, 0},
                     {local_zone, 8, rotation::in, 7}},
                    1},
        choice_case{"cheap_link_before_short_link",
                    {{expensive_zone, 8, rotation::in, 0},
                     {cheap_zone, 8, rotation::in, 7},
                     {local_zone, 1, rotation::in, 1}},
                    1},
        choice_case{"unknown_link_last",
                    {{zone_id{"0"}, 8, rotation::in, 0},
                     {expensive_zone, 8, rotation::in, 0}},
                    1},
        choice_case{"none_free", {{local_zone, 1, rotation::in, 1}}, -1},
        choice_case{"out", {{local_zone, 8, rotation::out, 0}}, -1},
        choice_case{
            "probe_in_progress", {{local_zone, 8, rotation::probing, 1}}, -1},
        choice_case{"probe", {{local_zone, 8, rotation::probing, 0}}, 0},
        choice_case{"above_its_slots", {{local_zone, 2, rotation::in, 3}}, -1}),
    [](testing::TestParamInfo<choice_case> const& info)
    {
        return std::string(info.param.name);
    });

TEST(slot_table, keeps_a_quarantined_slot_until_settled)
{
    slot_table_ptr const table = make_slot_table();
    add_endpoint(*table, 0, {local_zone, 1, rotation::in, 0});
    attempt_id const quarantined{"lost"};
    ASSERT_TRUE(
        acquire_slot(*table, quarantined, ping, local_zone).has_value());
    EXPECT_TRUE(quarantine_slot(*table, quarantined));
    EXPECT_FALSE(release_slot(*table, quarantined));
    EXPECT_FALSE(acquire_slot(*table, attempt_id{"x"}, ping, local_zone));
    EXPECT_TRUE(settle_slot(*table, quarantined));
    EXPECT_TRUE(acquire_slot(*table, attempt_id{"x"}, ping, local_zone));
}

/** Runs events on a slot table and on plain maps that are scanned linearly. */
struct table_model
{
    slot_table_ptr table = make_slot_table();
    std::map<endpoint_id, endpoint_slots> endpoints;
    std::map<attempt_id, endpoint_id> attempts;

    int slots_in_use(endpoint_id const& name) const
    {
        int count = 0;
        for (auto const& [attempt, at] : this->attempts)
        {
            count += at == name ? 1 : 0;
        }
        return count;
    }

    int free_at(endpoint_slots const& value) const
    {
        int const allowed = value.state == rotation::in ? value.slots
                            : value.state == rotation::probing
                                ? std::min(1, value.slots)
                                : 0;
        return std::max(0, allowed - this->slots_in_use(value.endpoint));
    }

    int free_slots() const
    {
        int sum = 0;
        for (auto const& [name, value] : this->endpoints)
        {
            sum += this->free_at(value);
        }
        return sum;
    }

    std::string acquire(attempt_id const& attempt)
    {
        bool const possible =
            this->free_slots() > 0 && !this->attempts.contains(attempt);
        std::optional<endpoint_id> const acquired =
            acquire_slot(*this->table, attempt, ping, local_zone);
        if (acquired.has_value() != possible)
        {
            return "acquire_slot() found a slot where a scan finds none, or "
                   "the reverse";
        }
        if (acquired && this->free_at(this->endpoints.at(*acquired)) == 0)
        {
            return "acquire_slot() exceeded the slots of an endpoint";
        }
        if (acquired)
        {
            this->attempts.emplace(attempt, *acquired);
        }
        return {};
    }

    std::string step(std::uint32_t number)
    {
        script_reader event(number);
        int const kind = event.below(5);
        endpoint_id const name =
            endpoint_name(static_cast<std::size_t>(event.below(6)));
        attempt_id const attempt{std::to_string(event.below(40))};
        rotation const state = static_cast<rotation>(event.below(3));
        int const slots = event.below(5);
        zone_id const zone = event.below(2) == 0 ? local_zone : cheap_zone;
        if (kind == 0)
        {
            endpoint_slots const value{name, ping, zone, slots, state};
            set_endpoint(*this->table, value);
            this->endpoints.insert_or_assign(name, value);
        }
        else if (kind == 1 && this->endpoints.contains(name))
        {
            set_rotation(*this->table, name, state);
            this->endpoints.at(name).state = state;
        }
        else if (kind == 2 && slots == 0)
        {
            remove_endpoint(*this->table, name);
            this->endpoints.erase(name);
            std::erase_if(this->attempts,
                          [&](auto const& entry)
                          {
                              return entry.second == name;
                          });
        }
        else if (kind == 3)
        {
            bool const known = this->attempts.erase(attempt) > 0;
            if (release_slot(*this->table, attempt) != known)
            {
                return "release_slot() freed an unknown attempt, or failed for "
                       "a known attempt";
            }
        }
        else if (std::string problem = this->acquire(attempt); !problem.empty())
        {
            return problem;
        }
        if (counts_of(*this->table, ping).free != this->free_slots())
        {
            return "counts_of() does not match the free slots found by a scan";
        }
        return check_invariants(*this->table);
    }
};

TEST(slot_table, agrees_with_a_linear_scan)
{
    EXPECT_EQ(find_counterexample(
                  [](script const& events)
                  {
                      table_model model;
                      std::string problem;
                      for (std::uint32_t const event : events)
                      {
                          problem =
                              problem.empty() ? model.step(event) : problem;
                      }
                      return problem;
                  },
                  200,
                  300),
              "");
}

} // namespace
} // namespace cicada
