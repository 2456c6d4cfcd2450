#pragma once

#include "context.hpp"
#include "store_watch/store_watch.hpp"

#include <map>
#include <memory>

namespace cicada::cell
{

/**
 * A copy of all items under a prefix of the store, kept current by the calls
 * that store_watch decides on.
 */
class watched_prefix : public std::enable_shared_from_this<watched_prefix>
{
public:
    using items = std::map<std::string, platform::kv_item>;

    /** `on_change` gets all items and the changed keys; a deleted key isn't
     * among the items. */
    watched_prefix(
        context& shared,
        std::string prefix,
        store_watch::watch_settings const& settings,
        std::function<void(items const&, std::vector<std::string> const&)>
            on_change);

    /** Reads the prefix, then watches it. */
    void start();

    /** Only reports changes after a revision that was read elsewhere. */
    void start_from(std::int64_t revision);
    void stop();

    /** After failures, another call to the store, sent at that time, has been
     * answered. */
    void handle_store_recovery(instant sent_at);

    /** Time of the last successful read or watch. */
    instant answered_at() const;

    /** Time of the successful read or watch before it. */
    instant answered_before() const;

    /** Reads and watches that failed. */
    std::uint64_t failures() const;

    /** The store's revision that the known items correspond to. */
    std::int64_t known_revision() const;

private:
    void step(store_watch::event_body const& body);
    void execute(store_watch::read_items const& effect);
    void execute(store_watch::watch_items const& effect);
    void execute(store_watch::set_timer const& effect);
    void replace_items(platform::kv_page page);
    void apply_changes(platform::kv_changes changes);
    void confirm_items();
    template <class T>
    void record_call(store_call const& call, result<T> const& reply);

    context& shared;
    std::string prefix;
    store_watch::watch_state watch;
    std::function<void(items const&, std::vector<std::string> const&)>
        on_change;
    items current;
    instant last_answer;
    instant previous_answer;
    std::uint64_t failed_calls = 0;
    bool failing = false; //!< the last call failed
    bool first_read = true;
    bool stopped = false;
};

} // namespace cicada::cell
