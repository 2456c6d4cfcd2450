#pragma once

#include "notes/notes.hpp"
#include "store/store.hpp"

#include <functional>

/**
 * Publishing of release notes. One transaction writes the note, the compact
 * of all that is in force and the note's id, and expects the compact that it
 * was made from. A lost answer is settled by sending the same transaction
 * again: it can take effect once at most. Of two operators one wins; the other
 * is given the notes that came in between.
 */
namespace cicada
{

/** What an operator asks to publish. */
struct publish_request
{
    std::string text;
    std::optional<std::uint64_t> expected_head; //!< refuse any other
    wall_time at;                               //!< kept with the note

    bool operator==(publish_request const&) const = default;
};

/** How a publishing ended. */
enum class publish_outcome
{
    published,
    repeated, //!< this id was published before; `number` is its note
    refused,  //!< `problems` has why
    conflict, //!< other notes came first; `since` has them
    failed,   //!< known not to have taken effect
    unknown   //!< may have taken effect; safe to publish again
};

/** "published", "repeated", "refused", "conflict", "failed", "unknown". */
char const* to_string(publish_outcome outcome);

/** The answer to a publish_request. */
struct publish_answer
{
    publish_outcome outcome = publish_outcome::unknown;
    std::uint64_t number = 0; //!< when published or repeated
    std::vector<text_problem> problems;
    std::vector<published_note> since;
    std::string message; //!< when failed or unknown

    bool operator==(publish_answer const&) const = default;
};

/** The note's own id, else one made from its text. */
std::string publication_id(release_note const& note, std::string const& text);

/** Where the number of the note with this id is kept. */
std::string note_id_key(std::string const& id);

/** What is in force, and the revision that a transaction expects. */
struct config_snapshot
{
    cell_config config;
    std::int64_t mod_revision = 0; //!< 0: no note yet

    bool operator==(config_snapshot const&) const = default;
};

/** The transaction that publishes a note over `snapshot`, or its problems. */
checked<txn> make_publication(config_snapshot const& snapshot,
                              publish_request const& request);

using publish_handler = std::function<void(publish_answer const&)>;
using notes_handler =
    std::function<void(result<std::vector<published_note>> const&)>;

/**
 * Publishes and reads notes. May be called from any thread; handlers are
 * called once, on the store client's thread. The client must outlive it.
 */
class note_publisher
{
public:
    explicit note_publisher(store_client& client);

    void publish(publish_request const& request, publish_handler handler);

    /** Notes with a number above `after`, oldest first, at most `limit`. */
    void list(std::uint64_t after, int limit, notes_handler handler);

private:
    store_client& client;
};

} // namespace cicada
