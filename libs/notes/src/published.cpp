#include "notes/notes.hpp"

#include <nlohmann/json.hpp>

#include <cstdio>
#include <ctime>

namespace cicada
{
namespace
{

using json = nlohmann::json;

constexpr int number_digits = 20;
constexpr std::size_t utc_length = 20;

} // namespace

std::string note_key(std::uint64_t number)
{
    std::string const digits = std::to_string(number);
    return "cicada/notes/" + std::string(number_digits - digits.size(), '0') +
           digits;
}

std::string encode_published(published_note const& note)
{
    json const value{{"number", note.number},
                     {"id", note.id},
                     {"title", note.title},
                     {"author", note.author},
                     {"reason", note.reason},
                     {"published_at", note.published_at},
                     {"text", note.text}};
    return value.dump(-1, ' ', false, json::error_handler_t::replace);
}

result<published_note> decode_published(std::string const& text)
{
    try
    {
        json const value = json::parse(text);
        published_note note;
        value.at("number").get_to(note.number);
        value.at("id").get_to(note.id);
        value.at("title").get_to(note.title);
        value.at("author").get_to(note.author);
        value.at("reason").get_to(note.reason);
        value.at("published_at").get_to(note.published_at);
        value.at("text").get_to(note.text);
        return note;
    }
    catch (json::exception const& fault)
    {
        return error{error_code::invalid_input, fault.what()};
    }
}

std::string format_utc(wall_time when)
{
    std::time_t const time = std::chrono::system_clock::to_time_t(when);
    std::tm parts{};
    gmtime_r(&time, &parts);
    std::string text(utc_length + 1, '\0');
    std::size_t const length =
        std::strftime(text.data(), text.size(), "%Y-%m-%dT%H:%M:%SZ", &parts);
    text.resize(length);
    return text;
}

std::optional<wall_time> parse_utc(std::string const& text)
{
    std::tm parts{};
    char const* const end =
        strptime(text.c_str(), "%Y-%m-%dT%H:%M:%SZ", &parts);
    if (end == nullptr || *end != '\0')
    {
        return std::nullopt;
    }
    return std::chrono::time_point_cast<milliseconds>(
        std::chrono::system_clock::from_time_t(timegm(&parts)));
}

} // namespace cicada
