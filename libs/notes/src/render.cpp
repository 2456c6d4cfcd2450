#include "notes/notes.hpp"

#include "note_values.hpp"

namespace cicada
{
namespace
{

std::string key_line(std::string const& key, std::string const& value)
{
    return key + " = " + value + "\n";
}

/** Broken at blanks, so that no line is too long to be read again. */
std::string wrapped_line(std::string const& key, std::string const& value)
{
    constexpr std::size_t line_width = 72;
    std::string text = key + " =";
    std::size_t width = text.size();
    std::size_t start = 0;
    while (start < value.size())
    {
        std::size_t const end = value.find(' ', start);
        std::string const word = value.substr(start, end - start);
        bool const breaks = width + 1 + word.size() > line_width;
        text += breaks ? "\n    " : " ";
        width = breaks ? 4 : width + 1;
        text += word;
        width += word.size();
        start = end == std::string::npos ? value.size() : end + 1;
    }
    return text + "\n";
}

std::string key_lines(std::vector<given_key> const& keys)
{
    std::string text;
    for (given_key const& key : keys)
    {
        text += key_line(key.key, key.value);
    }
    return text;
}

template <class Change>
std::string named_section(Change const& change, char const* type)
{
    return "\n[" + std::string(type) + " " + change.name.value + "]\n" +
           key_line("action",
                    to_string(change.action.value_or(change_action::change))) +
           key_lines(given_keys(change));
}

std::string section_of(workload_change const& change)
{
    return named_section(change, "workload");
}

std::string section_of(tenant_change const& change)
{
    return named_section(change, "tenant");
}

std::string section_of(policies_change const& change)
{
    return "\n[policies]\n" + key_lines(given_keys(change));
}

} // namespace

std::string render_note(release_note const& note)
{
    std::string text = "[note]\n";
    text += wrapped_line("title", note.header.title);
    text += wrapped_line("author", note.header.author);
    text += wrapped_line("reason", note.header.reason);
    text += note.header.id.empty() ? "" : key_line("id", note.header.id);
    for (note_change const& change : note.changes)
    {
        text += std::visit(
            [](auto const& each)
            {
                return section_of(each);
            },
            change);
    }
    return text;
}

} // namespace cicada
