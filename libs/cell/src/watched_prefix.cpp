#include "watched_prefix.hpp"

namespace cicada::cell
{

namespace
{

constexpr milliseconds failure_pause{200};
/** A call that failed sooner is logged only if the one before it succeeded. */
constexpr milliseconds hung_call{1000};

} // namespace

watched_prefix::watched_prefix(
    context& daemon_context,
    std::string watched,
    milliseconds watch_pause,
    milliseconds watch_limit,
    std::function<void(items const&, std::vector<std::string> const&)> callback)
    : shared(daemon_context), prefix(std::move(watched)), pause(watch_pause),
      wait(watch_limit), on_change(std::move(callback))
{
}

void watched_prefix::start()
{
    this->read_all();
}

void watched_prefix::start_from(std::int64_t at)
{
    this->revision = at;
    this->first_read = false;
    this->watch();
}

void watched_prefix::stop()
{
    this->stopped = true;
}

instant watched_prefix::answered_at() const
{
    return this->last_answer;
}

instant watched_prefix::answered_before() const
{
    return this->previous_answer;
}

std::uint64_t watched_prefix::failures() const
{
    return this->failed_calls;
}

std::int64_t watched_prefix::known_revision() const
{
    return this->revision;
}

/** Names the call that kept the items from being refreshed, and their age. */
template <class T>
void watched_prefix::record_call(store_call const& call, result<T> const& reply)
{
    this->shared.record_store_call(call, reply);
    instant const at = this->shared.now();
    if (reply.has_value())
    {
        this->failing = false;
        return;
    }
    this->failed_calls += 1;
    if (!this->failing || at - call.sent_at >= hung_call)
    {
        this->shared.log_event(
            events::store_watch_failed,
            call.what + " sent_ms_ago=" + age_text(call.sent_at, at) +
                " answered_ms_ago=" + age_text(this->last_answer, at) +
                " revision=" + std::to_string(this->revision) + " why=\"" +
                describe(reply.assume_error()) + "\"");
    }
    this->failing = true;
}

void watched_prefix::confirm_items()
{
    this->previous_answer = this->last_answer;
    this->last_answer = this->shared.now();
}

void watched_prefix::read_all()
{
    if (this->stopped)
    {
        return;
    }
    this->shared.store.range(
        this->prefix,
        [self = this->shared_from_this(),
         call = store_call{"what=read prefix=" + this->prefix,
                           this->shared.now()}](result<platform::kv_page> page)
        {
            if (self->stopped)
            {
                return;
            }
            self->record_call(call, page);
            if (!page.has_value())
            {
                self->shared.after(failure_pause,
                                   [self]
                                   {
                                       self->read_all();
                                   });
                return;
            }
            self->handle_page(std::move(page.assume_value()));
        });
}

void watched_prefix::handle_page(platform::kv_page page)
{
    this->confirm_items();
    items next;
    std::vector<std::string> keys;
    for (platform::kv_item& item : page.items)
    {
        auto const before = this->current.find(item.key);
        if (before == this->current.end() ||
            before->second.revision != item.revision)
        {
            keys.push_back(item.key);
        }
        std::string const key = item.key;
        next.emplace(key, std::move(item));
    }
    for (auto const& entry : this->current)
    {
        if (next.count(entry.first) == 0)
        {
            keys.push_back(entry.first);
        }
    }
    this->current = std::move(next);
    this->revision = page.at_revision;
    if (this->first_read || !keys.empty())
    {
        this->first_read = false;
        this->on_change(this->current, keys);
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
        [self = this->shared_from_this(),
         call =
             store_call{"what=watch prefix=" + this->prefix,
                        this->shared.now()}](result<platform::kv_changes> reply)
        {
            if (self->stopped)
            {
                return;
            }
            self->record_call(call, reply);
            if (!reply.has_value())
            {
                self->shared.after(failure_pause,
                                   [self]
                                   {
                                       self->watch();
                                   });
                return;
            }
            if (reply.assume_value().history_lost)
            {
                self->read_all();
                return;
            }
            self->handle_changes(std::move(reply.assume_value()));
        });
}

void watched_prefix::handle_changes(platform::kv_changes changes)
{
    this->confirm_items();
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
            this->current.erase(key);
        }
        else
        {
            this->current[key] = std::move(item);
        }
    }
    this->revision = std::max(this->revision, changes.at_revision);
    if (!keys.empty())
    {
        this->on_change(this->current, keys);
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
