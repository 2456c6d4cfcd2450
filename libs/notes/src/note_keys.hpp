#pragma once

#include "notes/notes.hpp"

namespace cicada
{

/** The keys of each section, with what they allow. */
std::vector<ini_key<note_header>> const& header_keys();
std::vector<ini_key<workload_change>> const& workload_keys();
std::vector<ini_key<tenant_change>> const& tenant_keys();
std::vector<ini_key<policies_change>> const& policies_keys();

/** "add", "change", "withdraw" as an action. */
std::optional<change_action> parse_action(std::string const& text);

} // namespace cicada
