#include "routing.hpp"

#include "owner_slots.hpp"

#include <algorithm>

namespace cicada
{
namespace
{

constexpr milliseconds other_zone_cost{8};
constexpr milliseconds full_owner_cost{5};
constexpr milliseconds leaving_cost{50};
constexpr std::int64_t one_retry = 100;                 //!< hundredths
constexpr std::int64_t max_retry_allowance = 5'000;     //!< hundredths
constexpr std::int64_t initial_retry_allowance = 1'000; //!< hundredths

/** An owner that may be asked for a slot, and its cost. */
struct candidate
{
    daemon_id owner;
    milliseconds cost{0};
    std::uint64_t mix = 0; //!< breaks ties; differs between requests
};

bool cheaper(candidate const& left, candidate const& right)
{
    return left.cost != right.cost ? left.cost < right.cost
                                   : left.mix < right.mix;
}

milliseconds wait_cost(pool_advert const& advert, int slots_requested)
{
    int const free = advert.free_slots - slots_requested;
    if (free > 0)
    {
        return milliseconds{0};
    }
    return advert.expected_wait + full_owner_cost -
           full_owner_cost * free / std::max(1, advert.slots);
}

pool_advert const* find_advert(std::vector<pool_advert> const& adverts,
                               pool_id const& pool)
{
    auto const found = std::find_if(adverts.begin(),
                                    adverts.end(),
                                    [&](pool_advert const& each)
                                    {
                                        return each.pool == pool;
                                    });
    return found == adverts.end() ? nullptr : &*found;
}

candidate make_candidate(daemon_id const& owner,
                         milliseconds cost,
                         request_state const& r)
{
    std::string const text = owner.value + r.head.request.value;
    return {owner, cost, stable_hash(text)};
}

std::optional<candidate>
peer_candidate(state const& s, peer_state const& peer, request_state const& r)
{
    pool_advert const* const advert =
        peer.linked ? find_advert(peer.last.adverts, r.pool) : nullptr;
    if (advert == nullptr)
    {
        return std::nullopt;
    }
    auto const asked = peer.slots_requested.find(r.pool);
    int const slots_requested =
        asked == peer.slots_requested.end() ? 0 : asked->second;
    milliseconds cost = wait_cost(*advert, slots_requested);
    if (peer.info.zone != s.settings.self.zone)
    {
        cost += other_zone_cost;
    }
    if (peer.last.leaving)
    {
        cost += leaving_cost;
    }
    return make_candidate(peer.info.name, cost, r);
}

std::optional<candidate> own_candidate(state const& s, request_state const& r)
{
    auto const served = s.pools.find(r.pool);
    if (served == s.pools.end() || served->second.slots == 0)
    {
        return std::nullopt;
    }
    std::vector<pool_advert> const adverts = make_adverts(s);
    pool_advert const* const advert = find_advert(adverts, r.pool);
    milliseconds const cost = wait_cost(*advert, 0);
    return make_candidate(s.settings.self.name, cost, r);
}

} // namespace

std::optional<daemon_id> choose_owner(state const& s, request_state const& r)
{
    std::optional<candidate> best = own_candidate(s, r);
    for (auto const& [name, peer] : s.peers)
    {
        std::optional<candidate> const each = peer_candidate(s, peer, r);
        if (each && (!best || cheaper(*each, *best)))
        {
            best = each;
        }
    }
    if (!best)
    {
        return std::nullopt;
    }
    return best->owner;
}

void count_slot_request(state& s, daemon_id const& owner, pool_id const& pool)
{
    auto const peer = s.peers.find(owner);
    if (peer != s.peers.end())
    {
        peer->second.slots_requested[pool] += 1;
    }
}

void forget_advert(state& s, daemon_id const& owner, pool_id const& pool)
{
    auto const peer = s.peers.find(owner);
    if (peer == s.peers.end())
    {
        return;
    }
    std::erase_if(peer->second.last.adverts,
                  [&](pool_advert const& each)
                  {
                      return each.pool == pool;
                  });
}

void add_retry_allowance(state& s, tenant_id const& tenant)
{
    auto const [place, fresh] =
        s.retries.try_emplace(tenant, retry_budget{initial_retry_allowance});
    std::int64_t& allowance = place->second.hundredths;
    allowance = std::min(max_retry_allowance,
                         allowance + s.config.policies.retry_budget_percent);
}

bool consume_retry(state& s, tenant_id const& tenant)
{
    std::int64_t& allowance = s.retries[tenant].hundredths;
    if (allowance < one_retry)
    {
        return false;
    }
    allowance -= one_retry;
    return true;
}

} // namespace cicada
