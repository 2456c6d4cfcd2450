#pragma once

#include "state.hpp"

/** The ownership table: which daemon owns which shard. */
namespace cicada
{

/** Inputs of next_table() besides the current table. */
struct table_inputs
{
    std::vector<member> members; //!< live; leaving ones get no shards
    std::vector<shard_id> shards;

    bool operator==(table_inputs const&) const = default;
};

/**
 * Computes the next table: every shard has a live owner, no member owns more
 * than its share, members in the shard's zone are preferred, and few shards
 * move. Depends only on its arguments, so that all daemons compute the same
 * table. Returns `current` if nothing has to change.
 */
ownership_table next_table(ownership_table const& current,
                           table_inputs const& inputs);

/** Applies a table from the service or a peer if it is newer. */
void update_table(state& s, ownership_table const& table, effects& out);

/** Proposes a new table if needed, at once or after a rank-based delay. */
void review_table(state& s, effects& out);

/** Timer handler: makes the proposal that review_table() delayed. */
void propose_due_table(state& s, effects& out);

void on_table_proposed(state& s, table_proposed const& e, effects& out);
void on_instances_listed(state& s, instances_listed const& e, effects& out);

} // namespace cicada
