#include "ini/ini.hpp"

#include <algorithm>
#include <numeric>

namespace cicada
{
namespace
{

constexpr std::size_t longest_compared = 64;

/** Insertions, deletions and replacements that make `left` into `right`. */
std::size_t edit_distance(std::string const& left, std::string const& right)
{
    std::vector<std::size_t> row(right.size() + 1);
    std::iota(row.begin(), row.end(), std::size_t{0});
    for (std::size_t i = 1; i <= left.size(); ++i)
    {
        std::size_t diagonal = row[0];
        row[0] = i;
        for (std::size_t j = 1; j <= right.size(); ++j)
        {
            std::size_t const replaced =
                diagonal + (left[i - 1] == right[j - 1] ? 0 : 1);
            diagonal = row[j];
            row[j] = std::min({row[j] + 1, row[j - 1] + 1, replaced});
        }
    }
    return row[right.size()];
}

} // namespace

std::string nearest_name(std::string const& name,
                         std::vector<std::string> const& known)
{
    if (name.size() > longest_compared)
    {
        return "";
    }
    std::string nearest;
    std::size_t fewest = std::max<std::size_t>(2, name.size() / 3) + 1;
    for (std::string const& candidate : known)
    {
        std::size_t const edits = edit_distance(name, candidate);
        if (edits < fewest && edits < candidate.size())
        {
            fewest = edits;
            nearest = candidate;
        }
    }
    return nearest;
}

std::string nearest_value(std::string const& value, std::string const& allowed)
{
    std::vector<std::string> words;
    std::size_t start = 0;
    while (start < allowed.size())
    {
        std::size_t const end =
            std::min(allowed.find(", ", start), allowed.size());
        std::string const word = allowed.substr(start, end - start);
        if (word.find(' ') == std::string::npos)
        {
            words.push_back(word);
        }
        start = end + 2;
    }
    return nearest_name(value, words);
}

std::string join_names(std::vector<std::string> const& names)
{
    std::string joined;
    for (std::string const& name : names)
    {
        joined += (joined.empty() ? "" : ", ") + name;
    }
    return joined;
}

text_problem unknown_key(ini_section const& section,
                         ini_entry const& entry,
                         std::vector<std::string> const& known)
{
    return {entry.line,
            section.name,
            entry.key,
            "unknown key",
            join_names(known),
            nearest_name(entry.key, known)};
}

std::optional<text_problem> repeated_key(ini_section const& section,
                                         std::size_t index)
{
    ini_entry const& entry = section.entries[index];
    for (std::size_t earlier = 0; earlier < index; ++earlier)
    {
        ini_entry const& first = section.entries[earlier];
        if (first.key == entry.key)
        {
            return text_problem{entry.line,
                                section.name,
                                entry.key,
                                "given twice; first in line " +
                                    std::to_string(first.line),
                                "each key once in a section",
                                ""};
        }
    }
    return std::nullopt;
}

std::string describe(text_problem const& problem, std::string const& file)
{
    std::string text = file;
    text += problem.line > 0 ? ":" + std::to_string(problem.line) : "";
    text += ":";
    text += problem.section.empty() ? "" : " [" + problem.section + "]";
    text += problem.key.empty() ? "" : " " + problem.key + ":";
    text += " " + problem.message;
    text +=
        problem.allowed.empty() ? "" : " (allowed: " + problem.allowed + ")";
    text += problem.nearest.empty()
                ? ""
                : "; did you mean \"" + problem.nearest + "\"?";
    return text;
}

} // namespace cicada
