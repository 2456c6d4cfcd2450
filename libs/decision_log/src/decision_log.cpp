#include "decision_log/decision_log.hpp"

#include "event_numbers/event_numbers.hpp"
#include "events_log/events_log.hpp"

#include <algorithm>
#include <unordered_map>

#include <fcntl.h>
#include <unistd.h>

namespace cicada
{

namespace
{

constexpr std::size_t max_write_bytes = 4000; //!< below PIPE_BUF, 4096

std::string const& event_text(int number)
{
    static std::unordered_map<int, std::string> const names = []
    {
        std::unordered_map<int, std::string> all;
        for (event_entry const& entry : event_catalogue())
        {
            all.emplace(entry.number, entry.text);
        }
        return all;
    }();
    static std::string const unlisted_text = "event without an entry";
    auto const found = names.find(number);
    return found == names.end() ? unlisted_text : found->second;
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

void decision_log::start_second_if_due(instant now)
{
    if (now < this->second_start + seconds{1})
    {
        return;
    }
    this->second_start = now;
    this->lines_in_second.clear();
    if (this->dropped > this->reported_dropped)
    {
        std::uint64_t const lines = this->dropped - this->reported_dropped;
        this->reported_dropped = this->dropped;
        this->write(
            now, events::log_lines_dropped, "lines=" + std::to_string(lines));
    }
}

void decision_log::write(instant now, int number, std::string const& detail)
{
    this->start_second_if_due(now);
    int& count = this->lines_in_second[number];
    if (count >= this->settings.lines_per_second)
    {
        this->dropped += 1;
        return;
    }
    count += 1;
    this->append("at=" + std::to_string(now.time_since_epoch().count()) +
                 " daemon=" + this->settings.daemon +
                 " event=" + std::to_string(number) + " name=\"" +
                 event_text(number) + "\" " + detail + "\n");
}

void decision_log::append(std::string const& line)
{
    if (this->buffer.size() + line.size() > this->settings.max_buffered_bytes)
    {
        this->flush();
    }
    if (this->buffer.size() + line.size() > this->settings.max_buffered_bytes)
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
    // Writes of whole lines no longer than PIPE_BUF are atomic on a pipe.
    std::size_t offset = 0;
    while (offset < this->buffer.size())
    {
        std::size_t const limit =
            std::min(offset + max_write_bytes, this->buffer.size());
        std::size_t end = limit;
        if (limit < this->buffer.size())
        {
            std::size_t const line = this->buffer.rfind('\n', limit - 1);
            end = line == std::string::npos || line < offset ? limit : line + 1;
        }
        ssize_t const written = ::write(this->settings.descriptor,
                                        this->buffer.data() + offset,
                                        end - offset);
        if (written <= 0)
        {
            break;
        }
        offset += static_cast<std::size_t>(written);
    }
    this->buffer.erase(0, offset);
}

std::uint64_t decision_log::dropped_lines() const
{
    return this->dropped;
}

} // namespace cicada
