#include "note_calls.hpp"

#include <nlohmann/json.hpp>

#include <cstdio>

namespace cicada
{
namespace
{

using json = nlohmann::json;
using note_list = std::vector<published_note>;

published_note read_note(json const& value)
{
    return {value.at("number").get<std::uint64_t>(),
            value.at("id").get<std::string>(),
            value.at("title").get<std::string>(),
            value.at("author").get<std::string>(),
            value.at("reason").get<std::string>(),
            value.at("published_at").get<std::string>(),
            value.at("text").get<std::string>()};
}

/** All notes above `after`, page by page; empty optional: no answer. */
std::optional<note_list> fetch_notes(invocation const& asked)
{
    note_list notes;
    while (true)
    {
        std::uint64_t const after = notes.empty() ? 0 : notes.back().number;
        result<operators_answer> const answer = call_daemon(
            asked, "GET", "/v1/notes?after=" + std::to_string(after));
        if (!answer.has_value())
        {
            return std::nullopt;
        }
        if (answer.assume_value().status != 200)
        {
            print_refusal(answer.assume_value());
            return std::nullopt;
        }
        json const page = json::parse(answer.assume_value().body);
        for (json const& each : page)
        {
            notes.push_back(read_note(each));
        }
        if (page.empty())
        {
            return notes;
        }
    }
}

/** "7d", or a duration of notes; zero: unreadable. */
milliseconds parse_since(std::string const& text)
{
    constexpr std::int64_t ms_per_day = 86'400'000;
    if (!text.empty() && text.back() == 'd')
    {
        std::optional<std::int64_t> const days =
            parse_count(text.substr(0, text.size() - 1));
        return milliseconds(days.value_or(0) * ms_per_day);
    }
    return parse_duration(text).value_or(milliseconds(0));
}

bool is_recent(published_note const& note, std::string const& since)
{
    std::optional<wall_time> const when = parse_utc(note.published_at);
    return since.empty() || !when ||
           *when + parse_since(since) >= std::chrono::system_clock::now();
}

void print_note(published_note const& note, note_list const& later)
{
    std::printf("Note %lu, %s, by %s: %s\n  Why: %s\n",
                static_cast<unsigned long>(note.number),
                note.published_at.c_str(),
                note.author.c_str(),
                note.title.c_str(),
                note.reason.c_str());
    result<std::vector<told_change>> const told = tell_note(note, later);
    if (!told.has_value())
    {
        std::printf("  (%s)\n", told.assume_error().message.c_str());
        return;
    }
    for (told_change const& each : told.assume_value())
    {
        std::printf(
            "  %s (%s)\n", each.sentence.c_str(), each.standing.c_str());
    }
}

json note_json(published_note const& note, note_list const& later)
{
    json changes = json::array();
    result<std::vector<told_change>> const told = tell_note(note, later);
    for (told_change const& each :
         told.has_value() ? told.value() : std::vector<told_change>{})
    {
        changes.push_back(
            {{"sentence", each.sentence}, {"standing", each.standing}});
    }
    return {{"number", note.number},
            {"id", note.id},
            {"title", note.title},
            {"author", note.author},
            {"reason", note.reason},
            {"published_at", note.published_at},
            {"changes", changes},
            {"text", note.text}};
}

note_list notes_after(note_list const& notes, std::size_t index)
{
    return {notes.begin() + static_cast<std::ptrdiff_t>(index) + 1,
            notes.end()};
}

exit_code no_such_note(std::string const& number)
{
    std::fprintf(stderr, "there is no note %s\n", number.c_str());
    return exit_code::refused;
}

} // namespace

std::vector<text_problem> read_problems(std::string const& body)
{
    std::vector<text_problem> problems;
    json const whole = json::parse(body);
    for (json const& each : whole.at("problems"))
    {
        problems.push_back({each.at("line").get<int>(),
                            each.at("section").get<std::string>(),
                            each.at("key").get<std::string>(),
                            each.at("message").get<std::string>(),
                            each.at("allowed").get<std::string>(),
                            each.at("nearest").get<std::string>()});
    }
    return problems;
}

std::string problems_json(std::vector<text_problem> const& problems)
{
    json list = json::array();
    for (text_problem const& each : problems)
    {
        list.push_back({{"line", each.line},
                        {"section", each.section},
                        {"key", each.key},
                        {"message", each.message},
                        {"allowed", each.allowed},
                        {"nearest", each.nearest}});
    }
    return json({{"problems", list}})
        .dump(2, ' ', false, json::error_handler_t::replace);
}

exit_code show_note(invocation const& asked, std::string const& number)
{
    std::optional<note_list> const notes = fetch_notes(asked);
    if (!notes)
    {
        return exit_code::unreachable;
    }
    for (std::size_t index = 0; index < notes->size(); ++index)
    {
        published_note const& note = (*notes)[index];
        if (std::to_string(note.number) == number)
        {
            note_list const later = notes_after(*notes, index);
            if (asked.json)
            {
                std::printf("%s\n", note_json(note, later).dump(2).c_str());
                return exit_code::ok;
            }
            print_note(note, later);
            std::printf("\n%s", note.text.c_str());
            return exit_code::ok;
        }
    }
    return no_such_note(number);
}

exit_code log_notes(invocation const& asked)
{
    if (!asked.since.empty() && parse_since(asked.since).count() == 0)
    {
        std::fprintf(stderr, "--since: a time such as 7d or 12h is allowed\n");
        return exit_code::usage;
    }
    std::optional<note_list> const notes = fetch_notes(asked);
    if (!notes)
    {
        return exit_code::unreachable;
    }
    json list = json::array();
    for (std::size_t index = 0; index < notes->size(); ++index)
    {
        published_note const& note = (*notes)[index];
        if (!is_recent(note, asked.since))
        {
            continue;
        }
        note_list const later = notes_after(*notes, index);
        if (asked.json)
        {
            list.push_back(note_json(note, later));
        }
        else
        {
            print_note(note, later);
        }
    }
    if (asked.json)
    {
        std::printf("%s\n", list.dump(2).c_str());
    }
    return exit_code::ok;
}

exit_code diff_notes(invocation const& asked,
                     std::string const& before,
                     std::string const& after)
{
    std::optional<std::int64_t> const first = parse_count(before);
    std::optional<std::int64_t> const second = parse_count(after);
    if (!first || !second)
    {
        return print_usage();
    }
    std::optional<note_list> const notes = fetch_notes(asked);
    if (!notes)
    {
        return exit_code::unreachable;
    }
    result<cell_config> const old_config =
        replay_notes(*notes, static_cast<std::uint64_t>(*first));
    result<cell_config> const new_config =
        replay_notes(*notes, static_cast<std::uint64_t>(*second));
    if (!old_config.has_value() || !new_config.has_value())
    {
        return no_such_note(old_config.has_value() ? after : before);
    }
    std::vector<std::string> const sentences = describe_note(
        diff_configs(old_config.assume_value(), new_config.assume_value()),
        &old_config.assume_value());
    if (asked.json)
    {
        std::printf("%s\n", json({{"changes", sentences}}).dump(2).c_str());
        return exit_code::ok;
    }
    for (std::string const& sentence : sentences)
    {
        std::printf("%s\n", sentence.c_str());
    }
    return exit_code::ok;
}

} // namespace cicada
