#include "decode.hpp"
#include "describe_peer.hpp"

namespace cicada
{

namespace
{

/** The names of the kinds, in the order of the variant. */
constexpr std::array<char const*, std::variant_size_v<peer_message>> kinds{
    "heartbeat",
    "slot_request",
    "slot_grant",
    "slot_refusal",
    "slot_cancel",
    "slot_return",
    "attempt_settled",
    "note_offer",
    "table_offer",
    "job_offer",
    "job_cancel"};

using decoded = result<std::optional<peer_message>>;

template <class T>
decoded decode_body(json const& body)
{
    result<T> read = from_json<T>(body);
    if (!read.has_value())
    {
        return read.assume_error();
    }
    return std::optional<peer_message>(std::move(read).assume_value());
}

template <std::size_t... Indexes>
decoded decode_kind(std::string const& kind,
                    json const& body,
                    std::index_sequence<Indexes...>)
{
    decoded out = std::optional<peer_message>();
    bool const known =
        ((kind == kinds[Indexes] &&
          (out = decode_body<std::variant_alternative_t<Indexes, peer_message>>(
               body),
           true)) ||
         ...);
    (void)known;
    return out;
}

} // namespace

char const* kind_of(peer_message const& message)
{
    return kinds[message.index()];
}

std::string encode_peer_message(peer_message const& message)
{
    json const envelope = std::visit(
        [&message](auto const& body)
        {
            using body_type = std::decay_t<decltype(body)>;
            return json{{"v", link_version},
                        {"k", kind_of(message)},
                        {"b", codec<body_type>::write(body)}};
        },
        message);
    std::string bytes;
    json::to_cbor(envelope, bytes);
    return bytes;
}

result<std::optional<peer_message>>
decode_peer_message(std::string const& bytes)
{
    result<json> const parsed = parse_cbor(bytes);
    if (!parsed.has_value())
    {
        return parsed.assume_error();
    }
    json const& envelope = parsed.assume_value();
    if (!envelope.is_object() || !envelope.contains("k") ||
        !envelope["k"].is_string() || !envelope.contains("b"))
    {
        return invalid_input("not an envelope");
    }
    return decode_kind(
        envelope["k"].get_ref<std::string const&>(),
        envelope["b"],
        std::make_index_sequence<std::variant_size_v<peer_message>>());
}

} // namespace cicada
