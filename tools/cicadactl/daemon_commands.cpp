#include "command.hpp"

#include <nlohmann/json.hpp>

#include <cstdio>

namespace cicada
{
namespace
{

using json = nlohmann::json;

std::string cell(json const& value)
{
    if (value.is_string())
    {
        return value.get<std::string>();
    }
    if (value.is_boolean())
    {
        return value.get<bool>() ? "yes" : "no";
    }
    if (value.is_object())
    {
        std::string text;
        for (json::const_iterator part = value.begin(); part != value.end();
             ++part)
        {
            text += (text.empty() ? "" : " ") + part.key() + "=" +
                    part.value().dump();
        }
        return text;
    }
    return value.dump();
}

/** One row for each value, with the first one's names as the heading. */
void print_list(json const& list)
{
    if (list.empty())
    {
        std::puts("none");
        return;
    }
    std::vector<table_row> rows(1);
    for (json::const_iterator name = list.front().begin();
         name != list.front().end();
         ++name)
    {
        rows.front().push_back(name.key());
    }
    for (json const& each : list)
    {
        table_row row;
        for (std::string const& name : rows.front())
        {
            row.push_back(each.contains(name) ? cell(each.at(name)) : "");
        }
        rows.push_back(row);
    }
    print_table(rows);
}

void print_object(json const& object)
{
    std::vector<table_row> rows;
    for (json::const_iterator each = object.begin(); each != object.end();
         ++each)
    {
        if (!each.value().is_array())
        {
            rows.push_back({each.key(), cell(each.value())});
        }
    }
    print_table(rows);
    for (json::const_iterator each = object.begin(); each != object.end();
         ++each)
    {
        if (each.value().is_array())
        {
            std::printf("\n%s:\n", each.key().c_str());
            print_list(each.value());
        }
    }
}

exit_code show(invocation const& asked, operators_answer const& answer)
{
    if (answer.status < 200 || answer.status > 299)
    {
        return print_refusal(answer);
    }
    json const body = json::parse(answer.body, nullptr, false);
    if (asked.json || body.is_discarded())
    {
        std::printf("%s\n", answer.body.c_str());
    }
    else if (body.is_array())
    {
        print_list(body);
    }
    else if (body.contains("detail"))
    {
        std::puts(cell(body.at("detail")).c_str());
    }
    else
    {
        print_object(body);
    }
    return exit_code::ok;
}

} // namespace

exit_code run_daemon_command(invocation const& asked)
{
    std::string const& name = asked.words.front();
    bool const takes_id = name == "explain";
    if (asked.words.size() != (takes_id ? 2U : 1U))
    {
        return print_usage();
    }
    std::string const path =
        "/v1/" + name + (takes_id ? "/" + asked.words[1] : "");
    result<operators_answer> const answer =
        call_daemon(asked, name == "drain" ? "POST" : "GET", path);
    return answer.has_value() ? show(asked, answer.assume_value())
                              : code_of(answer.assume_error());
}

} // namespace cicada
