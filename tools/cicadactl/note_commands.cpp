#include "command.hpp"
#include "note_calls.hpp"

#include <nlohmann/json.hpp>

#include <cstdio>
#include <fstream>
#include <sstream>

namespace cicada
{
namespace
{

using json = nlohmann::json;

std::optional<std::string> read_file(std::string const& path)
{
    std::ifstream file(path, std::ios::binary);
    std::ostringstream held;
    if (!file || !(held << file.rdbuf()))
    {
        std::fprintf(stderr, "can't read %s\n", path.c_str());
        return std::nullopt;
    }
    return held.str();
}

void print_problems(std::vector<text_problem> const& problems,
                    std::string const& file)
{
    for (text_problem const& problem : problems)
    {
        std::fprintf(stderr, "%s\n", describe(problem, file).c_str());
    }
    std::fprintf(stderr, "%zu problems\n", problems.size());
}

exit_code
check(invocation const& asked, std::string const& file, std::string const& text)
{
    checked<release_note> const note = parse_note(text);
    std::vector<text_problem> const problems =
        note.has_value() ? std::vector<text_problem>{} : note.assume_error();
    if (asked.json)
    {
        std::printf("%s\n", problems_json(problems).c_str());
    }
    else if (!problems.empty())
    {
        print_problems(problems, file);
    }
    else
    {
        std::printf("%s has no faults of its own:\n", file.c_str());
        for (std::string const& sentence : describe_note(note.assume_value()))
        {
            std::printf("  %s\n", sentence.c_str());
        }
    }
    return problems.empty() ? exit_code::ok : exit_code::refused;
}

exit_code preview(invocation const& asked,
                  std::string const& file,
                  std::string const& text)
{
    result<operators_answer> const answer =
        call_daemon(asked, "POST", "/v1/notes/preview", text);
    if (!answer.has_value())
    {
        return exit_code::unreachable;
    }
    operators_answer const& told = answer.assume_value();
    bool const is_good = told.status == 200;
    if (!is_good && told.status != 422)
    {
        return print_refusal(told);
    }
    if (asked.json)
    {
        std::printf("%s\n", told.body.c_str());
        return is_good ? exit_code::ok : exit_code::refused;
    }
    json const body = json::parse(told.body);
    if (!is_good)
    {
        print_problems(read_problems(told.body), file);
        return exit_code::refused;
    }
    std::printf("It would follow note %s and change:\n",
                body.at("head").dump().c_str());
    for (json const& each : body.at("changes"))
    {
        std::printf("  %s\n", each.get<std::string>().c_str());
    }
    for (json const& each : body.at("warnings"))
    {
        std::printf("Warning: %s\n", each.get<std::string>().c_str());
    }
    return exit_code::ok;
}

exit_code publish(invocation const& asked,
                  std::string const& file,
                  std::string const& text)
{
    checked<release_note> const note = parse_note(text);
    if (!note.has_value())
    {
        print_problems(note.assume_error(), file);
        return exit_code::refused;
    }
    result<operators_answer> const answer =
        call_daemon(asked, "POST", "/v1/notes", text);
    if (!answer.has_value())
    {
        return code_of(answer.assume_error());
    }
    operators_answer const& told = answer.assume_value();
    json const body = json::parse(told.body, nullptr, false);
    if (!body.is_object() || !body.contains("outcome"))
    {
        return print_refusal(told);
    }
    std::string const outcome = body.at("outcome").get<std::string>();
    if (outcome == "published" || outcome == "repeated")
    {
        return wait_in_force(asked,
                             body.at("number").get<std::uint64_t>(),
                             outcome == "repeated");
    }
    if (asked.json)
    {
        std::printf("%s\n", told.body.c_str());
    }
    if (outcome == "refused")
    {
        print_problems(read_problems(told.body), file);
        return exit_code::refused;
    }
    if (outcome == "conflict")
    {
        std::fprintf(stderr, "not published; other notes came first:\n");
        for (json const& each : body.at("since"))
        {
            std::fprintf(stderr,
                         "  note %s by %s: %s\n",
                         each.at("number").dump().c_str(),
                         each.at("author").get<std::string>().c_str(),
                         each.at("title").get<std::string>().c_str());
        }
        return exit_code::refused;
    }
    std::fprintf(stderr,
                 "%s: %s\n",
                 outcome == "failed"
                     ? "not published"
                     : "perhaps published; publish it again to know",
                 body.at("message").get<std::string>().c_str());
    return outcome == "failed" ? exit_code::unreachable : exit_code::unknown;
}

} // namespace

exit_code run_note_command(invocation const& asked)
{
    std::vector<std::string> const& words = asked.words;
    std::string const name = words.size() > 1 ? words[1] : "";
    bool const takes_file =
        name == "check" || name == "preview" || name == "publish";
    if (takes_file && words.size() == 3)
    {
        std::optional<std::string> const text = read_file(words[2]);
        if (!text)
        {
            return exit_code::usage;
        }
        return name == "check"     ? check(asked, words[2], *text)
               : name == "preview" ? preview(asked, words[2], *text)
                                   : publish(asked, words[2], *text);
    }
    if (name == "show" && words.size() == 3)
    {
        return show_note(asked, words[2]);
    }
    if (name == "log" && words.size() == 2)
    {
        return log_notes(asked);
    }
    if (name == "diff" && words.size() == 4)
    {
        return diff_notes(asked, words[2], words[3]);
    }
    return print_usage();
}

} // namespace cicada
