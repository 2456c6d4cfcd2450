#include "caller_api.hpp"
#include "keys.hpp"

#include "platform_standin/platform_standin.hpp"

#include <gtest/gtest.h>

namespace cicada::cell
{
namespace
{

constexpr std::uint64_t former_epoch = 3;
constexpr std::uint64_t present_epoch = 4;
char const* const job_id = "5c0e7a21d94b36f8";

/** The API of a daemon beside a store, on one event loop, and the messages that
 * it sends to the placer. */
class caller_api_beside_a_store : public testing::Test
{
protected:
    void SetUp() override
    {
        result<address> const at = this->store.listen({"127.0.0.1", 0});
        ASSERT_TRUE(at.has_value());
        cell_settings settings;
        settings.name = "d1";
        settings.store = at.assume_value();
        this->shared = std::make_unique<context>(settings);
        this->shared->config = batch::cell_config{};
        batch::queue_rule queue;
        queue.name = "q";
        queue.host = "h.example";
        queue.prefix = "/q/";
        this->shared->config->queues.push_back(queue);
        caller_api_ports ports;
        ports.send_to_placer = [this](message const& m)
        {
            this->sent.push_back(m);
            return true;
        };
        ports.next_peer = [](std::set<std::string> const&)
        {
            return std::string();
        };
        ports.send = [this](std::string const&, message const& m)
        {
            if (std::holds_alternative<relay_reply>(m))
            {
                this->relayed = std::get<relay_reply>(m);
            }
            return true;
        };
        ports.local_state = [](std::string const&)
        {
            return std::optional<batch::job_state>();
        };
        this->api = std::make_shared<caller_api>(*this->shared, ports);
        load_message load;
        load.epoch = present_epoch;
        this->api->handle_load(load);
    }

    static http_request submission(std::string const& step = R"({"count":1})")
    {
        return {"POST",
                std::string("/q/") + job_id,
                {{"host", "h.example"}},
                R"({"spec":"x","steps":[)" + step + "]}"};
    }

    /** Returns the status of the response. */
    int submit(std::string const& key = "",
               std::string const& step = R"({"count":1})")
    {
        http_request request = submission(step);
        if (!key.empty())
        {
            request.fields["x-api-key"] = key;
        }
        return this->call(request);
    }

    int call(std::string const& method)
    {
        return this->call(
            {method, std::string("/q/") + job_id, {{"host", "h.example"}}, ""});
    }

    int call(http_request const& request)
    {
        std::shared_ptr<std::optional<int>> const status = this->begin(request);
        this->run_until_set(*status);
        return **status;
    }

    /** Sends the request; its response's status is set once it arrives. */
    std::shared_ptr<std::optional<int>> begin(http_request const& request)
    {
        std::shared_ptr<std::optional<int>> status =
            std::make_shared<std::optional<int>>();
        this->api->handle(request,
                          [status](http_reply const& reply)
                          {
                              *status = reply.status;
                          });
        return status;
    }

    template <class T>
    void run_until_set(std::optional<T> const& awaited)
    {
        while (!awaited)
        {
            this->run_handlers(1);
        }
    }

    void run_handlers(int count)
    {
        for (int k = 0; k < count; ++k)
        {
            this->shared->loop.restart(); // it stops when it runs out of work
            this->shared->loop.poll_one();
            this->standin_loop.poll_one();
        }
    }

    std::string stored_job() const
    {
        return this->store.value(keys::jobs + std::string(job_id));
    }

    boost::asio::io_context standin_loop;
    platform::standin::store store{this->standin_loop, 1};
    std::unique_ptr<context> shared;
    std::shared_ptr<caller_api> api;
    std::vector<message> sent;
    std::optional<relay_reply> relayed; //!< the last one
};

TEST_F(caller_api_beside_a_store, sends_an_accepted_job_to_the_placer)
{
    EXPECT_EQ(this->submit(), 200);
    ASSERT_EQ(this->sent.size(), 1u);
    EXPECT_EQ(std::get<job_message>(this->sent[0]).record,
              this->store.value(keys::jobs + std::string(job_id)));
}

// Guards against a job that two placers start: another daemon, which knew only
// the former placer, has stored it, and the caller submits it again here. With
// this daemon's epoch, the present placer would not wait for what the former
// one has started.
TEST_F(caller_api_beside_a_store, sends_a_job_as_another_daemon_has_stored_it)
{
    batch::job stored;
    stored.id = job_id;
    stored.queue = this->shared->config->queues[0];
    stored.spec = "x";
    stored.steps.resize(1);
    stored.epoch = former_epoch;
    std::string const record = batch::encode_job(stored);
    this->store.put(keys::jobs + stored.id, record);
    EXPECT_EQ(this->submit(), 200);
    ASSERT_EQ(this->sent.size(), 1u);
    EXPECT_EQ(std::get<job_message>(this->sent[0]).record, record);
}

// Guards against work that runs for a key that no configuration holds.
TEST_F(caller_api_beside_a_store, accepts_only_the_keys_in_force)
{
    this->shared->config->customers = std::vector<batch::customer_rule>{
        batch::customer_rule{{"t1", 0.0, {5000, 0, 0}}, {"k1"}}};
    EXPECT_EQ(this->submit(), 401);
    EXPECT_EQ(this->submit("k2"), 401);
    EXPECT_TRUE(this->store.value(keys::jobs + std::string(job_id)).empty());
    EXPECT_EQ(this->submit("k1"), 200);
    ASSERT_EQ(this->sent.size(), 1u);
    std::string const record = std::get<job_message>(this->sent[0]).record;
    EXPECT_EQ(batch::decode_job(record).value().customer, "t1");
    this->shared->config->customers->front().keys = {"k2"};
    EXPECT_EQ(this->submit("k1"), 401) << "the key was withdrawn";
}

// Guards against "not accepted" for a job that was accepted under a higher cap.
TEST_F(caller_api_beside_a_store, refuses_gangs_beyond_a_cap_unless_stored)
{
    std::string const gang = R"({"count":6,"cpu":1000,"gang":true})";
    this->shared->config->customers = std::vector<batch::customer_rule>{
        batch::customer_rule{{"t1", 0.0, {5000, 0, 0}}, {"k1"}}};
    EXPECT_EQ(this->submit("k1", gang), 503);
    this->shared->config->customers->front().share.cap = {};
    EXPECT_EQ(this->submit("k1", gang), 200);
    this->shared->config->customers->front().share.cap = {5000, 0, 0};
    EXPECT_EQ(this->submit("k1", gang), 200);
}

// Guards against a job that runs after its cancellation was answered with "no
// such job": its submission arrives, or is carried out, later.
TEST_F(caller_api_beside_a_store, stores_no_job_that_was_cancelled_before)
{
    EXPECT_EQ(this->call("DELETE"), 410);
    EXPECT_EQ(this->submit(), 503);
    EXPECT_TRUE(this->stored_job().empty());
    EXPECT_TRUE(this->sent.empty());
    EXPECT_EQ(this->call("GET"), 410);
    EXPECT_EQ(this->call("DELETE"), 410);
    EXPECT_EQ(this->submit(), 503);
    EXPECT_TRUE(this->stored_job().empty());
}

// The same for a submission that a daemon without the store has relayed.
TEST_F(caller_api_beside_a_store, stores_no_relayed_job_that_was_cancelled)
{
    EXPECT_EQ(this->call("DELETE"), 410);
    batch::job relayed_job;
    relayed_job.id = job_id;
    relayed_job.queue = this->shared->config->queues[0];
    relayed_job.steps.resize(1);
    this->api->serve_relay("d2",
                           {1,
                            relay_verb::submit,
                            relayed_job.id,
                            batch::encode_job(relayed_job)});
    this->run_until_set(this->relayed);
    EXPECT_EQ(this->relayed->outcome, relay_outcome::absent);
    EXPECT_TRUE(this->stored_job().empty());
}

// Guards against a promise that ends with a lease: a submission may be on its
// way for as long as its caller's deadline.
TEST_F(caller_api_beside_a_store, stores_no_cancelled_job_after_leases_ended)
{
    EXPECT_EQ(this->call("DELETE"), 410);
    this->store.end_leases();
    EXPECT_EQ(this->submit(), 503);
    EXPECT_TRUE(this->stored_job().empty());
}

// Guards against records of cancellations that nothing deletes, as the job has
// ended before.
TEST_F(caller_api_beside_a_store, stores_no_cancellation_of_an_ended_job)
{
    batch::job_progress ended;
    ended.state = batch::job_state::completed;
    this->store.put(keys::ends + std::string(job_id),
                    batch::encode_progress(ended));
    EXPECT_EQ(this->call("DELETE"), 200);
    EXPECT_EQ(this->store.count(keys::cancels), 0u);
    EXPECT_EQ(this->call("GET"), 200);
}

class cancellation_beside_a_submission : public caller_api_beside_a_store,
                                         public testing::WithParamInterface<int>
{
};

// Guards against answers that contradict what is stored, in whichever order the
// two reach the store.
TEST_P(cancellation_beside_a_submission, is_answered_truthfully)
{
    auto const submitted = this->begin(submission());
    this->run_handlers(GetParam());
    auto const cancelled = this->begin(
        {"DELETE", std::string("/q/") + job_id, {{"host", "h.example"}}, ""});
    this->run_until_set(*submitted);
    this->run_until_set(*cancelled);
    bool const stored = !this->stored_job().empty();
    bool const cancel_stored =
        !this->store.value(keys::cancels + std::string(job_id)).empty();
    EXPECT_EQ(**submitted, stored ? 200 : 503);
    EXPECT_EQ(**cancelled, stored ? 200 : 410);
    EXPECT_EQ(cancel_stored, stored);
}

INSTANTIATE_TEST_SUITE_P(handlers_between,
                         cancellation_beside_a_submission,
                         testing::Values(0, 10, 100, 1000, 10000, 100000));

} // namespace
} // namespace cicada::cell
