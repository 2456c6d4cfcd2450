#include "sessions.hpp"

namespace cicada
{

std::chrono::milliseconds next_backoff(peer_entry& peer,
                                       std::chrono::milliseconds first,
                                       std::chrono::milliseconds longest,
                                       std::mt19937& random)
{
    peer.backoff = std::clamp(peer.backoff * 2, first, longest);
    std::uniform_int_distribution<std::int64_t> jitter(
        0, peer.backoff.count() / 2);
    return peer.backoff - std::chrono::milliseconds(jitter(random));
}

} // namespace cicada
