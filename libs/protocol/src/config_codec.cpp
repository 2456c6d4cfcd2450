#include "decode.hpp"
#include "describe_model.hpp"

namespace cicada
{

std::string encode_config(cell_config const& value)
{
    return print_text(codec<cell_config>::write(value));
}

result<cell_config> decode_config(std::string const& text)
{
    return from_text<cell_config>(text);
}

std::string encode_instances(std::vector<instance> const& list)
{
    return print_text(codec<std::vector<instance>>::write(list));
}

result<std::vector<instance>> decode_instances(std::string const& text)
{
    return from_text<std::vector<instance>>(text);
}

} // namespace cicada
