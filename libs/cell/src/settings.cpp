#include "cell/cell.hpp"
#include "store_watch/store_watch.hpp"

#include <cstdlib>
#include <fstream>
#include <functional>
#include <sstream>

namespace cicada::cell
{

namespace
{

using problems = std::vector<text_problem>;

constexpr std::int64_t min_descriptors = 300;
constexpr std::int64_t min_memory_mib = 16;
constexpr double min_cores = 0.001;
constexpr double max_cores = 10'000.0;
constexpr double milli_cores_per_core = 1000.0;

/** A key of the settings file and the parser of its value. */
struct setting
{
    std::string section;
    std::string key;
    std::string allowed;
    bool required = true;
    /** Returns false if the text isn't a valid value. */
    std::function<bool(cell_settings&, std::string const&)> parse;
};

setting text_setting(std::string const& section,
                     std::string const& key,
                     std::string cell_settings::*field)
{
    return {section,
            key,
            "a name",
            true,
            [field](cell_settings& into, std::string const& text)
            {
                into.*field = text;
                return !text.empty();
            }};
}

setting address_setting(std::string const& section,
                        std::string const& key,
                        address cell_settings::*field,
                        bool required = true)
{
    return {section,
            key,
            "IP:port",
            required,
            [field, required](cell_settings& into, std::string const& text)
            {
                if (text.empty() && !required)
                {
                    return true;
                }
                std::optional<address> const parsed = parse_address(text);
                if (parsed)
                {
                    into.*field = *parsed;
                }
                return parsed.has_value();
            }};
}

setting duration_setting(std::string const& section,
                         std::string const& key,
                         milliseconds cell_settings::*field)
{
    return {section,
            key,
            "a duration such as 6000ms",
            false,
            [field](cell_settings& into, std::string const& text)
            {
                std::optional<milliseconds> const parsed = parse_duration(text);
                if (parsed && parsed->count() > 0)
                {
                    into.*field = *parsed;
                }
                return parsed && parsed->count() > 0;
            }};
}

std::vector<setting> const& all_settings()
{
    static std::vector<setting> const known{
        text_setting("daemon", "name", &cell_settings::name),
        text_setting("daemon", "zone", &cell_settings::zone),
        {"daemon",
         "descriptors",
         "a number from 300",
         false,
         [](cell_settings& into, std::string const& text)
         {
             std::optional<std::int64_t> const parsed = parse_count(text);
             if (!parsed || *parsed < min_descriptors)
             {
                 return false;
             }
             into.descriptors = static_cast<int>(*parsed);
             return true;
         }},
        {"daemon",
         "cores",
         "a number of cores from 0.001",
         false,
         [](cell_settings& into, std::string const& text)
         {
             char* end = nullptr;
             double const parsed = std::strtod(text.c_str(), &end);
             if (text.empty() || *end != '\0' || !(parsed >= min_cores) ||
                 parsed > max_cores)
             {
                 return false;
             }
             into.milli_cores = static_cast<int>(parsed * milli_cores_per_core);
             return true;
         }},
        {"daemon",
         "memory",
         "an amount from 16MB",
         false,
         [](cell_settings& into, std::string const& text)
         {
             std::optional<std::int64_t> const parsed = parse_memory_mib(text);
             if (!parsed || *parsed < min_memory_mib)
             {
                 return false;
             }
             into.memory_mib = *parsed;
             return true;
         }},
        address_setting("listen", "callers", &cell_settings::callers),
        address_setting("listen", "readiness", &cell_settings::readiness),
        address_setting("listen", "link", &cell_settings::link),
        address_setting("listen", "metrics", &cell_settings::metrics),
        address_setting("store", "address", &cell_settings::store),
        {"store",
         "catch-up-limit",
         "a duration from 1000ms",
         false,
         [](cell_settings& into, std::string const& text)
         {
             std::optional<milliseconds> const parsed = parse_duration(text);
             if (!parsed || *parsed < store_watch::min_catch_up_limit)
             {
                 return false;
             }
             into.catch_up_limit = *parsed;
             return true;
         }},
        address_setting("advisor", "address", &cell_settings::advisor, false),
        duration_setting("workers", "lease-limit", &cell_settings::lease_limit),
        duration_setting("daemon", "stop-limit", &cell_settings::stop_limit),
    };
    return known;
}

ini_entry const* find_entry(ini_document const& document, setting const& wanted)
{
    for (ini_section const& section : document.sections)
    {
        for (ini_entry const& entry : section.entries)
        {
            if (section.name == wanted.section && entry.key == wanted.key)
            {
                return &entry;
            }
        }
    }
    return nullptr;
}

} // namespace

checked<cell_settings> read_settings(std::string const& text)
{
    ini_document const document = read_ini(text);
    problems found = document.problems;
    cell_settings settings;
    for (setting const& each : all_settings())
    {
        ini_entry const* const entry = find_entry(document, each);
        if (entry == nullptr)
        {
            if (each.required)
            {
                found.push_back({0,
                                 each.section,
                                 each.key,
                                 "the key is missing",
                                 each.allowed,
                                 ""});
            }
            continue;
        }
        if (!each.parse(settings, entry->value))
        {
            found.push_back({entry->line,
                             each.section,
                             each.key,
                             "'" + entry->value + "' can't be read",
                             each.allowed,
                             ""});
        }
    }
    if (!found.empty())
    {
        return found;
    }
    return settings;
}

checked<cell_settings> load_settings(std::string const& path)
{
    std::ifstream file(path);
    if (!file)
    {
        return problems{{0, "", "", "the file can't be read", "", ""}};
    }
    std::ostringstream text;
    text << file.rdbuf();
    return read_settings(text.str());
}

} // namespace cicada::cell
