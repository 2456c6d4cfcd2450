#include "notes/notes.hpp"

namespace cicada
{
namespace
{

/** What a change is about, as a section's name. */
std::string subject_of(note_change const& change)
{
    if (std::holds_alternative<workload_change>(change))
    {
        return "workload " + std::get<workload_change>(change).name.value;
    }
    if (std::holds_alternative<tenant_change>(change))
    {
        return "tenant " + std::get<tenant_change>(change).name.value;
    }
    return "policies";
}

change_action action_of(note_change const& change)
{
    std::optional<change_action> action;
    if (std::holds_alternative<workload_change>(change))
    {
        action = std::get<workload_change>(change).action;
    }
    else if (std::holds_alternative<tenant_change>(change))
    {
        action = std::get<tenant_change>(change).action;
    }
    return action.value_or(change_action::change);
}

result<release_note> read_published(published_note const& note)
{
    checked<release_note> const read = parse_note(note.text);
    if (!read.has_value())
    {
        return error{error_code::invalid_input,
                     "note " + std::to_string(note.number) + ": " +
                         describe(read.assume_error().front(), "text")};
    }
    return read.assume_value();
}

/** What the later notes did to a subject; the last of them is told. */
result<std::string> standing_of(std::string const& subject,
                                bool is_withdrawal,
                                std::vector<published_note> const& later)
{
    std::string standing = is_withdrawal ? "still withdrawn" : "still in force";
    for (published_note const& each : later)
    {
        result<release_note> const read = read_published(each);
        if (!read.has_value())
        {
            return read.assume_error();
        }
        for (note_change const& change : read.assume_value().changes)
        {
            if (subject_of(change) == subject)
            {
                change_action const action = action_of(change);
                char const* const verb =
                    action == change_action::withdraw ? "withdrawn"
                    : action == change_action::add    ? "added again"
                                                      : "changed";
                standing = std::string(verb) + " by note " +
                           std::to_string(each.number);
            }
        }
    }
    return standing;
}

} // namespace

result<std::vector<told_change>>
tell_note(published_note const& note, std::vector<published_note> const& later)
{
    result<release_note> const read = read_published(note);
    if (!read.has_value())
    {
        return read.assume_error();
    }
    std::vector<std::string> const sentences =
        describe_note(read.assume_value());
    std::vector<told_change> told;
    for (std::size_t index = 0; index < sentences.size(); ++index)
    {
        note_change const& change = read.assume_value().changes[index];
        result<std::string> const standing =
            standing_of(subject_of(change),
                        action_of(change) == change_action::withdraw,
                        later);
        if (!standing.has_value())
        {
            return standing.assume_error();
        }
        told.push_back({sentences[index], standing.assume_value()});
    }
    return told;
}

result<cell_config> replay_notes(std::vector<published_note> const& notes,
                                 std::uint64_t number)
{
    cell_config config;
    for (published_note const& each : notes)
    {
        if (each.number > number)
        {
            break;
        }
        result<release_note> const read = read_published(each);
        if (!read.has_value())
        {
            return read.assume_error();
        }
        checked<cell_config> const after =
            apply_note(config, read.assume_value());
        if (!after.has_value())
        {
            return error{error_code::invalid_input,
                         describe(after.assume_error().front(),
                                  "note " + std::to_string(each.number))};
        }
        config = after.assume_value();
    }
    if (config.note_number != number)
    {
        return error{error_code::invalid_input,
                     "there is no note " + std::to_string(number)};
    }
    return config;
}

} // namespace cicada
