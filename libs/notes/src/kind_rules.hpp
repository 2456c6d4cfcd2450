#pragma once

#include "notes/notes.hpp"

namespace cicada
{

/** Finds keys that mean nothing for a workload of this kind. */
void check_kind_keys(workload_change const& change,
                     workload_kind kind,
                     std::vector<text_problem>& problems);

/** Finds the sizes that an added workload of tasks must give. */
void check_sizes(workload_change const& change,
                 std::vector<text_problem>& problems);

/**
 * Finds a quota that is half given, or given and lifted at once.
 *
 * @param had_quota whether one is in force: a change may then give a part
 */
void check_quota(tenant_change const& change,
                 bool had_quota,
                 std::vector<text_problem>& problems);

/** The line of a key in its section, else that of the section. */
int line_of(ini_section const& section, std::string const& key);

} // namespace cicada
