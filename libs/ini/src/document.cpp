#include "ini/ini.hpp"

#include <ini.h>

#include <sstream>

namespace cicada
{
namespace
{

struct read_line
{
    std::string section;
    std::string key;
    std::string value;
};

int keep_line(void* target,
              char const* section,
              char const* key,
              char const* value)
{
    read_line& kept = *static_cast<read_line*>(target);
    kept = {section, key, value};
    return 1;
}

bool is_blank(char byte)
{
    return byte == ' ' || byte == '\t' || byte == '\r';
}

std::string trim(std::string const& text)
{
    std::size_t first = 0;
    while (first < text.size() && is_blank(text[first]))
    {
        ++first;
    }
    std::size_t last = text.size();
    while (last > first && is_blank(text[last - 1]))
    {
        --last;
    }
    return text.substr(first, last - first);
}

bool is_comment(std::string const& trimmed)
{
    return trimmed.empty() || trimmed[0] == ';' || trimmed[0] == '#';
}

bool has_control_byte(std::string const& line)
{
    for (char const byte : line)
    {
        bool const control = static_cast<unsigned char>(byte) < ' ';
        if (control && !is_blank(byte))
        {
            return true;
        }
    }
    return false;
}

/** How many bytes follow the first one of a UTF-8 character; -1: none does. */
int following_bytes(unsigned char first)
{
    if (first < 0x80U)
    {
        return 0;
    }
    if (first >= 0xC2U && first < 0xE0U)
    {
        return 1;
    }
    if (first >= 0xE0U && first < 0xF0U)
    {
        return 2;
    }
    return first >= 0xF0U && first < 0xF5U ? 3 : -1;
}

bool is_utf8(std::string const& line)
{
    int awaited = 0;
    for (char const byte : line)
    {
        unsigned char const value = static_cast<unsigned char>(byte);
        bool const follows = (value & 0xC0U) == 0x80U;
        if (follows != (awaited > 0))
        {
            return false;
        }
        awaited = follows ? awaited - 1 : following_bytes(value);
        if (awaited < 0)
        {
            return false;
        }
    }
    return awaited == 0;
}

void add_problem(ini_document& document,
                 int line,
                 std::string const& message,
                 std::string const& allowed)
{
    std::string const section =
        document.sections.empty() ? "" : document.sections.back().name;
    document.problems.push_back({line, section, "", message, allowed, ""});
}

void open_section(ini_document& document, int line, std::string const& text)
{
    read_line kept;
    std::string const probe = text + "\nprobe=\n";
    if (ini_parse_string(probe.c_str(), keep_line, &kept) != 0)
    {
        add_problem(document, line, "the section has no end", "[name]");
        return;
    }
    document.sections.push_back({line, trim(kept.section), {}});
}

void add_entry(ini_document& document, int line, std::string const& text)
{
    read_line kept;
    if (ini_parse_string(text.c_str(), keep_line, &kept) != 0)
    {
        add_problem(document,
                    line,
                    "neither a section nor a key",
                    "[name], key = value, or a comment after # or ;");
    }
    else if (document.sections.empty())
    {
        document.problems.push_back({line,
                                     "",
                                     kept.key,
                                     "a key before the first section",
                                     "[name] first",
                                     ""});
    }
    else
    {
        document.sections.back().entries.push_back(
            {line, kept.key, kept.value});
    }
}

bool continues_value(ini_document const& document, std::string const& line)
{
    return is_blank(line[0]) && !document.sections.empty() &&
           !document.sections.back().entries.empty() && trim(line)[0] != '[';
}

void take_line(ini_document& document, int number, std::string const& line)
{
    std::string const trimmed = trim(line);
    if (is_comment(trimmed))
    {
        return;
    }
    if (line.size() > ini_max_line_bytes)
    {
        add_problem(document,
                    number,
                    "the line is too long",
                    "at most " + std::to_string(ini_max_line_bytes) +
                        " bytes; start the next line with a blank to go on");
    }
    else if (!is_utf8(line))
    {
        add_problem(document, number, "bytes that are no UTF-8", "UTF-8 text");
    }
    else if (has_control_byte(line))
    {
        add_problem(document, number, "a control character", "plain text");
    }
    else if (continues_value(document, line))
    {
        document.sections.back().entries.back().value += " " + trimmed;
    }
    else if (trimmed[0] == '[')
    {
        open_section(document, number, trimmed);
    }
    else
    {
        add_entry(document, number, trimmed);
    }
}

} // namespace

ini_document read_ini(std::string const& text)
{
    ini_document document;
    if (text.size() > ini_max_text_bytes)
    {
        add_problem(document,
                    0,
                    "the text is too large",
                    "at most " + std::to_string(ini_max_text_bytes / 1024) +
                        " KiB");
        return document;
    }
    std::istringstream lines(text);
    std::string line;
    int number = 0;
    while (std::getline(lines, line))
    {
        ++number;
        take_line(document, number, line);
    }
    return document;
}

} // namespace cicada
