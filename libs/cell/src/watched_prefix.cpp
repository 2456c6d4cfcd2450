#include "watched_prefix.hpp"

namespace cicada::cell
{

namespace
{

/** A call that failed sooner is logged only if the one before it succeeded. */
constexpr milliseconds hung_call{1000};

} // namespace

watched_prefix::watched_prefix(
    context& daemon_context,
    std::string watched,
    store_watch::watch_settings const& settings,
    std::function<void(items const&, std::vector<std::string> const&)> callback)
    : shared(daemon_context), prefix(std::move(watched)),
      watch(store_watch::make_watch(settings)), on_change(std::move(callback))
{
}

void watched_prefix::start()
{
    this->step(store_watch::watch_started{});
}

void watched_prefix::start_from(std::int64_t revision)
{
    this->first_read = false;
    this->step(store_watch::watch_started{revision});
}

void watched_prefix::stop()
{
    this->stopped = true;
}

void watched_prefix::handle_store_recovery(instant sent_at)
{
    this->step(store_watch::store_recovered{sent_at});
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
    return this->watch.revision;
}

void watched_prefix::step(store_watch::event_body const& body)
{
    if (this->stopped)
    {
        return;
    }
    std::vector<store_watch::effect> const effects =
        store_watch::step(this->watch, {this->shared.now(), body});
    for (store_watch::effect const& each : effects)
    {
        std::visit(
            [this](auto const& effect)
            {
                this->execute(effect);
            },
            each);
    }
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
                " revision=" + std::to_string(this->watch.revision) +
                " why=\"" + describe(reply.assume_error()) + "\"");
    }
    this->failing = true;
}

void watched_prefix::confirm_items()
{
    this->previous_answer = this->last_answer;
    this->last_answer = this->shared.now();
}

void watched_prefix::execute(store_watch::read_items const& effect)
{
    this->shared.store.range(
        this->prefix,
        [self = this->shared_from_this(),
         number = effect.call,
         call = store_call{"what=read prefix=" + this->prefix,
                           this->shared.now()}](result<platform::kv_page> page)
        {
            if (self->stopped || !store_watch::is_awaited(self->watch, number))
            {
                return;
            }
            self->record_call(call, page);
            if (!page.has_value())
            {
                self->step(store_watch::call_failed{number});
                return;
            }
            std::int64_t const revision = page.assume_value().at_revision;
            note_revision(self->shared.revisions, revision, self->shared.now());
            self->replace_items(std::move(page.assume_value()));
            self->step(store_watch::items_read{number, revision});
        });
}

void watched_prefix::replace_items(platform::kv_page page)
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
    if (this->first_read || !keys.empty())
    {
        this->first_read = false;
        this->on_change(this->current, keys);
    }
}

void watched_prefix::execute(store_watch::watch_items const& effect)
{
    this->shared.store.watch(
        this->prefix,
        effect.after,
        effect.wait,
        effect.timeout,
        [self = this->shared_from_this(),
         number = effect.call,
         call =
             store_call{"what=watch prefix=" + this->prefix,
                        this->shared.now()}](result<platform::kv_changes> reply)
        {
            if (self->stopped || !store_watch::is_awaited(self->watch, number))
            {
                return;
            }
            self->record_call(call, reply);
            if (!reply.has_value())
            {
                self->step(store_watch::call_failed{number});
                return;
            }
            std::int64_t const revision = reply.assume_value().at_revision;
            note_revision(self->shared.revisions, revision, self->shared.now());
            bool const history_lost = reply.assume_value().history_lost;
            if (!history_lost)
            {
                self->apply_changes(std::move(reply.assume_value()));
            }
            self->step(
                store_watch::changes_read{number, revision, history_lost});
        });
}

void watched_prefix::apply_changes(platform::kv_changes changes)
{
    this->confirm_items();
    std::vector<std::string> keys;
    for (platform::kv_item& item : changes.events)
    {
        if (item.revision <= this->watch.revision)
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
    if (!keys.empty())
    {
        this->on_change(this->current, keys);
    }
}

void watched_prefix::execute(store_watch::set_timer const& effect)
{
    this->shared.after(effect.delay,
                       [self = this->shared_from_this()]
                       {
                           self->step(store_watch::timer_fired{});
                       });
}

} // namespace cicada::cell
