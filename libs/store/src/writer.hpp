#pragma once

#include "batch.hpp"
#include "client_context.hpp"

/** Group commit: txns queue here and go out together. On the loop's thread. */
namespace cicada::store_detail
{

/** A txn whose handler hasn't been called. */
struct open_txn
{
    txn_handler handler;
    instant deadline;
    timer_ptr limit;
    bool sent = false; //!< it may have arrived
};

/** A call's txns, in the order in which they were encoded. */
using sent_batch = std::vector<waiting_txn>;

/** See above. */
class writer
{
public:
    /** The context outlives it, and what the loop runs. */
    explicit writer(client_context& given);

    /** Queues a txn, and sends what can be sent. */
    void commit(txn const& request, instant deadline, txn_handler handler);

private:
    void pump();
    bool may_send();
    bool patient();
    bool within_budget();
    void call_ended();
    void send_next();
    void post(sent_batch const& batch, int tries_left);
    void posted(sent_batch const& batch,
                int tries_left,
                address const& where,
                exchange const& how);
    void not_sent(sent_batch const& batch,
                  int tries_left,
                  std::string const& message);
    void answered(sent_batch const& batch, exchange const& how);
    void refused(sent_batch const& batch, exchange const& how);
    void split(sent_batch const& batch);
    void mark_sent(sent_batch const& batch, bool sent);
    void settle_all(sent_batch const& batch, txn_answer const& answer);
    void settle(std::uint64_t number, txn_answer const& answer);
    void expire(std::uint64_t number);
    instant latest_deadline(sent_batch const& batch) const;
    sent_batch still_open(sent_batch const& batch) const;

    client_context& context;
    std::deque<waiting_txn> queue;
    std::map<std::uint64_t, open_txn> open;
    std::uint64_t last_number = 0;
    int calls = 0;         //!< under way
    instant last_call;     //!< when the last of them was sent
    timer_ptr patience;    //!< until the next may go out beside it
    bool waiting = false;  //!< for the budget
    bool reserved = false; //!< the budget's token for the next call is taken
    std::uint64_t last_group = 0;
};

} // namespace cicada::store_detail
