#pragma once

#include "notes/notes.hpp"

namespace cicada
{

/** One key of a change that is given, as the note's text has it. */
struct given_key
{
    std::string key;   //!< as in the note's text
    std::string words; //!< as in sentences
    std::string value;

    bool operator==(given_key const&) const = default;
};

/** The keys that a change gives, in the order of the reference. */
std::vector<given_key> given_keys(workload_change const& change);
std::vector<given_key> given_keys(tenant_change const& change);
std::vector<given_key> given_keys(policies_change const& change);

/** All keys of what is in force, as a change that adds it would give them. */
std::vector<given_key> keys_in_force(cell_config const& config,
                                     workload_id const& name);
std::vector<given_key> keys_in_force(cell_config const& config,
                                     tenant_id const& name);
std::vector<given_key> keys_in_force(cell_policies const& policies);

} // namespace cicada
