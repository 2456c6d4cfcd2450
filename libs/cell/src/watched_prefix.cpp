#include "watched_prefix.hpp"

namespace cicada::cell
{

namespace
{

constexpr milliseconds failure_pause{200};

} // namespace

watched_prefix::watched_prefix(
    context& given,
    std::string wanted,
    milliseconds between,
    milliseconds longest,
    std::function<void(items const&, std::vector<std::string> const&)> tell)
    : shared(given), prefix(std::move(wanted)), pause(between), wait(longest),
      changed(std::move(tell))
{
}

void watched_prefix::start()
{
    this->read_all();
}

void watched_prefix::start_from(std::int64_t at)
{
    this->revision = at;
    this->first = false;
    this->watch();
}

void watched_prefix::stop()
{
    this->stopped = true;
}

instant watched_prefix::answered_at() const
{
    return this->answered;
}

void watched_prefix::read_all()
{
    if (this->stopped)
    {
        return;
    }
    this->shared.store.range(
        this->prefix,
        [self = this->shared_from_this()](result<platform::kv_page> page)
        {
            if (self->stopped)
            {
                return;
            }
            self->shared.note_store(page.has_value());
            if (!page.has_value())
            {
                self->shared.after(failure_pause,
                                   [self]
                                   {
                                       self->read_all();
                                   });
                return;
            }
            self->take_page(std::move(page.assume_value()));
        });
}

void watched_prefix::take_page(platform::kv_page page)
{
    this->answered = this->shared.now();
    items next;
    std::vector<std::string> keys;
    for (platform::kv_item& item : page.items)
    {
        auto const before = this->known.find(item.key);
        if (before == this->known.end() ||
            before->second.revision != item.revision)
        {
            keys.push_back(item.key);
        }
        std::string const key = item.key;
        next.emplace(key, std::move(item));
    }
    for (auto const& entry : this->known)
    {
        if (next.count(entry.first) == 0)
        {
            keys.push_back(entry.first);
        }
    }
    this->known = std::move(next);
    this->revision = page.at_revision;
    if (this->first || !keys.empty())
    {
        this->first = false;
        this->changed(this->known, keys);
    }
    this->watch();
}

void watched_prefix::watch()
{
    if (this->stopped)
    {
        return;
    }
    this->shared.store.watch(
        this->prefix,
        this->revision,
        this->wait,
        [self = this->shared_from_this()](result<platform::kv_changes> got)
        {
            if (self->stopped)
            {
                return;
            }
            self->shared.note_store(got.has_value());
            if (!got.has_value())
            {
                self->shared.after(failure_pause,
                                   [self]
                                   {
                                       self->watch();
                                   });
                return;
            }
            if (got.assume_value().history_lost)
            {
                self->read_all();
                return;
            }
            self->take_changes(std::move(got.assume_value()));
        });
}

void watched_prefix::take_changes(platform::kv_changes changes)
{
    this->answered = this->shared.now();
    std::vector<std::string> keys;
    for (platform::kv_item& item : changes.events)
    {
        if (item.revision <= this->revision)
        {
            continue;
        }
        std::string const key = item.key;
        keys.push_back(key);
        if (item.deleted)
        {
            this->known.erase(key);
        }
        else
        {
            this->known[key] = std::move(item);
        }
    }
    this->revision = std::max(this->revision, changes.at_revision);
    if (!keys.empty())
    {
        this->changed(this->known, keys);
    }
    if (this->pause.count() > 0)
    {
        this->shared.after(this->pause,
                           [self = this->shared_from_this()]
                           {
                               self->watch();
                           });
        return;
    }
    this->watch();
}

} // namespace cicada::cell
