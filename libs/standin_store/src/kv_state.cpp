#include "kv_state.hpp"

#include <algorithm>
#include <set>

namespace cicada::standin
{

namespace
{

constexpr std::size_t max_txn_ops = 128;
constexpr std::size_t max_txn_bytes = 1536UL * 1024UL;

using key_iterator = std::map<std::string, record>::const_iterator;

key_iterator first_of(kv_state const& state, key_range const& keys)
{
    return state.keys.lower_bound(keys.key);
}

bool holds_number(compare_result wanted, std::int64_t have, std::int64_t given)
{
    switch (wanted)
    {
    case compare_result::equal:
        return have == given;
    case compare_result::greater:
        return have > given;
    case compare_result::less:
        return have < given;
    case compare_result::not_equal:
        return have != given;
    }
    return false;
}

std::int64_t number_of(record const& stored, compare_target target)
{
    switch (target)
    {
    case compare_target::version:
        return stored.version;
    case compare_target::create_revision:
        return stored.create_revision;
    case compare_target::mod_revision:
        return stored.mod_revision;
    case compare_target::lease:
        return stored.lease;
    case compare_target::value:
        break;
    }
    return 0;
}

bool holds(kv_state const& state, compare_op const& op)
{
    key_iterator const found = state.keys.find(op.key);
    bool const there = found != state.keys.end();
    record const stored = there ? found->second : record{};
    if (op.target == compare_target::value)
    {
        int const order = stored.value.compare(op.text);
        return there && holds_number(op.wanted, order, 0);
    }
    return holds_number(op.wanted, number_of(stored, op.target), op.number);
}

bool all_hold(kv_state const& state, std::vector<compare_op> const& compares)
{
    return std::all_of(compares.begin(),
                       compares.end(),
                       [&state](compare_op const& op)
                       {
                           return holds(state, op);
                       });
}

/** What a check of a txn has met so far. */
struct txn_check
{
    std::set<std::string> written;
    std::size_t bytes = 0;
};

result<bool> check_txn(kv_state const& state, txn_op const& op, txn_check& met);

result<bool> check_put(kv_state const& state, put_op const& op, txn_check& met)
{
    met.bytes += op.key.size() + op.value.size();
    if (met.bytes > max_txn_bytes)
    {
        return error{error_code::invalid_input,
                     "etcdserver: request is too large"};
    }
    if (op.lease != 0 && state.leases.count(op.lease) == 0)
    {
        return error{error_code::refused,
                     "etcdserver: requested lease not found"};
    }
    if (!met.written.insert(op.key).second)
    {
        return error{error_code::invalid_input,
                     "etcdserver: duplicate key given in txn request"};
    }
    return true;
}

result<bool> check_ops(kv_state const& state,
                       std::vector<request_op> const& ops,
                       txn_check& met)
{
    for (request_op const& op : ops)
    {
        result<bool> checked = true;
        if (std::holds_alternative<put_op>(op))
        {
            checked = check_put(state, std::get<put_op>(op), met);
        }
        else if (std::holds_alternative<txn_op>(op))
        {
            checked = check_txn(state, std::get<txn_op>(op), met);
        }
        if (!checked.has_value())
        {
            return checked;
        }
    }
    return true;
}

result<bool> check_txn(kv_state const& state, txn_op const& op, txn_check& met)
{
    std::size_t const most =
        std::max({op.compares.size(), op.success.size(), op.failure.size()});
    if (most > max_txn_ops)
    {
        return error{error_code::invalid_input,
                     "etcdserver: too many operations in txn request"};
    }
    txn_check other = met;
    result<bool> failure = check_ops(state, op.failure, other);
    if (!failure.has_value())
    {
        return failure;
    }
    result<bool> success = check_ops(state, op.success, met);
    met.written.merge(other.written);
    return success;
}

/** Runs operations; the writes get `revision`. */
struct runner
{
    kv_state& state;
    std::int64_t revision;
    bool wrote = false;

    reply_op operator()(range_op const& op)
    {
        return read_range(this->state, op);
    }

    reply_op operator()(put_op const& op)
    {
        record& stored = this->state.keys[op.key];
        if (stored.version == 0)
        {
            stored.create_revision = this->revision;
        }
        stored.value = op.value;
        stored.mod_revision = this->revision;
        stored.version += 1;
        stored.lease = op.lease;
        this->state.history.push_back({false, {op.key, stored}});
        this->wrote = true;
        return put_reply{};
    }

    reply_op operator()(delete_op const& op)
    {
        range_reply const found = read_range(this->state, {op.keys, 0});
        for (entry const& each : found.entries)
        {
            this->state.keys.erase(each.key);
            record gone;
            gone.mod_revision = this->revision;
            this->state.history.push_back({true, {each.key, gone}});
            this->wrote = true;
        }
        return delete_reply{found.count};
    }

    reply_op operator()(txn_op const& op)
    {
        txn_reply reply;
        reply.succeeded = all_hold(this->state, op.compares);
        for (request_op const& each : reply.succeeded ? op.success : op.failure)
        {
            reply.replies.push_back(std::visit(*this, each));
        }
        return reply;
    }
};

} // namespace

bool contains(key_range const& range, std::string const& key)
{
    if (range.end.empty())
    {
        return key == range.key;
    }
    bool const open = range.end == std::string(1, '\0');
    return key >= range.key && (open || key < range.end);
}

range_reply read_range(kv_state const& state, range_op const& op)
{
    range_reply reply;
    for (key_iterator each = first_of(state, op.keys);
         each != state.keys.end() && contains(op.keys, each->first);
         ++each)
    {
        reply.count += 1;
        if (op.limit == 0 || reply.count <= op.limit)
        {
            reply.entries.push_back({each->first, each->second});
        }
    }
    reply.more = op.limit != 0 && reply.count > op.limit;
    return reply;
}

result<txn_reply> run_txn(kv_state& state, txn_op const& op)
{
    txn_check met;
    result<bool> const checked = check_txn(state, op, met);
    if (!checked.has_value())
    {
        return checked.assume_error();
    }
    runner run{state, state.revision + 1};
    reply_op reply = run(op);
    if (run.wrote)
    {
        state.revision = run.revision;
    }
    return std::get<txn_reply>(std::move(reply));
}

std::int64_t grant_lease(kv_state& state, seconds ttl, instant now)
{
    state.last_lease += 1;
    state.leases[state.last_lease] = {ttl, now + ttl};
    return state.last_lease;
}

bool renew_lease(kv_state& state, std::int64_t lease, instant now)
{
    std::map<std::int64_t, lease_record>::iterator const found =
        state.leases.find(lease);
    if (found == state.leases.end())
    {
        return false;
    }
    found->second.ends = now + found->second.ttl;
    return true;
}

bool end_lease(kv_state& state, std::int64_t lease)
{
    if (state.leases.erase(lease) == 0)
    {
        return false;
    }
    runner run{state, state.revision + 1};
    std::vector<std::string> owned;
    for (std::pair<std::string const, record> const& each : state.keys)
    {
        if (each.second.lease == lease)
        {
            owned.push_back(each.first);
        }
    }
    for (std::string const& key : owned)
    {
        run(delete_op{{key, ""}});
    }
    if (run.wrote)
    {
        state.revision = run.revision;
    }
    return true;
}

void expire_leases(kv_state& state, instant now)
{
    std::vector<std::int64_t> over;
    for (std::pair<std::int64_t const, lease_record> const& each : state.leases)
    {
        if (each.second.ends <= now)
        {
            over.push_back(each.first);
        }
    }
    for (std::int64_t const lease : over)
    {
        end_lease(state, lease);
    }
}

bool compact(kv_state& state, std::int64_t revision)
{
    if (revision <= state.compacted || revision > state.revision)
    {
        return false;
    }
    state.compacted = revision;
    std::erase_if(state.history,
                  [revision](change const& each)
                  {
                      return each.now.stored.mod_revision <= revision;
                  });
    return true;
}

std::vector<change> changes_since(kv_state const& state,
                                  key_range const& keys,
                                  std::int64_t from_revision)
{
    auto const from =
        std::lower_bound(state.history.begin(),
                         state.history.end(),
                         from_revision,
                         [](change const& each, std::int64_t revision)
                         {
                             return each.now.stored.mod_revision < revision;
                         });
    std::vector<change> found;
    std::copy_if(from,
                 state.history.end(),
                 std::back_inserter(found),
                 [&keys](change const& each)
                 {
                     return contains(keys, each.now.key);
                 });
    return found;
}

} // namespace cicada::standin
