#include "settings/settings.hpp"

#include "keys.hpp"

#include <algorithm>
#include <fstream>
#include <set>
#include <sstream>

namespace cicada
{
namespace
{

constexpr char required[] = "required";

using problem_list = std::vector<text_problem>;

std::vector<std::string> section_names()
{
    std::vector<std::string> names;
    for (setting_key const& each : setting_keys())
    {
        if (names.empty() || names.back() != each.section)
        {
            names.push_back(each.section);
        }
    }
    return names;
}

std::vector<ini_key<settings_draft>> keys_of(std::string const& section)
{
    std::vector<ini_key<settings_draft>> keys;
    for (setting_key const& each : setting_keys())
    {
        if (each.section == section)
        {
            keys.push_back(each.key);
        }
    }
    return keys;
}

/** A token's value must not come back in a message. */
void hide_secrets(problem_list& problems)
{
    for (text_problem& problem : problems)
    {
        if (problem.key == "token")
        {
            problem.message = "the token is not allowed";
        }
    }
}

/** The sections of a text, by name; each must be known and come once. */
void read_sections(ini_document const& document,
                   settings_draft& draft,
                   problem_list& problems)
{
    std::vector<std::string> const known = section_names();
    std::set<std::string> seen;
    for (ini_section const& section : document.sections)
    {
        bool const is_known =
            std::find(known.begin(), known.end(), section.name) != known.end();
        if (!is_known)
        {
            problems.push_back({section.line,
                                section.name,
                                "",
                                "unknown section",
                                join_names(known),
                                nearest_name(section.name, known)});
        }
        else if (!seen.insert(section.name).second)
        {
            problems.push_back({section.line,
                                section.name,
                                "",
                                "section given twice",
                                "each section once",
                                ""});
        }
        else
        {
            read_keys(section, keys_of(section.name), draft, problems);
        }
    }
}

bool is_given(ini_document const& document,
              std::string const& section,
              std::string const& key)
{
    for (ini_section const& each : document.sections)
    {
        for (ini_entry const& entry : each.entries)
        {
            if (each.name == section && entry.key == key)
            {
                return true;
            }
        }
    }
    return false;
}

void check_required(ini_document const& document, problem_list& problems)
{
    for (setting_key const& each : setting_keys())
    {
        if (each.default_value == required &&
            !is_given(document, each.section, each.key.name))
        {
            problems.push_back({0,
                                each.section,
                                each.key.name,
                                "missing",
                                each.key.allowed,
                                ""});
        }
    }
}

std::string first_line(std::string const& text)
{
    return text.substr(0, text.find_first_of("\r\n"));
}

/** Exactly one of `token` and `token-file`; reads the file. */
void resolve_token(ini_document const& document,
                   std::string const& section,
                   std::string const& path,
                   file_reader const& read_file,
                   secret& token,
                   problem_list& problems)
{
    bool const has_token = is_given(document, section, "token");
    bool const has_file = is_given(document, section, "token-file");
    if (has_token == has_file)
    {
        problems.push_back(
            {0,
             section,
             "token",
             has_token ? "token and token-file are both given" : "missing",
             "one of token and token-file",
             ""});
        return;
    }
    if (!has_file)
    {
        return;
    }
    result<std::string> const held = read_file(path);
    if (!held.has_value())
    {
        problems.push_back({0,
                            section,
                            "token-file",
                            held.assume_error().message,
                            "a file that can be read",
                            ""});
        return;
    }
    token.value = first_line(held.assume_value());
    constexpr std::size_t shortest_token = 16;
    if (token.value.size() < shortest_token)
    {
        problems.push_back({0,
                            section,
                            "token-file",
                            "the token in the file is too short",
                            "at least 16 bytes in the first line",
                            ""});
    }
}

bool is_any_address(address const& where)
{
    return where.host == "0.0.0.0" || where.host == "::";
}

address advertised(std::string const& section,
                   address const& listen,
                   std::optional<address> const& advertise,
                   problem_list& problems)
{
    address chosen = advertise.value_or(listen);
    if (is_any_address(chosen))
    {
        problems.push_back({0,
                            section,
                            "advertise",
                            "others can't reach " + chosen.host,
                            "the IP:port of this instance",
                            ""});
    }
    return chosen;
}

void check_order(std::string const& key,
                 milliseconds longer,
                 std::string const& other_key,
                 milliseconds shorter,
                 problem_list& problems)
{
    if (longer <= shorter)
    {
        problems.push_back(
            {0,
             "timing",
             key,
             format_duration(longer) + " is too short",
             "more than " + other_key + ", " + format_duration(shorter),
             ""});
    }
}

void check_timing(daemon_settings const& core, problem_list& problems)
{
    check_order("peer-timeout",
                core.peer_timeout,
                "heartbeat-period",
                core.heartbeat_period,
                problems);
    check_order("agent-timeout",
                core.agent_timeout,
                "sync-wait",
                core.sync_wait,
                problems);
    check_order("task-lease",
                core.task_lease,
                "agent-timeout",
                core.agent_timeout,
                problems);
}

} // namespace

std::string to_string(secret const& /*hidden*/)
{
    return "(secret)";
}

checked<cicadad_settings> parse_settings(std::string const& text,
                                         file_reader const& read_file)
{
    ini_document const document = read_ini(text);
    problem_list problems = document.problems;
    settings_draft draft;
    read_sections(document, draft, problems);
    hide_secrets(problems);
    check_required(document, problems);
    cicadad_settings& read = draft.settings;
    resolve_token(document,
                  "operators",
                  draft.operators_token_file,
                  read_file,
                  read.operators_token,
                  problems);
    resolve_token(document,
                  "link",
                  draft.link_token_file,
                  read_file,
                  read.link_token,
                  problems);
    read.core.self.operators = advertised("operators",
                                          read.operators_listen,
                                          draft.operators_advertise,
                                          problems);
    read.core.self.link =
        advertised("link", read.link_listen, draft.link_advertise, problems);
    check_timing(read.core, problems);
    if (!problems.empty())
    {
        return problems;
    }
    return read;
}

checked<cicadad_settings> load_settings(std::string const& path)
{
    file_reader const read_file =
        [](std::string const& name) -> result<std::string>
    {
        std::ifstream file(name, std::ios::binary);
        std::ostringstream held;
        if (!file || !(held << file.rdbuf()))
        {
            return error{error_code::invalid_input, "can't read " + name};
        }
        return held.str();
    };
    result<std::string> const text = read_file(path);
    if (!text.has_value())
    {
        return problem_list{{0,
                             "",
                             "",
                             text.assume_error().message,
                             "a file that can be read",
                             ""}};
    }
    return parse_settings(text.assume_value(), read_file);
}

std::vector<setting_reference> settings_reference()
{
    std::vector<setting_reference> rows;
    for (setting_key const& each : setting_keys())
    {
        rows.push_back({each.section,
                        each.key.name,
                        each.key.allowed,
                        each.default_value,
                        each.meaning});
    }
    return rows;
}

} // namespace cicada
