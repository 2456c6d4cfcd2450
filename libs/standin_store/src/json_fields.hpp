#pragma once

#include "base64/base64.hpp"

#include <nlohmann/json.hpp>

/**
 * Reads the fields of a call by their snake_case name, camelCase too. They
 * throw where a field breaks its format; the codec catches.
 */
namespace cicada::standin
{

using json = nlohmann::json;

/** "range_end" as "rangeEnd". */
inline std::string camel_case(std::string const& name)
{
    std::string made;
    bool upper = false;
    for (char const each : name)
    {
        if (each == '_')
        {
            upper = true;
            continue;
        }
        made.push_back(upper ? static_cast<char>(std::toupper(each)) : each);
        upper = false;
    }
    return made;
}

/** The field, or null where there is none. */
inline json const* find_field(json const& call, std::string const& name)
{
    if (call.contains(name))
    {
        return &call.at(name);
    }
    std::string const camel = camel_case(name);
    return call.contains(camel) ? &call.at(camel) : nullptr;
}

/** The field; throws where there is none. */
inline json const& required_field(json const& call, std::string const& name)
{
    json const* const found = find_field(call, name);
    return found == nullptr ? call.at(name) : *found;
}

/** A 64-bit number, written as a string or not; 0 where there is none. */
inline std::int64_t number_field(json const& call, std::string const& name)
{
    json const* const found = find_field(call, name);
    if (found == nullptr)
    {
        return 0;
    }
    return found->is_string() ? std::stoll(found->get<std::string>())
                              : found->get<std::int64_t>();
}

/** A text; empty where there is none. */
inline std::string text_field(json const& call, std::string const& name)
{
    json const* const found = find_field(call, name);
    return found == nullptr ? std::string() : found->get<std::string>();
}

/** Bytes in base64; empty where there are none. */
inline std::string bytes_field(json const& call, std::string const& name)
{
    result<std::string> const bytes = from_base64(text_field(call, name));
    if (!bytes.has_value())
    {
        throw std::invalid_argument(name + ": " + bytes.assume_error().message);
    }
    return bytes.assume_value();
}

/** A list; empty where there is none. */
inline json list_field(json const& call, std::string const& name)
{
    json const* const found = find_field(call, name);
    return found == nullptr ? json::array() : *found;
}

} // namespace cicada::standin
