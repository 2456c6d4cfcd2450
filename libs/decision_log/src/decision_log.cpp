#include "decision_log/decision_log.hpp"

#include "events_log/events_log.hpp"

#include <algorithm>
#include <unordered_map>

#include <fcntl.h>
#include <unistd.h>

namespace cicada
{

namespace
{

constexpr int lines_left_out_event = 120;
constexpr std::size_t piece_bytes = 4000; //!< a pipe's atomic write is 4096

std::string const& name_of(int number)
{
    static std::unordered_map<int, std::string> const names = []
    {
        std::unordered_map<int, std::string> all;
        for (event_entry const& each : event_catalogue())
        {
            all.emplace(each.number, each.text);
        }
        return all;
    }();
    static std::string const unlisted = "event without an entry";
    auto const found = names.find(number);
    return found == names.end() ? unlisted : found->second;
}

} // namespace

decision_log::decision_log(decision_log_settings given)
    : settings(std::move(given))
{
    int const flags = ::fcntl(this->settings.descriptor, F_GETFL);
    if (flags != -1)
    {
        ::fcntl(this->settings.descriptor, F_SETFL, flags | O_NONBLOCK);
    }
}

void decision_log::begin_second(instant now)
{
    if (now < this->second + seconds{1})
    {
        return;
    }
    this->second = now;
    this->written.clear();
    if (this->dropped > this->reported)
    {
        std::uint64_t const lines = this->dropped - this->reported;
        this->reported = this->dropped;
        this->write(
            now, lines_left_out_event, "lines=" + std::to_string(lines));
    }
}

void decision_log::write(instant now, int number, std::string const& detail)
{
    this->begin_second(now);
    int& count = this->written[number];
    if (count >= this->settings.lines_per_second)
    {
        this->dropped += 1;
        return;
    }
    count += 1;
    this->append("at=" + std::to_string(now.time_since_epoch().count()) +
                 " daemon=" + this->settings.daemon +
                 " event=" + std::to_string(number) + " name=\"" +
                 name_of(number) + "\" " + detail + "\n");
}

void decision_log::append(std::string const& line)
{
    if (this->buffer.size() + line.size() > this->settings.most_buffered)
    {
        this->flush();
    }
    if (this->buffer.size() + line.size() > this->settings.most_buffered)
    {
        this->dropped += 1;
        return;
    }
    this->buffer += line;
}

void decision_log::flush()
{
    if (this->buffer.empty())
    {
        return;
    }
    // Whole lines in small pieces: a pipe takes them unbroken.
    std::size_t done = 0;
    while (done < this->buffer.size())
    {
        std::size_t const limit =
            std::min(done + piece_bytes, this->buffer.size());
        std::size_t end = limit;
        if (limit < this->buffer.size())
        {
            std::size_t const line = this->buffer.rfind('\n', limit - 1);
            end = line == std::string::npos || line < done ? limit : line + 1;
        }
        ssize_t const taken = ::write(
            this->settings.descriptor, this->buffer.data() + done, end - done);
        if (taken <= 0)
        {
            break;
        }
        done += static_cast<std::size_t>(taken);
    }
    this->buffer.erase(0, done);
}

std::uint64_t decision_log::dropped_lines() const
{
    return this->dropped;
}

} // namespace cicada
