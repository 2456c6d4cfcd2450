#include "queueing/queueing.hpp"

#include "property_testing/property_testing.hpp"

#include <gtest/gtest.h>

namespace cicada
{
namespace
{

constexpr int enough_free_slots = 1'000;

tenant_limits make_limits(int weight, int max_queued)
{
    tenant_limits limits;
    limits.weight = weight;
    limits.max_queued = max_queued;
    return limits;
}

instant at(int ms)
{
    return instant{milliseconds{ms}};
}

/** Runs events on a queue and on a plain list of the requests due in it. */
struct queue_model
{
    fair_queue_ptr queue = make_fair_queue({.slots = 50, .max_total = 12});
    std::map<request_id, queue_entry> expected;
    int now_ms = 0;
    int last_serial = 0;

    instant now() const
    {
        return at(this->now_ms);
    }

    bool remove_expected(queue_entry const& removed)
    {
        auto const found = this->expected.find(removed.request);
        if (found == this->expected.end() || found->second != removed)
        {
            return false;
        }
        this->expected.erase(found);
        return true;
    }

    /** True if no request of the same flow arrived earlier. */
    bool first_of_flow(queue_entry const& removed) const
    {
        for (auto const& [name, other] : this->expected)
        {
            if (other.tenant == removed.tenant &&
                other.urgency == removed.urgency &&
                other.workload == removed.workload &&
                other.arrived < removed.arrived)
            {
                return false;
            }
        }
        return true;
    }

    std::string add(script_reader& event)
    {
        queue_entry entry;
        entry.tenant = tenant_id{"t" + std::to_string(event.below(4))};
        entry.urgency = static_cast<work_class>(event.below(3));
        entry.workload = workload_id{"w" + std::to_string(event.below(2))};
        entry.deadline = this->now() + milliseconds{event.below(9'000) + 1};
        entry.arrived = this->now();
        entry.request = request_id{std::to_string(++this->last_serial)};
        push_outcome const outcome = push(*this->queue, entry, this->now());
        if (outcome.accepted)
        {
            this->expected.emplace(entry.request, entry);
        }
        if (outcome.accepted == outcome.shed.has_value() &&
            !(outcome.accepted && outcome.shed->entry != entry))
        {
            return "push() accepted a request and shed the same one, or did "
                   "neither";
        }
        if (outcome.accepted && outcome.shed &&
            !this->remove_expected(outcome.shed->entry))
        {
            return "push() shed a request that was not queued";
        }
        return {};
    }

    std::string expire_all()
    {
        for (queue_entry const& removed : expire(*this->queue, this->now()))
        {
            if (removed.deadline > this->now() ||
                !this->remove_expected(removed))
            {
                return "expire() returned a request before its deadline or "
                       "twice";
            }
        }
        for (auto const& [name, entry] : this->expected)
        {
            if (entry.deadline <= this->now())
            {
                return "expire() left an expired request in the queue";
            }
        }
        return {};
    }

    std::string pop_next()
    {
        std::string problem = this->expire_all();
        if (!problem.empty())
        {
            return problem;
        }
        std::optional<queue_entry> const popped =
            pop(*this->queue, enough_free_slots, this->now());
        if (popped.has_value() == this->expected.empty())
        {
            return "pop() was empty with requests queued, or the reverse";
        }
        if (popped &&
            (!this->first_of_flow(*popped) || !this->remove_expected(*popped)))
        {
            return "pop() returned a request twice or out of its flow's order";
        }
        return {};
    }

    std::string cancel_request(int serial)
    {
        request_id const name{std::to_string(serial)};
        bool const known = this->expected.erase(name) > 0;
        if (cancel(*this->queue, name).has_value() != known)
        {
            return "cancel() missed a queued request, or found one not queued";
        }
        return {};
    }

    std::string step(std::uint32_t number)
    {
        script_reader event(number);
        int const kind = event.below(8);
        this->now_ms += event.below(4) == 0 ? event.below(2'000) : 0;
        std::string problem = kind < 4   ? this->add(event)
                              : kind < 6 ? this->pop_next()
                              : kind < 7
                                  ? this->cancel_request(event.below(200))
                                  : this->expire_all();
        if (problem.empty() &&
            queued(*this->queue) != static_cast<int>(this->expected.size()))
        {
            return "queued() does not match the expected number of requests";
        }
        return problem.empty() ? check_invariants(*this->queue) : problem;
    }
};

TEST(fair_queue, returns_each_request_exactly_once)
{
    EXPECT_EQ(find_counterexample(
                  [](script const& events)
                  {
                      queue_model model;
                      std::string problem;
                      for (std::uint32_t const event : events)
                      {
                          problem =
                              problem.empty() ? model.step(event) : problem;
                      }
                      return problem;
                  },
                  300,
                  400),
              "");
}

queue_entry make_entry(int serial,
                       char const* tenant,
                       work_class urgency,
                       char const* workload,
                       int ms)
{
    return queue_entry{request_id{std::to_string(serial)},
                       tenant_id{tenant},
                       urgency,
                       workload_id{workload},
                       at(ms),
                       at(ms + 60'000)};
}

TEST(fair_queue, sheds_from_the_longest_flow_of_a_full_tenant)
{
    fair_queue_ptr const queue = make_fair_queue({.slots = 50});
    set_limits(*queue, {{tenant_id{"t"}, make_limits(1, 100)}});
    for (int i = 0; i < 200; ++i)
    {
        push(*queue,
             make_entry(i, "t", work_class::background, "thumbnail", 0),
             at(0));
    }
    EXPECT_EQ(queued(*queue), 100);
    push_outcome const proof = push(
        *queue, make_entry(900, "t", work_class::normal, "proof", 0), at(0));
    EXPECT_TRUE(proof.accepted);
    ASSERT_TRUE(proof.shed.has_value());
    EXPECT_EQ(proof.shed->entry.workload, workload_id{"thumbnail"});
    EXPECT_GT(proof.shed->retry_after.count(), 0);
    EXPECT_EQ(queued(*queue), 100);
}

/** Two tenants with equal, excessive load on one pool. */
struct share_case
{
    char const* name;
    int weight;       //!< of the first tenant; the second has 1
    double min_share; //!< of the first tenant
    double max_share; //!< of the first tenant
};

class fair_share : public testing::TestWithParam<share_case>
{
};

TEST_P(fair_share, serves_tenants_by_weight)
{
    share_case const& row = this->GetParam();
    fair_queue_ptr const queue =
        make_fair_queue({.slots = 10, .max_total = 100'000});
    set_limits(*queue,
               {{tenant_id{"a"}, make_limits(row.weight, 50'000)},
                {tenant_id{"b"}, make_limits(1, 50'000)}});
    int served[2] = {0, 0};
    int serial = 0;
    for (int ms = 0; ms < 40'000; ms += 20)
    {
        for (char const* tenant : {"a", "b"})
        {
            push(*queue,
                 make_entry(++serial, tenant, work_class::normal, "proof", ms),
                 at(ms));
        }
        std::optional<queue_entry> const popped = pop(*queue, 1, at(ms));
        ++served[popped->tenant == tenant_id{"a"} ? 0 : 1];
    }
    double const share = 1.0 * served[0] / (served[0] + served[1]);
    EXPECT_GE(share, row.min_share);
    EXPECT_LE(share, row.max_share);
}

INSTANTIATE_TEST_SUITE_P(table,
                         fair_share,
                         testing::Values(share_case{"equal", 1, 0.48, 0.52},
                                         share_case{"triple", 3, 0.70, 0.80}),
                         [](testing::TestParamInfo<share_case> const& info)
                         {
                             return std::string(info.param.name);
                         });

TEST(fair_queue, starves_no_class_and_no_tenant)
{
    fair_queue_ptr const queue =
        make_fair_queue({.slots = 10, .max_total = 100'000});
    std::map<std::string, int> served;
    int serial = 0;
    for (int ms = 0; ms < 60'000; ms += 20)
    {
        for (int i = 0; i < 4; ++i)
        {
            push(*queue,
                 make_entry(++serial, "flood", work_class::urgent, "x", ms),
                 at(ms));
        }
        if (ms % 1'000 == 0)
        {
            push(*queue,
                 make_entry(++serial, "quiet", work_class::background, "y", ms),
                 at(ms));
        }
        ++served[pop(*queue, 1, at(ms))->tenant.value];
    }
    EXPECT_GE(served["quiet"], 57);
    EXPECT_GT(served["flood"], 2'900);
}

} // namespace
} // namespace cicada
