#include "options.hpp"

#include <popt.h>

#include <array>
#include <charconv>
#include <cstdlib>
#include <memory>

namespace cicada::load
{
namespace
{

using popt_handle =
    std::unique_ptr<poptContext_s, poptContext (*)(poptContext)>;

constexpr int entry_option = 1;
constexpr int tenant_option = 2;
constexpr int verify_option = 3;
constexpr std::size_t least_parts = 5;
constexpr std::size_t most_parts = 7;

error invalid(std::string message)
{
    return error{error_code::invalid_input, std::move(message)};
}

template <class Number>
bool read_number(std::string const& text, Number& value)
{
    char const* const end = text.data() + text.size();
    std::from_chars_result const read =
        std::from_chars(text.data(), end, value);
    return read.ec == std::errc() && read.ptr == end;
}

std::vector<std::string> split(std::string const& text)
{
    std::vector<std::string> parts;
    std::size_t begin = 0;
    std::size_t end = text.find(':');
    while (end != std::string::npos)
    {
        parts.push_back(text.substr(begin, end - begin));
        begin = end + 1;
        end = text.find(':', begin);
    }
    parts.push_back(text.substr(begin));
    return parts;
}

result<address> read_address(std::string const& text)
{
    std::vector<std::string> const parts = split(text);
    address where;
    if (parts.size() != 2 || !read_number(parts[1], where.port))
    {
        return invalid(text + " is not HOST:PORT");
    }
    where.host = parts[0];
    return where;
}

result<tenant_load> read_tenant(std::string const& text)
{
    std::vector<std::string> const parts = split(text);
    error const wrong =
        invalid(text + " is not TENANT:CLASS:WORKLOAD:RATE:BODY-BYTES"
                       "[:SERVICE-MS[:nonidempotent]]");
    if (parts.size() < least_parts || parts.size() > most_parts)
    {
        return wrong;
    }
    tenant_load load;
    load.tenant = parts[0];
    load.workload = parts[2];
    std::optional<work_class> const urgency = parse_work_class(parts[1]);
    bool good = urgency && read_number(parts[3], load.rate) && load.rate > 0 &&
                read_number(parts[4], load.body_bytes);
    if (parts.size() > least_parts && !parts[5].empty())
    {
        int service_ms = 0;
        good = good && read_number(parts[5], service_ms);
        load.service_ms = service_ms;
    }
    if (parts.size() == most_parts)
    {
        good = good && parts[6] == "nonidempotent";
        load.idempotent = false;
    }
    if (!good)
    {
        return wrong;
    }
    load.urgency = *urgency;
    return load;
}

/** Takes one repeatable option; the error, if there is one. */
std::optional<error> take(options& read, int option, std::string const& text)
{
    if (option == tenant_option)
    {
        result<tenant_load> const load = read_tenant(text);
        if (!load.has_value())
        {
            return load.assume_error();
        }
        read.tenants.push_back(load.assume_value());
        return std::nullopt;
    }
    result<address> const where = read_address(text);
    if (!where.has_value())
    {
        return where.assume_error();
    }
    if (option == entry_option)
    {
        read.entries.push_back(where.assume_value());
    }
    else
    {
        read.verify = where.assume_value();
    }
    return std::nullopt;
}

} // namespace

result<options> read_options(int count, char const** words)
{
    options read;
    int json = 0;
    long seed = 1;
    std::array<poptOption, 9> const table{{
        {"entry",
         0,
         POPT_ARG_STRING,
         nullptr,
         entry_option,
         "an entry; may be given again",
         "HOST:PORT"},
        {"tenant",
         0,
         POPT_ARG_STRING,
         nullptr,
         tenant_option,
         "a stream of requests; may be given again",
         "TENANT:CLASS:WORKLOAD:RATE:BYTES[:SERVICE-MS[:nonidempotent]]"},
        {"seconds", 0, POPT_ARG_INT, &read.seconds, 0, "how long", "N"},
        {"connections",
         0,
         POPT_ARG_INT,
         &read.connections,
         0,
         "requests under way at once",
         "N"},
        {"seed", 0, POPT_ARG_LONG, &seed, 0, "of the arrivals", "N"},
        {"json", 0, POPT_ARG_NONE, &json, 0, "print JSON", nullptr},
        {"verify",
         0,
         POPT_ARG_STRING,
         nullptr,
         verify_option,
         "ask the stand-in what ran",
         "HOST:PORT"},
        POPT_AUTOHELP POPT_TABLEEND,
    }};
    popt_handle const context(
        poptGetContext("cicada_load", count, words, table.data(), 0),
        poptFreeContext);
    int option = poptGetNextOpt(context.get());
    while (option > 0)
    {
        std::unique_ptr<char, void (*)(void*)> const text(
            poptGetOptArg(context.get()), std::free);
        std::optional<error> const wrong = take(read, option, text.get());
        if (wrong)
        {
            return *wrong;
        }
        option = poptGetNextOpt(context.get());
    }
    if (option < -1)
    {
        return invalid(poptStrerror(option));
    }
    if (read.entries.empty() || read.tenants.empty() || read.seconds < 1 ||
        read.connections < 1)
    {
        return invalid("an entry, a tenant and positive numbers are needed");
    }
    read.json = json != 0;
    read.seed = static_cast<std::uint64_t>(seed);
    return read;
}

} // namespace cicada::load
