#pragma once

#include "base/base.hpp"

#include <optional>
#include <string>
#include <vector>

/**
 * INI texts as release notes and settings use them: sections of keys with
 * their line numbers, value formats with units, and problems that say what is
 * allowed instead. All functions are pure and may be called from any thread.
 */
namespace cicada
{

/** One `key = value` line. */
struct ini_entry
{
    int line = 0; //!< from 1
    std::string key;
    std::string value;

    bool operator==(ini_entry const&) const = default;
};

/** One `[name]` line and the keys below it. */
struct ini_section
{
    int line = 0; //!< from 1
    std::string name;
    std::vector<ini_entry> entries;

    bool operator==(ini_section const&) const = default;
};

/** What is wrong with one place of a text. */
struct text_problem
{
    int line = 0;        //!< from 1; 0: no line, something is missing
    std::string section; //!< without brackets; may be empty
    std::string key;     //!< may be empty
    std::string message; //!< what is wrong
    std::string allowed; //!< what would be right; may be empty
    std::string nearest; //!< the known name that was perhaps meant

    bool operator==(text_problem const&) const = default;
};

/** A value, or all that is wrong with the text it was read from. */
template <class T>
using checked = BOOST_OUTCOME_V2_NAMESPACE::basic_result<
    T,
    std::vector<text_problem>,
    BOOST_OUTCOME_V2_NAMESPACE::policy::all_narrow>;

/** "FILE:3: [section] key: message (allowed: ...); did you mean ...?" */
std::string describe(text_problem const& problem, std::string const& file);

/** A text taken apart, and what could not be. */
struct ini_document
{
    std::vector<ini_section> sections;
    std::vector<text_problem> problems;

    bool operator==(ini_document const&) const = default;
};

constexpr std::size_t ini_max_line_bytes = 190;
constexpr std::size_t ini_max_text_bytes = 204'800;

/**
 * Takes a text apart. A line that starts with blanks continues the value
 * above it; `;` and `#` start comments, `;` after a blank also within a line.
 */
ini_document read_ini(std::string const& text);

/** The known name with the fewest edits to `name`; empty: none is near. */
std::string nearest_name(std::string const& name,
                         std::vector<std::string> const& known);

// ---- value formats -------------------------------------------------------

/** "250ms", "30s", "5m", "1h"; a unit is required but for zero. */
std::optional<milliseconds> parse_duration(std::string const& text);

/** "512MiB", "512MB" or "4GiB", in mebibytes. */
std::optional<std::int64_t> parse_memory_mib(std::string const& text);

/** "0.5" or "2": cores with at most three decimals, in thousandths. */
std::optional<std::int64_t> parse_milli_cores(std::string const& text);

/** "5%". */
std::optional<int> parse_percent(std::string const& text);

/** Decimal digits. */
std::optional<std::int64_t> parse_count(std::string const& text);

/** "yes" or "no". */
std::optional<bool> parse_yes_no(std::string const& text);

/** "IP:port", IP by number; brackets round an IPv6 number. */
std::optional<address> parse_address(std::string const& text);

/** Lower-case letters, digits and inner hyphens, at most 63. */
bool is_plain_name(std::string const& text);

/** The shortest text that parse_duration() reads as this. */
std::string format_duration(milliseconds length);

/** The shortest text that parse_memory_mib() reads as this. */
std::string format_memory(std::int64_t mib);

/** The shortest text that parse_milli_cores() reads as this. */
std::string format_cores(std::int64_t milli_cores);

/** `value`, if it is there and within [low, high]. */
template <class Value>
std::optional<Value>
within(std::optional<Value> const& value, Value const& low, Value const& high)
{
    if (value && (*value < low || high < *value))
    {
        return std::nullopt;
    }
    return value;
}

// ---- sections by table ---------------------------------------------------

/** One key that a section may have, and where its value goes. */
template <class Target>
struct ini_key
{
    std::string name;
    std::string allowed; //!< the values, for people
    /** Stores the value; false if it isn't allowed. */
    bool (*read)(Target& target, std::string const& value);
};

/** Stores a parsed value in a field; false if there is none. */
template <class Field, class Value>
bool store_value(Field& field, std::optional<Value> const& value)
{
    if (!value)
    {
        return false;
    }
    field = static_cast<Field>(*value);
    return true;
}

/** The names of a table's keys. */
template <class Target>
std::vector<std::string> key_names(std::vector<ini_key<Target>> const& keys)
{
    std::vector<std::string> names;
    names.reserve(keys.size());
    for (ini_key<Target> const& key : keys)
    {
        names.push_back(key.name);
    }
    return names;
}

/** The nearest of the single words in "a, b, c"; empty: none is near. */
std::string nearest_value(std::string const& value, std::string const& allowed);

/** "a, b, c". */
std::string join_names(std::vector<std::string> const& names);

/** The problem of a key that no table has. */
text_problem unknown_key(ini_section const& section,
                         ini_entry const& entry,
                         std::vector<std::string> const& known);

/** The problem of a key given twice in a section, if `index` is the second. */
std::optional<text_problem> repeated_key(ini_section const& section,
                                         std::size_t index);

/** Reads a section's keys into `target`; adds what is wrong to `problems`. */
template <class Target>
void read_keys(ini_section const& section,
               std::vector<ini_key<Target>> const& keys,
               Target& target,
               std::vector<text_problem>& problems)
{
    for (std::size_t index = 0; index < section.entries.size(); ++index)
    {
        ini_entry const& entry = section.entries[index];
        std::optional<text_problem> const repeated =
            repeated_key(section, index);
        if (repeated)
        {
            problems.push_back(*repeated);
            continue;
        }
        ini_key<Target> const* found = nullptr;
        for (ini_key<Target> const& key : keys)
        {
            found = key.name == entry.key ? &key : found;
        }
        if (found == nullptr)
        {
            problems.push_back(unknown_key(section, entry, key_names(keys)));
        }
        else if (!found->read(target, entry.value))
        {
            problems.push_back({entry.line,
                                section.name,
                                entry.key,
                                "\"" + entry.value + "\" is not allowed",
                                found->allowed,
                                nearest_value(entry.value, found->allowed)});
        }
    }
}

} // namespace cicada
