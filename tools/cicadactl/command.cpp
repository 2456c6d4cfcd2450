#include "command.hpp"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <cstdio>

namespace cicada
{
namespace
{

constexpr milliseconds call_limit{15'000};

std::vector<std::string> const& command_names()
{
    static std::vector<std::string> const names{"note",
                                                "status",
                                                "workers",
                                                "endpoints",
                                                "jobs",
                                                "explain",
                                                "metrics",
                                                "top",
                                                "drain"};
    return names;
}

} // namespace

exit_code print_usage()
{
    std::fputs(
        "usage: cicadactl [OPTIONS] COMMAND\n"
        "  note check FILE      find every fault of a note, offline\n"
        "  note preview FILE    say what it would change\n"
        "  note publish FILE    put it in force on all live daemons\n"
        "  note show N          show a note and what became of it\n"
        "  note log             list notes (--since 7d)\n"
        "  note diff A B        compare what two notes left in force\n"
        "  status | workers | endpoints | jobs | metrics | top\n"
        "  explain ID           say why a job or request waits\n"
        "  drain                ask the daemon to leave in order\n"
        "options: --daemon IP:PORT --token-file FILE --json --wait TIME\n"
        "exit codes: 0 done, 1 refused, 2 usage, 3 unreachable, 4 unknown\n",
        stderr);
    return exit_code::usage;
}

exit_code run_command(invocation const& asked)
{
    std::vector<std::string> const& names = command_names();
    if (asked.words.empty())
    {
        return print_usage();
    }
    std::string const& name = asked.words.front();
    if (std::find(names.begin(), names.end(), name) == names.end())
    {
        std::string const nearest = nearest_name(name, names);
        std::fprintf(stderr,
                     "unknown command \"%s\"%s%s\n",
                     name.c_str(),
                     nearest.empty() ? "" : "; did you mean ",
                     nearest.c_str());
        return print_usage();
    }
    if (name == "note")
    {
        return run_note_command(asked);
    }
    return name == "top" ? run_top_command(asked) : run_daemon_command(asked);
}

result<operators_answer> call_daemon(invocation const& asked,
                                     std::string const& method,
                                     std::string const& path,
                                     std::string const& body)
{
    result<operators_answer> answer = call_operators(
        asked.daemon, asked.token, method, path, body, call_limit);
    if (!answer.has_value())
    {
        std::fprintf(stderr,
                     "no answer from %s (%s): %s\n",
                     to_string(asked.daemon).c_str(),
                     to_string(answer.assume_error().code),
                     answer.assume_error().message.c_str());
    }
    return answer;
}

exit_code code_of(error const& fault)
{
    return fault.code == error_code::unknown ? exit_code::unknown
                                             : exit_code::unreachable;
}

exit_code print_refusal(operators_answer const& answer)
{
    nlohmann::json const body =
        nlohmann::json::parse(answer.body, nullptr, false);
    bool const is_problem = body.is_object() && body.contains("code");
    std::string const code =
        is_problem ? body.value("code", std::string()) : answer.body;
    std::string const detail =
        is_problem ? body.value("detail", std::string()) : "";
    std::fprintf(stderr,
                 "refused (%d): %s %s\n",
                 answer.status,
                 code.c_str(),
                 detail.c_str());
    return exit_code::refused;
}

void print_table(std::vector<table_row> const& rows)
{
    std::vector<std::size_t> widths;
    for (table_row const& row : rows)
    {
        widths.resize(std::max(widths.size(), row.size()), 0);
        for (std::size_t column = 0; column < row.size(); ++column)
        {
            widths[column] = std::max(widths[column], row[column].size());
        }
    }
    for (table_row const& row : rows)
    {
        std::string line;
        for (std::size_t column = 0; column < row.size(); ++column)
        {
            std::string cell = row[column];
            cell.resize(std::max(cell.size(), widths[column] + 2), ' ');
            line += cell;
        }
        line.erase(line.find_last_not_of(' ') + 1);
        std::printf("%s\n", line.c_str());
    }
}

} // namespace cicada
