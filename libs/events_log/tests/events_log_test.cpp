#include "events_log/events_log.hpp"

#include <glog/logging.h>
#include <gtest/gtest.h>

#include <fstream>

namespace cicada
{
namespace
{

TEST(events_page, lists_exactly_the_catalogue)
{
    std::vector<std::string> expected;
    for (event_entry const& entry : event_catalogue())
    {
        expected.push_back("| " + std::to_string(entry.number) + " | " +
                           to_string(entry.level) + " | " + entry.text + " | ");
    }
    std::ifstream page(CICADA_DOCS "/EVENTS.md");
    std::vector<std::string> found;
    std::string line;
    while (std::getline(page, line))
    {
        bool const is_row = line.size() > 2 && line.rfind("| ", 0) == 0 &&
                            line[2] >= '0' && line[2] <= '9';
        if (is_row && found.size() < expected.size())
        {
            found.push_back(line.substr(0, expected[found.size()].size()));
        }
        else if (is_row)
        {
            found.push_back(line);
        }
    }
    EXPECT_EQ(found, expected);
}

TEST(catalogue, is_sorted_and_unique)
{
    int previous = 0;
    for (event_entry const& entry : event_catalogue())
    {
        EXPECT_LT(previous, entry.number);
        previous = entry.number;
    }
}

/** Records the log lines written during its lifetime. */
class recorded_lines : public google::LogSink
{
public:
    recorded_lines()
    {
        google::AddLogSink(this);
    }
    recorded_lines(recorded_lines const&) = delete;
    recorded_lines& operator=(recorded_lines const&) = delete;
    ~recorded_lines() override
    {
        google::RemoveLogSink(this);
    }
    void send(google::LogSeverity severity,
              char const* /*full_filename*/,
              char const* /*base_filename*/,
              int /*line*/,
              google::LogMessageTime const& /*time*/,
              char const* message,
              std::size_t length) override
    {
        this->lines.push_back(std::to_string(severity) + " " +
                              std::string(message, length));
    }
    std::vector<std::string> lines;
};

struct line_case
{
    int number;
    std::string detail;
    std::string line;
};

class event_lines : public testing::TestWithParam<line_case>
{
};

TEST_P(event_lines, have_number_text_and_detail)
{
    line_case const& row = this->GetParam();
    recorded_lines recorded;
    write_event(row.number, row.detail);
    EXPECT_EQ(recorded.lines, std::vector<std::string>{row.line});
}

INSTANTIATE_TEST_SUITE_P(
    table,
    event_lines,
    testing::Values(line_case{100, "d1", "0 100 started: d1"},
                    line_case{201, "a\nb", "1 201 peer down: a b"},
                    line_case{500, "", "2 500 store down"},
                    line_case{5, "x", "2 1 event without an entry: 5 x"},
                    line_case{101,
                              std::string(2'000, 'x'),
                              "0 101 ready: " + std::string(1'000, 'x')}));

} // namespace
} // namespace cicada
