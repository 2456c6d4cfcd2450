#pragma once

#include "store/store.hpp"

#include <deque>

/** Which of the waiting txns go out together. Pure. */
namespace cicada::store_detail
{

/** A txn that waits to be sent. */
struct waiting_txn
{
    std::uint64_t number = 0; //!< names it; grows
    txn request;
    std::uint64_t group = 0; //!< shares a call only with the same group

    bool operator==(waiting_txn const&) const = default;
};

/**
 * Takes the next call's txns out of the queue, in order. None of them writes
 * a key that another names, for the service refuses that or may order them
 * otherwise; one that does waits, and those that name its keys behind it.
 */
std::vector<waiting_txn> take_batch(batch_settings const& settings,
                                    std::deque<waiting_txn>& queue);

} // namespace cicada::store_detail
