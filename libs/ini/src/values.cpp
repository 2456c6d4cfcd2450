#include "ini/ini.hpp"

#include <array>
#include <charconv>

namespace cicada
{
namespace
{

constexpr std::int64_t mib_per_gib = 1024;
constexpr std::int64_t milli_per_core = 1000;
constexpr std::size_t core_decimals = 3;
constexpr std::int64_t largest_number = 1'000'000'000'000;
constexpr std::size_t longest_name = 63;

struct unit
{
    char const* name;
    std::int64_t factor;
};

constexpr std::array<unit, 4> duration_units{{
    {"h", 3'600'000},
    {"m", 60'000},
    {"s", 1'000},
    {"ms", 1},
}};

constexpr std::array<unit, 2> memory_units{{
    {"GiB", mib_per_gib},
    {"MiB", 1},
}};
/** As the platform's templates write mebibytes; read, and never written. */
constexpr std::array<unit, 1> platform_memory_units{{{"MB", 1}}};

/** Digits and then one of the units; in the smallest unit. */
template <std::size_t Count>
std::optional<std::int64_t> parse_amount(std::string const& text,
                                         std::array<unit, Count> const& units)
{
    std::size_t const split = text.find_first_not_of("0123456789");
    if (split == std::string::npos)
    {
        return std::nullopt;
    }
    std::optional<std::int64_t> const number =
        parse_count(text.substr(0, split));
    std::string const name = text.substr(split);
    for (unit const& each : units)
    {
        if (number && name == each.name)
        {
            return *number * each.factor;
        }
    }
    return std::nullopt;
}

template <std::size_t Count>
std::string format_amount(std::int64_t amount,
                          std::array<unit, Count> const& units)
{
    for (unit const& each : units)
    {
        if (amount % each.factor == 0 && amount != 0)
        {
            return std::to_string(amount / each.factor) + each.name;
        }
    }
    return "0" + std::string(units.back().name);
}

bool is_ip_host(std::string const& host)
{
    return !host.empty() &&
           host.find_first_not_of("0123456789abcdefABCDEF.:") ==
               std::string::npos &&
           host.find_first_of(".:") != std::string::npos;
}

std::string without_brackets(std::string const& host)
{
    bool const has_brackets =
        host.size() > 2 && host.front() == '[' && host.back() == ']';
    return has_brackets ? host.substr(1, host.size() - 2) : host;
}

} // namespace

std::optional<std::int64_t> parse_count(std::string const& text)
{
    std::int64_t value = 0;
    char const* const end = text.data() + text.size();
    std::from_chars_result const read =
        std::from_chars(text.data(), end, value);
    if (text.empty() || text[0] == '-' || read.ec != std::errc() ||
        read.ptr != end || value > largest_number)
    {
        return std::nullopt;
    }
    return value;
}

std::optional<milliseconds> parse_duration(std::string const& text)
{
    if (text == "0")
    {
        return milliseconds(0);
    }
    std::optional<std::int64_t> const length =
        parse_amount(text, duration_units);
    if (!length)
    {
        return std::nullopt;
    }
    return milliseconds(*length);
}

std::optional<std::int64_t> parse_memory_mib(std::string const& text)
{
    std::optional<std::int64_t> const parsed = parse_amount(text, memory_units);
    return parsed ? parsed : parse_amount(text, platform_memory_units);
}

std::optional<std::int64_t> parse_milli_cores(std::string const& text)
{
    std::size_t const point = text.find('.');
    std::optional<std::int64_t> const whole =
        parse_count(text.substr(0, point));
    if (!whole || point == std::string::npos)
    {
        return whole ? std::optional(*whole * milli_per_core) : std::nullopt;
    }
    std::string decimals = text.substr(point + 1);
    if (decimals.empty() || decimals.size() > core_decimals)
    {
        return std::nullopt;
    }
    decimals.append(core_decimals - decimals.size(), '0');
    std::optional<std::int64_t> const part = parse_count(decimals);
    return part ? std::optional(*whole * milli_per_core + *part) : std::nullopt;
}

std::optional<int> parse_percent(std::string const& text)
{
    if (text.empty() || text.back() != '%')
    {
        return std::nullopt;
    }
    std::optional<std::int64_t> const value =
        parse_count(text.substr(0, text.size() - 1));
    if (!value || *value > 100)
    {
        return std::nullopt;
    }
    return static_cast<int>(*value);
}

std::optional<bool> parse_yes_no(std::string const& text)
{
    if (text == "yes" || text == "no")
    {
        return text == "yes";
    }
    return std::nullopt;
}

std::optional<address> parse_address(std::string const& text)
{
    std::size_t const colon = text.rfind(':');
    if (colon == std::string::npos)
    {
        return std::nullopt;
    }
    std::string const host = without_brackets(text.substr(0, colon));
    std::optional<std::int64_t> const port =
        parse_count(text.substr(colon + 1));
    if (!is_ip_host(host) || !port || *port > UINT16_MAX)
    {
        return std::nullopt;
    }
    return address{host, static_cast<std::uint16_t>(*port)};
}

bool is_plain_name(std::string const& text)
{
    return !text.empty() && text.size() <= longest_name &&
           text.find_first_not_of("abcdefghijklmnopqrstuvwxyz0123456789-") ==
               std::string::npos &&
           text.front() != '-' && text.back() != '-';
}

std::string format_duration(milliseconds length)
{
    return format_amount(length.count(), duration_units);
}

std::string format_memory(std::int64_t mib)
{
    return format_amount(mib, memory_units);
}

std::string format_cores(std::int64_t milli_cores)
{
    std::string text = std::to_string(milli_cores / milli_per_core);
    std::string decimals =
        std::to_string(milli_per_core + milli_cores % milli_per_core).substr(1);
    decimals.erase(decimals.find_last_not_of('0') + 1);
    return decimals.empty() ? text : text + "." + decimals;
}

} // namespace cicada
