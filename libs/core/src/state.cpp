#include "state.hpp"

#include <xxhash.h>

namespace cicada
{

void schedule(state& s,
              timer_kind kind,
              milliseconds delay,
              std::string subject)
{
    s.timers.insert(timer{s.now + delay, kind, std::move(subject)});
}

void send_to(state& s, daemon_id const& to, peer_message message, effects& out)
{
    if (to == s.settings.self.name)
    {
        s.to_self.push_back(std::move(message));
        return;
    }
    out.push_back(send_peer{to, std::move(message)});
}

std::optional<shard_owner> owner_of(state const& s, shard_id const& shard)
{
    auto const found = s.table.shards.find(shard);
    if (found == s.table.shards.end())
    {
        return std::nullopt;
    }
    return found->second;
}

std::string next_unique(state& s)
{
    s.counter += 1;
    return s.settings.self.name.value + "-" + s.incarnation_text + "-" +
           std::to_string(s.counter);
}

std::uint64_t stable_hash(std::string const& text)
{
    return XXH3_64bits(text.data(), text.size());
}

} // namespace cicada
