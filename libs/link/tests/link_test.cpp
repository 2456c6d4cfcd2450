#include "hello.hpp"
#include "recorder.hpp"
#include "relay.hpp"

#include <gtest/gtest.h>

#include <optional>

namespace cicada
{
namespace
{

/** Two daemons; "a" dials "b" through a relay. */
struct pair_of_links
{
    explicit pair_of_links(link_settings const& a = quick_settings("a"),
                           link_settings const& b = quick_settings("b"))
        : near(a, this->near_saw.handlers()), far(b, this->far_saw.handlers())
    {
        EXPECT_EQ(this->near.start(), "");
        EXPECT_EQ(this->far.start(), "");
        this->between.emplace(this->far.port());
        this->near.connect("b", "127.0.0.1", this->between->port());
        this->far.connect("a", "127.0.0.1", this->near.port());
    }

    bool both_up(long times = 1)
    {
        return this->near_saw.sees("up b", times) &&
               this->far_saw.sees("up a", times);
    }

    recorder near_saw;
    recorder far_saw;
    std::optional<relay> between;
    peer_link near;
    peer_link far;
};

TEST(link, carries_messages_both_ways_in_order)
{
    pair_of_links links;
    ASSERT_TRUE(links.both_up());
    for (int index = 0; index < 100; ++index)
    {
        links.near.send("b", std::to_string(index), "number");
        links.far.send("a", std::to_string(index), "number");
    }
    ASSERT_TRUE(links.near_saw.sees("b: 99"));
    ASSERT_TRUE(links.far_saw.sees("a: 99"));
    std::vector<std::string> const lines = links.far_saw.all();
    ASSERT_EQ(lines.size(), 101U);
    for (std::size_t index = 0; index < 100; ++index)
    {
        EXPECT_EQ(lines[index + 1], "a: " + std::to_string(index));
    }
    EXPECT_EQ(links.near.counters().sent.at("number").messages, 100U);
    EXPECT_EQ(links.near.counters().sent.at("number").bytes, 190U);
    EXPECT_EQ(links.near.counters().received.messages, 100U);
    EXPECT_EQ(links.far.counters().ups, 1U);
}

TEST(link, stays_up_beside_messages_in_one_direction)
{
    link_settings const settings = quick_settings("a");
    pair_of_links links(settings);
    ASSERT_TRUE(links.both_up());
    std::chrono::steady_clock::time_point const end =
        std::chrono::steady_clock::now() + settings.silence_limit * 4;
    long sent = 0;
    while (std::chrono::steady_clock::now() < end)
    {
        links.near.send("b", "one way", "test");
        ASSERT_TRUE(links.far_saw.sees("a: one way", ++sent));
    }
    EXPECT_EQ(links.near.counters().silent, 0U);
    EXPECT_EQ(links.far.counters().silent, 0U);
    EXPECT_EQ(links.near.counters().ups, 1U);
}

/** What one side is told that the other doesn't accept. */
struct refusal_case
{
    char const* name;
    void (*change)(link_settings& settings);
};

class refused_hello : public testing::TestWithParam<refusal_case>
{
};

TEST_P(refused_hello, brings_no_link_up)
{
    link_settings changed = quick_settings("a");
    this->GetParam().change(changed);
    pair_of_links links(changed);
    EXPECT_TRUE(reaches(links.far, &link_counters::refused, 2));
    EXPECT_TRUE(reaches(links.near, &link_counters::failed_dials, 2));
    EXPECT_TRUE(links.near_saw.all().empty());
    EXPECT_TRUE(links.far_saw.all().empty());
}

INSTANTIATE_TEST_SUITE_P(
    table,
    refused_hello,
    testing::Values(refusal_case{"token",
                                 [](link_settings& settings)
                                 {
                                     settings.token = "other";
                                 }},
                    refusal_case{"no_token",
                                 [](link_settings& settings)
                                 {
                                     settings.token = "";
                                 }},
                    refusal_case{"version",
                                 [](link_settings& settings)
                                 {
                                     settings.version = 0;
                                 }}),
    [](testing::TestParamInfo<refusal_case> const& info)
    {
        return std::string(info.param.name);
    });

TEST(link, refuses_a_peer_of_another_name)
{
    recorder near_saw;
    recorder far_saw;
    peer_link near(quick_settings("a"), near_saw.handlers());
    peer_link far(quick_settings("c"), far_saw.handlers());
    ASSERT_EQ(near.start(), "");
    ASSERT_EQ(far.start(), "");
    near.connect("b", "127.0.0.1", far.port());
    EXPECT_TRUE(reaches(near, &link_counters::refused, 1));
    EXPECT_TRUE(near_saw.all().empty());
}

/** A fault on a link that is up, and how each side sees it. */
struct fault_case
{
    char const* name;
    void (*cause)(pair_of_links& links);
    std::string near_line; //!< empty: whatever
    std::string far_line;
    std::uint64_t link_counters::*far_counter;
};

void send_many(pair_of_links& links)
{
    links.between->freeze();
    for (int count = 0; count < 400; ++count)
    {
        links.far.send("a", std::string(50'000, 'x'), "fill");
    }
}

class fault : public testing::TestWithParam<fault_case>
{
};

TEST_P(fault, is_noticed_and_a_new_link_comes_up)
{
    pair_of_links links;
    ASSERT_TRUE(links.both_up());
    fault_case const& row = this->GetParam();
    row.cause(links);
    EXPECT_TRUE(row.near_line.empty() || links.near_saw.sees(row.near_line));
    EXPECT_TRUE(row.far_line.empty() || links.far_saw.sees(row.far_line));
    EXPECT_TRUE(reaches(links.far, row.far_counter, 1));
    EXPECT_TRUE(links.both_up(2));
    links.near.send("b", "again", "test");
    EXPECT_TRUE(links.far_saw.sees("a: again"));
}

INSTANTIATE_TEST_SUITE_P(
    table,
    fault,
    testing::Values(fault_case{"silence",
                               [](pair_of_links& links)
                               {
                                   links.between->freeze();
                               },
                               "down b silent",
                               "",
                               &link_counters::reconnects},
                    fault_case{"oversize",
                               [](pair_of_links& links)
                               {
                                   links.near.send(
                                       "b", std::string(100'001, 'x'), "big");
                               },
                               "",
                               "down a closed",
                               &link_counters::malformed},
                    fault_case{"full_queue",
                               send_many,
                               "",
                               "down a queue_full",
                               &link_counters::overflows}),
    [](testing::TestParamInfo<fault_case> const& info)
    {
        return std::string(info.param.name);
    });

TEST(link, comes_up_again_after_a_restart)
{
    recorder near_saw;
    peer_link near(quick_settings("a"), near_saw.handlers());
    ASSERT_EQ(near.start(), "");
    link_settings second = quick_settings("b");
    for (int start = 1; start <= 3; ++start)
    {
        recorder far_saw;
        peer_link far(second, far_saw.handlers());
        ASSERT_EQ(far.start(), "");
        second.port = far.port();
        ++second.incarnation;
        near.connect("b", "127.0.0.1", far.port());
        EXPECT_TRUE(near_saw.sees("up b", start));
        EXPECT_TRUE(far_saw.sees("up a"));
        far.stop();
        EXPECT_TRUE(near_saw.sees("down b closed", start));
    }
    EXPECT_EQ(near.counters().reconnects, 2U);
}

TEST(link, dials_anew_when_nobody_answers)
{
    boost::asio::io_context io;
    boost::asio::ip::tcp::acceptor const silent(
        io, {boost::asio::ip::address_v4::loopback(), 0});
    recorder saw;
    peer_link near(quick_settings("a"), saw.handlers());
    ASSERT_EQ(near.start(), "");
    near.connect("b", "127.0.0.1", silent.local_endpoint().port());
    EXPECT_TRUE(reaches(near, &link_counters::failed_dials, 2));
    EXPECT_TRUE(saw.all().empty());
}

TEST(link, drops_a_stranger_that_talks_nonsense)
{
    recorder saw;
    peer_link far(quick_settings("b"), saw.handlers());
    ASSERT_EQ(far.start(), "");
    boost::asio::io_context io;
    boost::asio::ip::tcp::socket stranger(io);
    stranger.connect({boost::asio::ip::address_v4::loopback(), far.port()});
    boost::asio::write(stranger,
                       boost::asio::buffer(std::string("\x01\x02\r\n\r\n")));
    std::array<char, 1024> answer{};
    boost::system::error_code over;
    while (!over)
    {
        stranger.read_some(boost::asio::buffer(answer), over);
    }
    EXPECT_EQ(over, boost::asio::error::eof);
    EXPECT_TRUE(reaches(far, &link_counters::malformed, 1));
}

TEST(link, stays_down_after_disconnect)
{
    pair_of_links links;
    ASSERT_TRUE(links.both_up());
    links.near.disconnect("b");
    EXPECT_TRUE(links.near_saw.sees("down b disconnected"));
    EXPECT_TRUE(links.far_saw.sees("down a closed"));
    links.near.send("b", "lost", "test");
    EXPECT_TRUE(reaches(links.near, &link_counters::unsent, 1));
    EXPECT_EQ(links.near.counters().ups, 1U);
}

TEST(link, stops_within_its_limit_when_the_peer_is_silent)
{
    pair_of_links links;
    ASSERT_TRUE(links.both_up());
    links.between->freeze();
    std::chrono::steady_clock::time_point const asked =
        std::chrono::steady_clock::now();
    links.near.stop();
    EXPECT_LT(std::chrono::steady_clock::now() - asked,
              std::chrono::seconds(2));
}

/** Two hellos of one peer, in the order in which they come in. */
struct order_case
{
    char const* name;
    hello up;
    hello fresh;
    bool replaced;
};

class hello_order : public testing::TestWithParam<order_case>
{
};

TEST_P(hello_order, decides_which_connection_stays)
{
    order_case const& row = this->GetParam();
    EXPECT_EQ(replaces(row.up, row.fresh), row.replaced);
}

INSTANTIATE_TEST_SUITE_P(
    table,
    hello_order,
    testing::Values(
        order_case{"later", {"a", 1, 1, 4, ""}, {"a", 1, 1, 5, ""}, true},
        order_case{"late_old", {"a", 1, 1, 5, ""}, {"a", 1, 1, 4, ""}, false},
        order_case{"repeated", {"a", 1, 1, 5, ""}, {"a", 1, 1, 5, ""}, false},
        order_case{"restarted", {"a", 1, 1, 5, ""}, {"a", 2, 1, 1, ""}, true}),
    [](testing::TestParamInfo<order_case> const& info)
    {
        return std::string(info.param.name);
    });

TEST(hello, is_read_back_or_refused)
{
    hello const said{"a", 7, 2, 9, "token"};
    std::string const text = encode_hello(said);
    std::optional<hello> const read = decode_hello(text);
    ASSERT_TRUE(read.has_value());
    EXPECT_EQ(encode_hello(*read), text);
    for (std::size_t length = 0; length < text.size(); ++length)
    {
        EXPECT_FALSE(decode_hello(text.substr(0, length)).has_value());
    }
    EXPECT_FALSE(decode_hello(std::string(100'000, '[')).has_value());
}

} // namespace
} // namespace cicada
