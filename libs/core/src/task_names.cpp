#include "task_names.hpp"

#include <charconv>

namespace cicada
{
namespace
{

std::optional<int> parse_number(std::string const& text)
{
    int value = 0;
    char const* const end = text.data() + text.size();
    std::from_chars_result const read =
        std::from_chars(text.data(), end, value);
    if (read.ec != std::errc{} || read.ptr != end)
    {
        return std::nullopt;
    }
    return value;
}

} // namespace

task_id make_task_id(task_name const& name)
{
    return task_id{name.job.value + "/" + std::to_string(name.index) + "/" +
                   std::to_string(name.attempt)};
}

std::optional<task_name> parse_task_id(std::string const& text)
{
    std::size_t const last = text.rfind('/');
    if (last == std::string::npos || last == 0)
    {
        return std::nullopt;
    }
    std::size_t const middle = text.rfind('/', last - 1);
    if (middle == std::string::npos)
    {
        return std::nullopt;
    }
    std::optional<int> const index =
        parse_number(text.substr(middle + 1, last - middle - 1));
    std::optional<int> const attempt = parse_number(text.substr(last + 1));
    if (!index || !attempt)
    {
        return std::nullopt;
    }
    return task_name{job_id{text.substr(0, middle)}, *index, *attempt};
}

} // namespace cicada
