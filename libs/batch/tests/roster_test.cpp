#include "fleet_of_workers.hpp"

namespace cicada::batch
{
namespace
{

struct silent_entry
{
    std::string name;
    bool recorded = false; //!< an earlier placer may have used the worker
    bool listed = false;
    bool holds_up = false; //!< the jobs of earlier placers

    bool operator==(silent_entry const&) const = default;
};

class a_silent_entry : public fleet_of_workers,
                       public testing::WithParamInterface<silent_entry>
{
};

/** review/6: an entry of another writer, which nobody answers for, held up a
 * takeover for the longest lease. */
TEST_P(a_silent_entry, holds_up_a_takeover_only_if_it_was_in_use)
{
    this->start_placer(2);
    for (std::string const id : {"w1", "w2", "w3", "w4"})
    {
        this->record_worker(id);
        this->add_worker(id);
    }
    this->silent.insert("other");
    if (GetParam().recorded)
    {
        this->record_worker("other");
    }
    if (GetParam().listed)
    {
        this->add_worker("other");
    }
    this->feed(worker_list_complete{});
    job former = make_job("former", 1, 1000);
    former.epoch = 1;
    this->feed(job_stored{former, {}, 0});
    this->run_for(milliseconds{1000});
    EXPECT_EQ(this->starts["former"].empty(), GetParam().holds_up);
    this->run_for(milliseconds{15'000});
    EXPECT_EQ(this->starts["former"].size(), 1u);
    EXPECT_EQ(this->recorded.count("other"), 0u);
}

INSTANTIATE_TEST_SUITE_P(
    cases,
    a_silent_entry,
    testing::Values(silent_entry{"of_another_writer", false, true, false},
                    silent_entry{"of_a_worker_in_use", true, true, true},
                    silent_entry{"that_is_missing", true, false, true}),
    [](testing::TestParamInfo<silent_entry> const& tested)
    {
        return tested.param.name;
    });

/** The entry of a worker in use may be replaced by another writer's; the
 * successor must still find the worker. */
TEST_F(fleet_of_workers, keeps_the_address_at_which_a_worker_has_answered)
{
    this->add_worker("w1");
    this->feed(worker_list_complete{});
    this->run_for(milliseconds{200});
    ASSERT_EQ(this->recorded.at("w1"), this->workers.at("w1").offer.where);
    address const former = this->workers.at("w1").offer.where;
    worker_offer foreign = this->workers.at("w1").offer;
    foreign.service = "another";
    foreign.where = {"127.0.0.1", 1};
    this->silent.insert("w1");
    this->feed(worker_listed{foreign});
    this->run_for(milliseconds{2000});
    EXPECT_EQ(this->recorded.at("w1"), former);
}

TEST(worker_location, round_trips)
{
    for (bool const idle : {false, true})
    {
        worker_location const given{{"10.1.0.13", 8161}, idle};
        result<worker_location> const read =
            decode_location(encode_location(given));
        ASSERT_TRUE(read.has_value());
        EXPECT_EQ(read.assume_value(), given);
    }
}

TEST(worker_location, that_is_malformed_is_an_error)
{
    for (std::string const& bytes :
         {std::string(), std::string("\xff\xff"), std::string("\xa1\x61h\x01")})
    {
        EXPECT_FALSE(decode_location(bytes).has_value());
    }
}

} // namespace
} // namespace cicada::batch
