#include "store_outcomes.hpp"

namespace cicada
{

write_outcome outcome_of(txn_outcome outcome)
{
    switch (outcome)
    {
    case txn_outcome::done:
        return write_outcome::done;
    case txn_outcome::refused:
        return write_outcome::refused;
    case txn_outcome::failed:
        return write_outcome::failed;
    case txn_outcome::unknown:
        return write_outcome::unknown;
    }
    return write_outcome::unknown;
}

} // namespace cicada
