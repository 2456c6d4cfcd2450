#include "notes/notes.hpp"

#include "note_values.hpp"

namespace cicada
{
namespace
{

std::string list_keys(std::vector<given_key> const& keys)
{
    std::string text;
    for (given_key const& key : keys)
    {
        text += (text.empty() ? "" : ", ") + key.words + " " + key.value;
    }
    return text;
}

std::string value_of(std::vector<given_key> const& keys,
                     std::string const& name)
{
    for (given_key const& key : keys)
    {
        if (key.key == name)
        {
            return key.value;
        }
    }
    return "";
}

/** "deadline from 30s to 10s", or "deadline to 10s" if it isn't known. */
std::string list_changes(std::vector<given_key> const& keys,
                         std::vector<given_key> const& before)
{
    std::string text;
    for (given_key const& key : keys)
    {
        std::string const held = value_of(before, key.key);
        if (held == key.value)
        {
            continue;
        }
        text += text.empty() ? "" : ", ";
        text += key.words + (held.empty() ? "" : " from " + held);
        text += " to " + key.value;
    }
    return text.empty() ? "nothing, all is as it was" : text;
}

std::string sentence(change_action action,
                     std::string const& what,
                     std::vector<given_key> const& keys,
                     std::vector<given_key> const& before)
{
    switch (action)
    {
    case change_action::add:
        return "Adds the " + what +
               (keys.empty() ? "" : ": " + list_keys(keys)) + ".";
    case change_action::change:
        return "Changes the " + what + ": " + list_changes(keys, before) + ".";
    case change_action::withdraw:
        return "Withdraws the " + what + ".";
    }
    return "";
}

template <class Change>
std::string named_sentence(Change const& change,
                           char const* what,
                           cell_config const* before)
{
    std::vector<given_key> const held =
        before == nullptr ? std::vector<given_key>{}
                          : keys_in_force(*before, change.name);
    return sentence(change.action.value_or(change_action::change),
                    std::string(what) + " " + change.name.value,
                    given_keys(change),
                    held);
}

std::string sentence_of(workload_change const& change,
                        cell_config const* before)
{
    return named_sentence(change, "workload", before);
}

std::string sentence_of(tenant_change const& change, cell_config const* before)
{
    return named_sentence(change, "tenant", before);
}

std::string sentence_of(policies_change const& change,
                        cell_config const* before)
{
    std::vector<given_key> const held = before == nullptr
                                            ? std::vector<given_key>{}
                                            : keys_in_force(before->policies);
    return sentence(
        change_action::change, "policies", given_keys(change), held);
}

} // namespace

std::vector<std::string> describe_note(release_note const& note,
                                       cell_config const* before)
{
    std::vector<std::string> sentences;
    sentences.reserve(note.changes.size());
    for (note_change const& change : note.changes)
    {
        sentences.push_back(std::visit(
            [before](auto const& each)
            {
                return sentence_of(each, before);
            },
            change));
    }
    return sentences;
}

} // namespace cicada
