#include "decode.hpp"

#include "cbor_bounds.hpp"

namespace cicada
{

error invalid_input(std::string message)
{
    return error{error_code::invalid_input, std::move(message)};
}

namespace
{

/** The deepest nesting of brackets outside strings. */
int nesting_of(std::string const& text)
{
    int depth = 0;
    int deepest = 0;
    bool quoted = false;
    for (std::size_t at = 0; at < text.size(); ++at)
    {
        char const byte = text[at];
        if (quoted)
        {
            at += byte == '\\' ? 1 : 0;
            quoted = byte != '"';
            continue;
        }
        quoted = byte == '"';
        depth += byte == '[' || byte == '{' ? 1 : 0;
        depth -= byte == ']' || byte == '}' ? 1 : 0;
        deepest = std::max(deepest, depth);
    }
    return deepest;
}

} // namespace

result<json> parse_text(std::string const& text)
{
    if (text.size() > max_input_bytes || nesting_of(text) > max_nesting)
    {
        return invalid_input("too long or too deep");
    }
    json parsed = json::parse(text, nullptr, false);
    if (parsed.is_discarded())
    {
        return invalid_input("not JSON");
    }
    return parsed;
}

result<json> parse_cbor(std::string const& bytes)
{
    if (bytes.size() > max_input_bytes || !cbor_is_bounded(bytes, max_nesting))
    {
        return invalid_input("not CBOR, too long or too deep");
    }
    json parsed = json::from_cbor(bytes, true, false);
    if (parsed.is_discarded())
    {
        return invalid_input("not CBOR");
    }
    return parsed;
}

std::string print_text(json const& value)
{
    return value.dump(-1, ' ', false, json::error_handler_t::replace);
}

} // namespace cicada
