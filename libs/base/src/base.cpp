#include "base/base.hpp"

namespace cicada
{

std::string to_string(address const& where)
{
    return where.host + ":" + std::to_string(where.port);
}

resources operator+(resources const& left, resources const& right)
{
    return {left.milli_cores + right.milli_cores,
            left.memory_mib + right.memory_mib,
            left.accelerators + right.accelerators};
}

resources operator-(resources const& left, resources const& right)
{
    return {left.milli_cores - right.milli_cores,
            left.memory_mib - right.memory_mib,
            left.accelerators - right.accelerators};
}

resources operator*(resources const& each, std::int64_t count)
{
    return {each.milli_cores * count,
            each.memory_mib * count,
            each.accelerators * count};
}

bool fits(resources const& needed, resources const& available)
{
    return needed.milli_cores <= available.milli_cores &&
           needed.memory_mib <= available.memory_mib &&
           needed.accelerators <= available.accelerators;
}

bool non_negative(resources const& amount)
{
    return fits(resources{}, amount);
}

char const* to_string(error_code code)
{
    switch (code)
    {
    case error_code::invalid_input:
        return "invalid_input";
    case error_code::refused:
        return "refused";
    case error_code::unavailable:
        return "unavailable";
    case error_code::unknown:
        return "unknown";
    }
    return "invalid";
}

} // namespace cicada
