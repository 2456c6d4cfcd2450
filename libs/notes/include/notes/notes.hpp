#pragma once

#include "ini/ini.hpp"
#include "model/model.hpp"

#include <variant>

/**
 * Release notes: the one thing that operators write. A note is an INI text
 * with a header and sections that add, change or withdraw workloads, tenants'
 * limits and policies; docs/NOTES.md is its reference. All values are
 * immutable; all functions are pure and may be called from any thread.
 */
namespace cicada
{

/** What a section does. */
enum class change_action
{
    add,
    change,
    withdraw
};

/** "add", "change" or "withdraw". */
char const* to_string(change_action action);

/** The [note] section. */
struct note_header
{
    std::string title;
    std::string author;
    std::string reason;
    std::string id; //!< tells a repeated publishing; may be empty

    bool operator==(note_header const&) const = default;
};

/** A [workload NAME] section; keys that it doesn't give are empty. */
struct workload_change
{
    ini_section source; //!< for the lines of problems
    std::optional<change_action> action;
    workload_id name;
    std::optional<workload_kind> kind;
    std::optional<work_class> urgency;
    std::optional<bool> idempotent;
    std::optional<milliseconds> deadline;
    std::optional<std::int64_t> milli_cores;
    std::optional<std::int64_t> memory_mib;
    std::optional<std::int64_t> accelerators;
    std::optional<int> tasks;
    std::optional<placement_policy> placement;
    std::optional<pool_id> pool;

    bool operator==(workload_change const&) const = default;
};

/** A [tenant NAME] section; keys that it doesn't give are empty. */
struct tenant_change
{
    ini_section source; //!< for the lines of problems
    std::optional<change_action> action;
    tenant_id name;
    std::optional<int> weight;
    std::optional<int> floor_percent;
    std::optional<int> max_queued;
    std::optional<std::int64_t> quota_milli_cores;
    std::optional<std::int64_t> quota_memory_mib;
    std::optional<std::int64_t> quota_accelerators;
    std::optional<bool> has_quota; //!< false: `quota = none` lifts it

    bool operator==(tenant_change const&) const = default;
};

/** The [policies] section; keys that it doesn't give are empty. */
struct policies_change
{
    ini_section source; //!< for the lines of problems
    std::optional<int> retry_attempts;
    std::optional<int> retry_budget_percent;
    std::optional<bool> preemption;
    std::optional<milliseconds> checkpoint_grace;

    bool operator==(policies_change const&) const = default;
};

using note_change =
    std::variant<workload_change, tenant_change, policies_change>;

/** A whole note, in the order of its text. */
struct release_note
{
    note_header header;
    std::vector<note_change> changes;

    bool operator==(release_note const&) const = default;
};

/** Reads a note, or finds all that is wrong with its text by itself. */
checked<release_note> parse_note(std::string const& text);

/** The text of a note; parse_note() reads the same changes from it. */
std::string render_note(release_note const& note);

/**
 * What would be in force after the note, with `note_number` one higher, or
 * all that keeps it from being so.
 */
checked<cell_config> apply_note(cell_config const& in_force,
                                release_note const& note);

/** The changes that make `before` into `after`; the header is empty. */
release_note diff_configs(cell_config const& before, cell_config const& after);

/**
 * A note's changes, each as one sentence.
 *
 * @param before if given, what was in force: told as "from ... to ..."
 */
std::vector<std::string> describe_note(release_note const& note,
                                       cell_config const* before = nullptr);

/** One key of a section, as docs/NOTES.md has it. */
struct note_key_reference
{
    std::string section; //!< "note", "workload", "tenant" or "policies"
    std::string key;
    std::string allowed;

    bool operator==(note_key_reference const&) const = default;
};

/** Every key, by section. */
std::vector<note_key_reference> notes_reference();

// ---- published notes -----------------------------------------------------

/** A note as it is kept in the platform's service. */
struct published_note
{
    std::uint64_t number = 0;
    std::string id; //!< the publisher's, never empty
    std::string title;
    std::string author;
    std::string reason;
    std::string published_at; //!< RFC 3339, UTC
    std::string text;         //!< as the operator wrote it

    bool operator==(published_note const&) const = default;
};

/** "cicada/notes/" and the number in 20 digits. */
std::string note_key(std::uint64_t number);

/** Where what is in force is kept, with the head's number. */
constexpr char config_key[] = "cicada/cell/config";

/** JSON. */
std::string encode_published(published_note const& note);

/** Errors: invalid_input. */
result<published_note> decode_published(std::string const& text);

/** One change of a note, and what became of it. */
struct told_change
{
    std::string sentence;
    std::string standing; //!< "still in force", "changed by note 9", ...

    bool operator==(told_change const&) const = default;
};

/**
 * A note's changes, read beside the notes that came after it. Errors:
 * invalid_input, if a text can't be read.
 */
result<std::vector<told_change>>
tell_note(published_note const& note, std::vector<published_note> const& later);

/**
 * What was in force after note `number`; `notes` begin with the first.
 * Errors: invalid_input.
 */
result<cell_config> replay_notes(std::vector<published_note> const& notes,
                                 std::uint64_t number);

/** "2026-01-31T12:00:00Z". */
std::string format_utc(wall_time when);

/** The point of an RFC 3339 text in UTC, as format_utc() writes it. */
std::optional<wall_time> parse_utc(std::string const& text);

} // namespace cicada
