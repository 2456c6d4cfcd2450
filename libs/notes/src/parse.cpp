#include "notes/notes.hpp"

#include "kind_rules.hpp"
#include "note_keys.hpp"

#include <algorithm>
#include <set>

namespace cicada
{
namespace
{

using problem_list = std::vector<text_problem>;

constexpr char section_forms[] =
    "[note], [workload NAME], [tenant NAME], [policies]";

struct section_name
{
    std::string type;
    std::string name; //!< empty: none given
};

section_name split_name(std::string const& text)
{
    std::size_t const blank = text.find(' ');
    if (blank == std::string::npos)
    {
        return {text, ""};
    }
    std::size_t const start = text.find_first_not_of(' ', blank);
    return {text.substr(0, blank), text.substr(start)};
}

text_problem section_problem(ini_section const& section,
                             std::string const& message,
                             std::string const& allowed)
{
    return {section.line, section.name, "", message, allowed, ""};
}

bool has_key(ini_section const& section, std::string const& key)
{
    return std::any_of(section.entries.begin(),
                       section.entries.end(),
                       [&key](ini_entry const& entry)
                       {
                           return entry.key == key;
                       });
}

void require_key(ini_section const& section,
                 std::string const& key,
                 std::string const& allowed,
                 problem_list& problems)
{
    if (!has_key(section, key))
    {
        problems.push_back(
            {section.line, section.name, key, "missing", allowed, ""});
    }
}

template <class Target>
void require_from(ini_section const& section,
                  std::vector<ini_key<Target>> const& keys,
                  std::string const& name,
                  problem_list& problems)
{
    for (ini_key<Target> const& key : keys)
    {
        if (key.name == name)
        {
            require_key(section, name, key.allowed, problems);
        }
    }
}

/** A withdrawal says no more than its action. */
template <class Change>
void check_withdrawal(Change const& change, problem_list& problems)
{
    if (change.action != change_action::withdraw)
    {
        return;
    }
    for (ini_entry const& entry : change.source.entries)
    {
        if (entry.key != "action")
        {
            problems.push_back({entry.line,
                                change.source.name,
                                entry.key,
                                "not with action = withdraw",
                                "action alone",
                                ""});
        }
    }
}

template <class Change>
void check_change_says_what(Change const& change, problem_list& problems)
{
    if (change.action == change_action::change &&
        change.source.entries.size() < 2)
    {
        problems.push_back(section_problem(
            change.source, "changes nothing", "at least one key to change"));
    }
}

template <class Change>
Change read_change(ini_section const& section,
                   std::vector<ini_key<Change>> const& keys,
                   problem_list& problems)
{
    Change change;
    change.source = section;
    read_keys(section, keys, change, problems);
    require_from(section, keys, "action", problems);
    check_withdrawal(change, problems);
    check_change_says_what(change, problems);
    return change;
}

void read_workload(ini_section const& section,
                   std::string const& name,
                   release_note& note,
                   problem_list& problems)
{
    workload_change change = read_change(section, workload_keys(), problems);
    change.name.value = name;
    if (change.action == change_action::add)
    {
        require_from(section, workload_keys(), "kind", problems);
        check_sizes(change, problems);
        if (change.kind)
        {
            check_kind_keys(change, *change.kind, problems);
        }
    }
    note.changes.emplace_back(change);
}

void read_tenant(ini_section const& section,
                 std::string const& name,
                 release_note& note,
                 problem_list& problems)
{
    tenant_change change = read_change(section, tenant_keys(), problems);
    change.name.value = name;
    check_quota(change, change.action != change_action::add, problems);
    note.changes.emplace_back(change);
}

void read_policies(ini_section const& section,
                   release_note& note,
                   problem_list& problems)
{
    policies_change change;
    change.source = section;
    read_keys(section, policies_keys(), change, problems);
    if (section.entries.empty())
    {
        problems.push_back(section_problem(
            section, "changes nothing", "at least one key to change"));
    }
    note.changes.emplace_back(change);
}

bool check_name(ini_section const& section,
                section_name const& split,
                problem_list& problems)
{
    bool const wants_name = split.type == "workload" || split.type == "tenant";
    if (wants_name && !is_plain_name(split.name))
    {
        problems.push_back(section_problem(
            section,
            split.name.empty() ? "the name is missing"
                               : "the name is not allowed",
            "lower-case letters, digits and inner hyphens, at most 63"));
        return false;
    }
    if (!wants_name && !split.name.empty())
    {
        problems.push_back(section_problem(
            section, "this section has no name", "[" + split.type + "]"));
    }
    return true;
}

void read_section(ini_section const& section,
                  release_note& note,
                  problem_list& problems)
{
    section_name const split = split_name(section.name);
    std::vector<std::string> const types{
        "note", "workload", "tenant", "policies"};
    if (std::find(types.begin(), types.end(), split.type) == types.end())
    {
        problems.push_back({section.line,
                            section.name,
                            "",
                            "unknown section",
                            section_forms,
                            nearest_name(split.type, types)});
        return;
    }
    if (!check_name(section, split, problems))
    {
        return;
    }
    if (split.type == "note")
    {
        read_keys(section, header_keys(), note.header, problems);
        for (char const* const key : {"title", "author", "reason"})
        {
            require_from(section, header_keys(), key, problems);
        }
    }
    else if (split.type == "workload")
    {
        read_workload(section, split.name, note, problems);
    }
    else if (split.type == "tenant")
    {
        read_tenant(section, split.name, note, problems);
    }
    else
    {
        read_policies(section, note, problems);
    }
}

/** A section with its blanks made one, so that repeats are found. */
std::string normal_name(ini_section const& section)
{
    section_name const split = split_name(section.name);
    return split.type + " " + split.name;
}

void check_whole(release_note const& note,
                 std::set<std::string> const& seen,
                 problem_list& problems)
{
    if (seen.count("note ") == 0)
    {
        problems.push_back({0,
                            "note",
                            "",
                            "the section is missing",
                            "[note] with title, author and reason",
                            ""});
    }
    if (note.changes.empty() && problems.empty())
    {
        problems.push_back(
            {0, "", "", "the note changes nothing", section_forms, ""});
    }
}

} // namespace

checked<release_note> parse_note(std::string const& text)
{
    ini_document const document = read_ini(text);
    problem_list problems = document.problems;
    release_note note;
    std::set<std::string> seen;
    for (ini_section const& section : document.sections)
    {
        if (!seen.insert(normal_name(section)).second)
        {
            problems.push_back(section_problem(
                section, "section given twice", "each section once"));
            continue;
        }
        read_section(section, note, problems);
    }
    check_whole(note, seen, problems);
    if (!problems.empty())
    {
        std::stable_sort(problems.begin(),
                         problems.end(),
                         [](text_problem const& left, text_problem const& right)
                         {
                             return left.line < right.line;
                         });
        return problems;
    }
    return note;
}

} // namespace cicada
