#include "writer.hpp"

#include "codec.hpp"
#include "kept_call.hpp"

#include <algorithm>

namespace cicada::store_detail
{

namespace
{

constexpr int first_server_error = 500;

txn_answer ended(txn_outcome outcome, std::string const& message)
{
    txn_answer made;
    made.outcome = outcome;
    made.message = message;
    return made;
}

std::vector<txn> requests_of(sent_batch const& batch)
{
    std::vector<txn> requests;
    requests.reserve(batch.size());
    for (waiting_txn const& each : batch)
    {
        requests.push_back(each.request);
    }
    return requests;
}

} // namespace

writer::writer(client_context& given) : context(given) {}

void writer::commit(txn const& request, instant deadline, txn_handler handler)
{
    if (this->queue.size() >= this->context.settings.batch.most_waiting)
    {
        handler(ended(txn_outcome::failed, "too many txns wait"));
        return;
    }
    std::uint64_t const number = ++this->last_number;
    open_txn& made = this->open[number];
    made.handler = std::move(handler);
    made.deadline = deadline;
    made.limit = run_after(this->context,
                           deadline - now(),
                           [this, number]()
                           {
                               this->expire(number);
                           });
    this->queue.push_back({number, request, 0});
    this->pump();
}

void writer::pump()
{
    while (!this->queue.empty() && !this->waiting && this->may_send())
    {
        this->send_next();
    }
}

/** True if a call may go out now; else pump() runs again when one may. */
bool writer::may_send()
{
    int const most = std::max(this->context.settings.batch.most_calls, 1);
    return this->calls < most && !this->patient() && this->within_budget();
}

/** True if the queue waits for the answer to the last call. */
bool writer::patient()
{
    batch_settings const& limits = this->context.settings.batch;
    milliseconds const age = now() - this->last_call;
    bool const fills = static_cast<int>(this->queue.size()) >= limits.most_txns;
    if (this->calls == 0 || fills || age >= limits.patience)
    {
        return false;
    }
    if (this->patience == nullptr)
    {
        this->patience = run_after(this->context,
                                   limits.patience - age,
                                   [this]()
                                   {
                                       this->patience = nullptr;
                                       this->pump();
                                   });
    }
    return true;
}

bool writer::within_budget()
{
    if (this->reserved)
    {
        return true;
    }
    this->reserved = true;
    milliseconds const delay = reserve(this->context,
                                       call_kind::write,
                                       budget_use::waits,
                                       milliseconds::max())
                                   .value_or(milliseconds(0));
    if (delay == milliseconds(0))
    {
        return true;
    }
    this->waiting = true;
    run_after(this->context,
              delay,
              [this]()
              {
                  this->waiting = false;
                  this->pump();
              });
    return false;
}

void writer::call_ended()
{
    this->calls -= 1;
    if (this->patience != nullptr)
    {
        this->patience->cancel();
        this->patience = nullptr;
    }
    this->pump();
}

void writer::send_next()
{
    sent_batch const batch =
        take_batch(this->context.settings.batch, this->queue);
    this->reserved = false;
    this->calls += 1;
    this->last_call = now();
    int const tries = static_cast<int>(this->context.settings.endpoints.size());
    this->post(batch, tries);
}

void writer::post(sent_batch const& batch, int tries_left)
{
    count_call(this->context, call_kind::write, batch.size());
    this->mark_sent(batch, true);
    outgoing what;
    what.where = current_endpoint(this->context);
    what.path = txn_path;
    what.body = encode_txns(requests_of(batch));
    what.use = connection_use::fresh;
    start_exchange(this->context,
                   what,
                   this->latest_deadline(batch) - now(),
                   [this, batch, tries_left, what](exchange const& how)
                   {
                       this->posted(batch, tries_left - 1, what.where, how);
                   });
}

void writer::posted(sent_batch const& batch,
                    int tries_left,
                    address const& where,
                    exchange const& how)
{
    bool const whole = how.how == exchange_result::answered;
    if (!whole || how.status >= first_server_error)
    {
        leave_endpoint(this->context, where);
    }
    if (how.how == exchange_result::not_sent)
    {
        this->not_sent(batch, tries_left, how.message);
        return;
    }
    if (whole)
    {
        this->answered(batch, how);
    }
    else
    {
        this->settle_all(batch, ended(txn_outcome::unknown, how.message));
    }
    this->call_ended();
}

void writer::not_sent(sent_batch const& batch,
                      int tries_left,
                      std::string const& message)
{
    this->mark_sent(batch, false);
    sent_batch const left = this->still_open(batch);
    if (tries_left > 0 && !left.empty())
    {
        reserve(this->context,
                call_kind::write,
                budget_use::only_counts,
                milliseconds(0));
        this->post(left, tries_left);
        return;
    }
    this->settle_all(batch, ended(txn_outcome::failed, message));
    this->call_ended();
}

void writer::answered(sent_batch const& batch, exchange const& how)
{
    if (!is_good(how))
    {
        this->refused(batch, how);
        return;
    }
    result<std::vector<txn_answer>> const answers =
        decode_txns(how.body, batch.size());
    if (!answers.has_value())
    {
        std::string const& message = answers.assume_error().message;
        this->settle_all(batch, ended(txn_outcome::unknown, message));
        return;
    }
    std::vector<txn_answer>::const_iterator answer =
        answers.assume_value().begin();
    for (waiting_txn const& each : batch)
    {
        this->settle(each.number, *answer);
        ++answer;
    }
}

/**
 * The service took none of the call. If it held several txns, perhaps for the
 * sake of one of them: its halves go again, each on its own.
 */
void writer::refused(sent_batch const& batch, exchange const& how)
{
    error const why = error_of(how);
    if (why.code != error_code::refused)
    {
        this->settle_all(batch, ended(txn_outcome::unknown, why.message));
        return;
    }
    if (batch.size() == 1)
    {
        this->settle_all(batch, ended(txn_outcome::failed, why.message));
        return;
    }
    this->mark_sent(batch, false);
    this->split(this->still_open(batch));
}

void writer::split(sent_batch const& batch)
{
    std::uint64_t const first = ++this->last_group;
    std::uint64_t const second = ++this->last_group;
    std::size_t const half = batch.size() / 2;
    std::vector<waiting_txn> again;
    for (waiting_txn const& each : batch)
    {
        std::uint64_t const group = again.size() < half ? first : second;
        again.push_back({each.number, each.request, group});
    }
    this->queue.insert(this->queue.begin(), again.begin(), again.end());
}

void writer::mark_sent(sent_batch const& batch, bool sent)
{
    for (waiting_txn const& each : batch)
    {
        std::map<std::uint64_t, open_txn>::iterator const found =
            this->open.find(each.number);
        if (found != this->open.end())
        {
            found->second.sent = sent;
        }
    }
}

void writer::settle_all(sent_batch const& batch, txn_answer const& answer)
{
    for (waiting_txn const& each : batch)
    {
        this->settle(each.number, answer);
    }
}

void writer::settle(std::uint64_t number, txn_answer const& answer)
{
    std::map<std::uint64_t, open_txn>::iterator const found =
        this->open.find(number);
    if (found == this->open.end())
    {
        return;
    }
    open_txn const done = std::move(found->second);
    this->open.erase(found);
    done.limit->cancel();
    done.handler(answer);
}

void writer::expire(std::uint64_t number)
{
    std::map<std::uint64_t, open_txn>::iterator const found =
        this->open.find(number);
    if (found == this->open.end())
    {
        return;
    }
    std::erase_if(this->queue,
                  [number](waiting_txn const& each)
                  {
                      return each.number == number;
                  });
    bool const sent = found->second.sent;
    this->settle(number,
                 sent ? ended(txn_outcome::unknown, "no answer in time")
                      : ended(txn_outcome::failed, "not sent in time"));
}

instant writer::latest_deadline(sent_batch const& batch) const
{
    instant latest = now();
    for (waiting_txn const& each : this->still_open(batch))
    {
        latest = std::max(latest, this->open.at(each.number).deadline);
    }
    return latest;
}

sent_batch writer::still_open(sent_batch const& batch) const
{
    sent_batch left;
    std::copy_if(batch.begin(),
                 batch.end(),
                 std::back_inserter(left),
                 [this](waiting_txn const& each)
                 {
                     return this->open.count(each.number) != 0;
                 });
    return left;
}

} // namespace cicada::store_detail
