#pragma once

#include "core/core.hpp"
#include "store/store.hpp"

/** Outcomes of transactions, as the reducer knows them. */
namespace cicada
{

write_outcome outcome_of(txn_outcome outcome);

} // namespace cicada
