#include "keys.hpp"

#include <nlohmann/json.hpp>

#include <algorithm>

namespace cicada::cell
{

namespace keys
{

std::string strip_prefix(std::string const& key, std::string const& prefix)
{
    return key.rfind(prefix, 0) == 0 ? key.substr(prefix.size()) : "";
}

} // namespace keys

namespace
{

using nlohmann::json;

std::optional<membership::member> decode_member(std::string const& name,
                                                std::string const& bytes)
{
    json const from = json::parse(bytes, nullptr, false);
    if (!from.is_object() || !from.contains("host"))
    {
        return std::nullopt;
    }
    try
    {
        membership::member out;
        out.name = name;
        out.link.host = from.value("host", "");
        out.link.port = from.value("port", std::uint16_t{0});
        out.incarnation = from.value("incarnation", std::uint64_t{0});
        out.milli_cores = from.value("milli_cores", 0);
        return out;
    }
    catch (json::exception const&)
    {
        return std::nullopt; // a field of another type
    }
}

std::optional<membership::placer_claim> decode_claim(std::string const& bytes)
{
    json const from = json::parse(bytes, nullptr, false);
    if (!from.is_object() || !from.contains("name"))
    {
        return std::nullopt;
    }
    try
    {
        return membership::placer_claim{
            from.value("name", ""),
            from.value("incarnation", std::uint64_t{0}),
            from.value("epoch", std::uint64_t{0})};
    }
    catch (json::exception const&)
    {
        return std::nullopt; // a field of another type
    }
}

} // namespace

std::string encode_claim(membership::placer_claim const& claim)
{
    return json{{"name", claim.name},
                {"incarnation", claim.incarnation},
                {"epoch", claim.epoch}}
        .dump();
}

std::string encode_member(membership::member const& each)
{
    return json{{"host", each.link.host},
                {"port", each.link.port},
                {"incarnation", each.incarnation},
                {"milli_cores", each.milli_cores}}
        .dump();
}

std::uint64_t decode_epoch(std::string const& bytes)
{
    return std::strtoull(bytes.c_str(), nullptr, 10);
}

bool is_superseded(std::vector<platform::kv_item> const& found,
                   std::uint64_t claimed_epoch)
{
    return std::any_of(found.begin(),
                       found.end(),
                       [claimed_epoch](platform::kv_item const& item)
                       {
                           return item.key == keys::epoch &&
                                  decode_epoch(item.value) > claimed_epoch;
                       });
}

membership::cell_view
decode_view(std::map<std::string, platform::kv_item> const& items)
{
    membership::cell_view view;
    for (auto const& entry : items)
    {
        platform::kv_item const& item = entry.second;
        std::string const name = keys::strip_prefix(item.key, keys::daemons);
        if (!name.empty())
        {
            std::optional<membership::member> const read =
                decode_member(name, item.value);
            if (read)
            {
                view.members.push_back(*read);
            }
        }
        else if (item.key == keys::placer)
        {
            view.placer = decode_claim(item.value);
            view.placer_revision = item.revision;
        }
        else if (item.key == keys::epoch)
        {
            view.epoch = decode_epoch(item.value);
            view.epoch_revision = item.revision;
        }
    }
    return view;
}

} // namespace cicada::cell
