#include "events_log/events_log.hpp"

#include "event_numbers/event_numbers.hpp"

#include <glog/logging.h>

#include <algorithm>

namespace cicada
{
namespace
{

constexpr std::size_t max_detail_bytes = 1'000;
constexpr int max_log_file_mib = 50;

event_entry const* find_entry(int number)
{
    for (event_entry const& entry : event_catalogue())
    {
        if (entry.number == number)
        {
            return &entry;
        }
    }
    return nullptr;
}

/** Truncates the text and replaces control characters by spaces. */
std::string sanitize(std::string text)
{
    text.resize(std::min(text.size(), max_detail_bytes));
    for (char& byte : text)
    {
        bool const control = static_cast<unsigned char>(byte) < ' ';
        byte = control ? ' ' : byte;
    }
    return text;
}

void write_line(event_entry const& entry, std::string const& detail)
{
    std::string const line = std::to_string(entry.number) + " " + entry.text +
                             (detail.empty() ? "" : ": ") + sanitize(detail);
    switch (entry.level)
    {
    case event_level::info:
        LOG(INFO) << line;
        break;
    case event_level::warning:
        LOG(WARNING) << line;
        break;
    case event_level::error:
        LOG(ERROR) << line;
        break;
    }
}

} // namespace

char const* to_string(event_level level)
{
    switch (level)
    {
    case event_level::info:
        return "info";
    case event_level::warning:
        return "warning";
    case event_level::error:
        return "error";
    }
    return "invalid";
}

void open_log(log_settings const& settings)
{
    static std::string program;
    program = settings.program;
    FLAGS_logtostderr = settings.directory.empty();
    FLAGS_log_dir = settings.directory;
    FLAGS_minloglevel = static_cast<int>(settings.min_level);
    FLAGS_max_log_size = max_log_file_mib;
    FLAGS_logbufsecs = 0;
    google::InitGoogleLogging(program.c_str());
}

void close_log()
{
    google::ShutdownGoogleLogging();
}

void write_event(int number, std::string const& detail)
{
    event_entry const* const entry = find_entry(number);
    if (entry != nullptr)
    {
        write_line(*entry, detail);
        return;
    }
    event_entry const* const unlisted = find_entry(events::unlisted_event);
    if (unlisted != nullptr)
    {
        write_line(*unlisted, std::to_string(number) + " " + detail);
    }
}

} // namespace cicada
