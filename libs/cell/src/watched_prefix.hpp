#pragma once

#include "context.hpp"

#include <map>
#include <memory>

namespace cicada::cell
{

/**
 * A prefix of the store, kept up to date: one full read, then watches; after
 * a lost history, or too long a silence, a full read again.
 */
/** Of one watch; a connection that fell silent costs this and a second. */
constexpr milliseconds watch_wait{3000};

class watched_prefix : public std::enable_shared_from_this<watched_prefix>
{
public:
    using items = std::map<std::string, platform::kv_item>;

    /** `pause`: between watches, to gather changes; `wait`: of one watch;
     * `changed` gets the keys that changed (deleted ones are gone from the
     * items). */
    watched_prefix(
        context& shared,
        std::string prefix,
        milliseconds pause,
        milliseconds wait,
        std::function<void(items const&, std::vector<std::string> const&)>
            changed);

    /** From now on; with `known`, from a read that was made elsewhere. */
    void start();
    void start_from(std::int64_t revision);
    void stop();

    /** When the store last answered a read or a watch. */
    instant answered_at() const;

private:
    void read_all();
    void take_page(platform::kv_page page);
    void watch();
    void take_changes(platform::kv_changes changes);

    context& shared;
    std::string prefix;
    milliseconds pause;
    milliseconds wait;
    std::function<void(items const&, std::vector<std::string> const&)> changed;
    items known;
    instant answered;
    std::int64_t revision = 0;
    bool first = true;
    bool stopped = false;
};

} // namespace cicada::cell
