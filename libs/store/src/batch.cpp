#include "batch.hpp"

#include <algorithm>
#include <set>

namespace cicada::store_detail
{

namespace
{

/** The keys that the txns of a call, and those passed over, name. */
struct named_keys
{
    std::set<std::string> written;
    std::set<std::string> read;
    std::vector<std::string> prefixes; //!< read by `otherwise`
};

std::vector<std::string> written_by(txn const& request)
{
    std::vector<std::string> keys = request.deletes;
    for (key_put const& each : request.puts)
    {
        keys.push_back(each.key);
    }
    return keys;
}

std::size_t bytes_of(txn const& request)
{
    std::size_t bytes = 0;
    for (key_put const& each : request.puts)
    {
        bytes += each.key.size() + each.value.size();
    }
    return bytes;
}

void add(named_keys& keys, txn const& request)
{
    for (std::string const& key : written_by(request))
    {
        keys.written.insert(key);
    }
    for (key_compare const& each : request.compares)
    {
        keys.read.insert(each.key);
    }
    for (range_request const& each : request.otherwise)
    {
        if (each.prefix)
        {
            keys.prefixes.push_back(each.key);
            continue;
        }
        keys.read.insert(each.key);
    }
}

bool read_by(named_keys const& keys, std::string const& key)
{
    return keys.read.count(key) != 0 ||
           std::any_of(keys.prefixes.begin(),
                       keys.prefixes.end(),
                       [&key](std::string const& prefix)
                       {
                           return key.starts_with(prefix);
                       });
}

/** True if some key starts with `prefix`. */
bool any_below(std::set<std::string> const& keys, std::string const& prefix)
{
    std::set<std::string>::const_iterator const found =
        keys.lower_bound(prefix);
    return found != keys.end() && found->starts_with(prefix);
}

bool writes_clash(named_keys const& keys, txn const& request)
{
    std::vector<std::string> const written = written_by(request);
    return std::any_of(written.begin(),
                       written.end(),
                       [&keys](std::string const& key)
                       {
                           return keys.written.count(key) != 0 ||
                                  read_by(keys, key);
                       });
}

bool reads_clash(named_keys const& keys, txn const& request)
{
    bool const compared =
        std::any_of(request.compares.begin(),
                    request.compares.end(),
                    [&keys](key_compare const& each)
                    {
                        return keys.written.count(each.key) != 0;
                    });
    bool const ranged =
        std::any_of(request.otherwise.begin(),
                    request.otherwise.end(),
                    [&keys](range_request const& each)
                    {
                        return each.prefix ? any_below(keys.written, each.key)
                                           : keys.written.count(each.key) != 0;
                    });
    return compared || ranged;
}

/** A call that is being put together. */
struct batch_builder
{
    batch_settings const& settings;
    named_keys keys;
    std::size_t bytes = 0;
    std::vector<waiting_txn> taken;

    bool full() const
    {
        return static_cast<int>(this->taken.size()) >=
               std::max(this->settings.most_txns, 1);
    }

    bool takes(waiting_txn const& next) const
    {
        if (this->taken.empty())
        {
            return true;
        }
        bool const fits =
            this->bytes + bytes_of(next.request) <= this->settings.most_bytes;
        return fits && next.group == this->taken.front().group;
    }

    void take(waiting_txn const& next)
    {
        this->bytes += bytes_of(next.request);
        this->taken.push_back(next);
    }
};

} // namespace

std::vector<waiting_txn> take_batch(batch_settings const& settings,
                                    std::deque<waiting_txn>& queue)
{
    batch_builder builder{settings, {}, 0, {}};
    std::vector<waiting_txn> passed_over;
    while (!queue.empty() && !builder.full())
    {
        waiting_txn next = std::move(queue.front());
        queue.pop_front();
        bool const clash = writes_clash(builder.keys, next.request) ||
                           reads_clash(builder.keys, next.request);
        add(builder.keys, next.request);
        if (!clash && builder.takes(next))
        {
            builder.take(next);
            continue;
        }
        passed_over.push_back(std::move(next));
    }
    queue.insert(queue.begin(), passed_over.begin(), passed_over.end());
    return builder.taken;
}

} // namespace cicada::store_detail
