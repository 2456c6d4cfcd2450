#include "hello.hpp"

#include <nlohmann/json.hpp>

namespace cicada
{

namespace
{

using json = nlohmann::json;

constexpr std::size_t max_hello_bytes = 4096;

bool read_text(json const& in, char const* name, std::string& out)
{
    if (!in.contains(name) || !in[name].is_string())
    {
        return false;
    }
    out = in[name].get<std::string>();
    return true;
}

bool read_number(json const& in, char const* name, std::uint64_t& out)
{
    if (!in.contains(name) || !in[name].is_number_unsigned())
    {
        return false;
    }
    out = in[name].get<std::uint64_t>();
    return true;
}

} // namespace

std::string encode_hello(hello const& value)
{
    json const out = {{"name", value.name},
                      {"incarnation", value.incarnation},
                      {"version", value.version},
                      {"dial", value.dial},
                      {"token", value.token}};
    return out.dump(-1, ' ', false, json::error_handler_t::replace);
}

std::optional<hello> decode_hello(std::string const& text)
{
    if (text.size() > max_hello_bytes)
    {
        return std::nullopt;
    }
    json const in = json::parse(text, nullptr, false);
    hello out;
    if (!in.is_object() || !read_text(in, "name", out.name) ||
        !read_number(in, "incarnation", out.incarnation) ||
        !read_number(in, "version", out.version) ||
        !read_number(in, "dial", out.dial) ||
        !read_text(in, "token", out.token) || out.name.empty())
    {
        return std::nullopt;
    }
    return out;
}

bool replaces(hello const& up, hello const& fresh)
{
    return up.incarnation != fresh.incarnation || up.dial < fresh.dial;
}

bool tokens_match(std::string const& left, std::string const& right)
{
    unsigned difference = left.size() == right.size() ? 0 : 1;
    for (std::size_t at = 0; at < left.size() && at < right.size(); ++at)
    {
        difference |= static_cast<unsigned char>(left[at] ^ right[at]);
    }
    return difference == 0;
}

} // namespace cicada
