#include "decode.hpp"
#include "describe_agent.hpp"

namespace cicada
{

namespace
{

constexpr std::array<char const*, std::variant_size_v<agent_order>> paths{
    "/cicada/v1/sync", "/cicada/v1/start", "/cicada/v1/cancel"};

/** The names of the answers, in the order of the variant. */
constexpr std::array<char const*, std::variant_size_v<agent_answer>> answers{
    "report", "run", "refusal"};

/** Reads alternative `index` of a variant. */
template <class Variant, std::size_t Index = 0>
result<Variant> decode_alternative(std::size_t index, json const& in)
{
    if constexpr (Index == std::variant_size_v<Variant>)
    {
        return invalid_input("unknown kind");
    }
    else
    {
        if (index != Index)
        {
            return decode_alternative<Variant, Index + 1>(index, in);
        }
        using body_type = std::variant_alternative_t<Index, Variant>;
        result<body_type> read = from_json<body_type>(in);
        if (!read.has_value())
        {
            return read.assume_error();
        }
        return Variant(std::move(read).assume_value());
    }
}

template <std::size_t Size>
std::size_t index_of(std::array<char const*, Size> const& names,
                     std::string const& name)
{
    std::size_t index = 0;
    while (index < Size && name != names[index])
    {
        ++index;
    }
    return index;
}

template <class Variant>
json write_alternative(Variant const& value)
{
    return std::visit(
        [](auto const& body)
        {
            return codec<std::decay_t<decltype(body)>>::write(body);
        },
        value);
}

} // namespace

char const* agent_path(agent_order const& order)
{
    return paths[order.index()];
}

std::string encode_agent_order(agent_order const& order)
{
    return print_text(write_alternative(order));
}

result<agent_order> decode_agent_order(std::string const& path,
                                       std::string const& text)
{
    result<json> const parsed = parse_text(text);
    if (!parsed.has_value())
    {
        return parsed.assume_error();
    }
    return decode_alternative<agent_order>(index_of(paths, path),
                                           parsed.assume_value());
}

std::string encode_agent_answer(agent_answer const& answer)
{
    json out = write_alternative(answer);
    out["kind"] = answers[answer.index()];
    return print_text(out);
}

result<agent_answer> decode_agent_answer(std::string const& text)
{
    result<json> const parsed = parse_text(text);
    if (!parsed.has_value())
    {
        return parsed.assume_error();
    }
    json const& in = parsed.assume_value();
    if (!in.is_object() || !in.contains("kind") || !in["kind"].is_string())
    {
        return invalid_input("kind is missing");
    }
    std::string const& kind = in["kind"].get_ref<std::string const&>();
    return decode_alternative<agent_answer>(index_of(answers, kind), in);
}

} // namespace cicada
