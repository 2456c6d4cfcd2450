#include "decision_log/decision_log.hpp"

#include <gtest/gtest.h>

#include <string>

#include <fcntl.h>
#include <unistd.h>

namespace cicada
{
namespace
{

/** A decision log on a pipe that is read only on demand. */
class decision_log_pipe : public testing::Test
{
protected:
    void SetUp() override
    {
        ASSERT_EQ(::pipe(this->ends), 0);
        ::fcntl(this->ends[0], F_SETFL, O_NONBLOCK);
    }

    void TearDown() override
    {
        ::close(this->ends[0]);
        ::close(this->ends[1]);
    }

    std::string read_all() const
    {
        std::string text;
        char bytes[4096];
        ssize_t got = 0;
        while ((got = ::read(this->ends[0], bytes, sizeof bytes)) > 0)
        {
            text.append(bytes, static_cast<std::size_t>(got));
        }
        return text;
    }

    decision_log_settings settings() const
    {
        decision_log_settings out;
        out.descriptor = this->ends[1];
        out.daemon = "d1";
        return out;
    }

    int ends[2] = {-1, -1};
    instant now{milliseconds{10'000}};
};

TEST_F(decision_log_pipe, has_one_structured_line_per_event)
{
    decision_log log(this->settings());
    log.write(this->now, 605, "job=1 task=0.0");
    log.flush();
    EXPECT_EQ(this->read_all(),
              "at=10000 daemon=d1 event=605 name=\"task started\" job=1 "
              "task=0.0\n");
}

TEST_F(decision_log_pipe, drops_and_counts_lines_when_it_is_full)
{
    decision_log_settings given = this->settings();
    given.lines_per_second = 1'000'000;
    decision_log log(given);
    std::string const detail(200, 'x');
    for (int i = 0; i < 2000; ++i)
    {
        log.write(this->now, 605, detail);
    }
    EXPECT_GT(log.dropped_lines(), 0u);
    std::string const first = this->read_all();
    EXPECT_FALSE(first.empty());
    log.flush();
    this->read_all();
    log.write(this->now + seconds{2}, 605, "job=2");
    log.flush();
    EXPECT_NE(this->read_all().find("name=\"log lines left out\" lines="),
              std::string::npos);
}

TEST_F(decision_log_pipe, limits_the_rate_of_each_event)
{
    decision_log_settings given = this->settings();
    given.lines_per_second = 3;
    decision_log log(given);
    for (int i = 0; i < 10; ++i)
    {
        log.write(this->now, 605, "x");
    }
    log.write(this->now, 610, "y");
    EXPECT_EQ(log.dropped_lines(), 7u);
}

} // namespace
} // namespace cicada
