#include "placer.hpp"

#include "keys.hpp"

#include <algorithm>

namespace cicada::cell
{

namespace
{

constexpr milliseconds order_timeout{500};  //!< an answer usually takes 10 ms
constexpr milliseconds poll_margin{700};    //!< beyond a poll's wait
constexpr milliseconds advice_margin{1000}; //!< beyond the expected time

/** Saves carry no lease, so a missing one tells nothing about them. */
batch::save_outcome save_outcome_of(platform::kv_commit_status status)
{
    switch (status)
    {
    case platform::kv_commit_status::committed:
        return batch::save_outcome::stored;
    case platform::kv_commit_status::conflict:
        return batch::save_outcome::conflict;
    case platform::kv_commit_status::no_lease:
        return batch::save_outcome::unknown;
    }
    return batch::save_outcome::unknown;
}

/** Adds a job's progress to a transaction. A finished job keeps only its final
 * record, so that a new placer has few records to read. */
void add_record(platform::kv_transaction& change,
                batch::progress_record const& record)
{
    if (!record.ended)
    {
        // An unanswered save may take effect late; the condition keeps it from
        // overwriting a newer one.
        change.conditions.push_back(
            {keys::progress + record.job, record.expected});
        change.writes.push_back({keys::progress + record.job, record.bytes, 0});
        return;
    }
    change.writes.push_back({keys::ends + record.job, record.bytes, 0});
    change.deletes.push_back(keys::jobs + record.job);
    if (record.cancelled)
    {
        change.deletes.push_back(keys::cancels + record.job);
    }
    if (record.expected != 0)
    {
        change.deletes.push_back(keys::progress + record.job);
    }
}

} // namespace

void placer::execute(batch::poll_worker const& effect)
{
    instant const sent = this->shared.now();
    this->connections.at(effect.worker, effect.where)
        .polls->call(platform::encode_poll(effect),
                     std::min(effect.wait + poll_margin, max_worker_call),
                     [self = this->shared_from_this(), sent, effect](
                         result<http_reply> const& reply)
                     {
                         result<batch::worker_report> report =
                             platform::decode_report(reply);
                         if (report.has_value())
                         {
                             self->step_scheduler(
                                 batch::poll_answered{effect.worker,
                                                      effect.token,
                                                      sent,
                                                      report.assume_value()});
                             return;
                         }
                         self->shared.log_event(
                             events::attempt_unresponsive,
                             "worker=" + effect.worker + " " +
                                 describe(report.assume_error()));
                         self->step_scheduler(
                             batch::poll_failed{effect.worker,
                                                platform::poll_failure(reply),
                                                effect.token});
                     });
}

template <class Answer, class Order>
void placer::send_order(Order const& order, http_request request)
{
    this->connections.at(order.worker, order.where)
        .orders->call(
            std::move(request),
            order_timeout,
            [self = this->shared_from_this(),
             answer = Answer{order.worker, order.task, order.run, order.token}](
                result<http_reply> const& reply)
            {
                Answer answered = answer;
                answered.outcome = platform::decode_order(reply);
                self->step_scheduler(answered);
            });
}

void placer::execute(batch::start_task const& effect)
{
    this->send_order<batch::start_answered>(effect,
                                            platform::encode_start(effect));
}

void placer::execute(batch::stop_task const& effect)
{
    this->send_order<batch::stop_answered>(effect,
                                           platform::encode_stop(effect));
}

void placer::execute(batch::request_advice const& effect)
{
    this->ports.send(effect.requester, advice_request{effect});
    // Without an answer, the scheduler asks again.
    this->shared.after(effect.expected + advice_margin,
                       [self = this->shared_from_this(), effect]
                       {
                           batch::advice_answered timed_out;
                           timed_out.requester = effect.requester;
                           timed_out.job = effect.job;
                           timed_out.step = effect.step;
                           timed_out.call = effect.call;
                           self->handle_advice(timed_out);
                       });
}

void placer::execute(batch::save_progress const& effect)
{
    platform::kv_transaction change;
    change.conditions.push_back({keys::epoch, this->epoch_revision});
    for (batch::progress_record const& record : effect.records)
    {
        add_record(change, record);
    }
    this->shared.store.commit(
        change,
        [self = this->shared_from_this(),
         call = effect](result<platform::kv_commit_result> const& reply)
        {
            self->handle_save_reply(call, reply);
        });
}

void placer::handle_save_reply(batch::save_progress const& call,
                               result<platform::kv_commit_result> const& reply)
{
    batch::progress_saved event;
    event.save = call.save;
    if (!reply.has_value())
    {
        this->shared.log_event(events::store_unavailable,
                               "what=save " + describe(reply.assume_error()));
        this->step_scheduler(event);
        return;
    }
    platform::kv_commit_result const& outcome = reply.assume_value();
    event.outcome = save_outcome_of(outcome.outcome);
    event.revision = outcome.revision;
    bool const superseded = is_superseded(outcome.found, this->claimed_epoch);
    for (platform::kv_item const& item : outcome.found)
    {
        std::string const job = keys::strip_prefix(item.key, keys::progress);
        if (!job.empty())
        {
            event.found[job] = item.deleted ? 0 : item.revision;
        }
    }
    if (event.outcome != batch::save_outcome::stored)
    {
        this->shared.log_event(events::store_unavailable,
                               "what=save conflict superseded=" +
                                   std::string(superseded ? "yes" : "no"));
    }
    this->step_scheduler(event);
    if (superseded && !this->stopped)
    {
        this->ports.superseded();
    }
}

void placer::execute(batch::save_roster const& effect)
{
    platform::kv_transaction change;
    change.conditions.push_back({keys::epoch, this->epoch_revision});
    for (batch::roster_change const& each : effect.changes)
    {
        std::string const key = keys::roster + each.worker;
        change.conditions.push_back({key, each.expected});
        if (each.where)
        {
            change.writes.push_back(
                {key, batch::encode_location({*each.where, each.idle}), 0});
        }
        else
        {
            change.deletes.push_back(key);
        }
    }
    this->shared.store.commit(
        change,
        [self = this->shared_from_this(),
         call = effect](result<platform::kv_commit_result> const& reply)
        {
            self->handle_roster_reply(call, reply);
        });
}

void placer::handle_roster_reply(
    batch::save_roster const& call,
    result<platform::kv_commit_result> const& reply)
{
    batch::roster_saved event;
    event.save = call.save;
    if (!reply.has_value())
    {
        this->shared.log_event(events::store_unavailable,
                               "what=roster " + describe(reply.assume_error()));
        this->step_scheduler(event);
        return;
    }
    platform::kv_commit_result const& outcome = reply.assume_value();
    event.outcome = save_outcome_of(outcome.outcome);
    event.revision = outcome.revision;
    if (event.outcome != batch::save_outcome::stored)
    {
        for (batch::roster_change const& each : call.changes)
        {
            event.found[each.worker] = 0; // unless the store lists the record
        }
    }
    for (platform::kv_item const& item : outcome.found)
    {
        std::string const worker = keys::strip_prefix(item.key, keys::roster);
        if (!worker.empty())
        {
            event.found[worker] = item.deleted ? 0 : item.revision;
        }
    }
    if (event.outcome != batch::save_outcome::stored)
    {
        this->shared.log_event(events::store_unavailable,
                               "what=roster conflict");
    }
    this->step_scheduler(event);
    if (is_superseded(outcome.found, this->claimed_epoch) && !this->stopped)
    {
        this->ports.superseded();
    }
}

void placer::execute(batch::read_jobs const& effect)
{
    this->shared.store.range(
        keys::jobs,
        [self = this->shared_from_this(),
         effect](result<platform::kv_page> const& page)
        {
            if (self->stopped)
            {
                return;
            }
            if (!page.has_value())
            {
                self->shared.after(failure_pause,
                                   [self, effect]
                                   {
                                       self->execute(effect);
                                   });
                return;
            }
            for (platform::kv_item const& item : page.assume_value().items)
            {
                std::string const job =
                    keys::strip_prefix(item.key, keys::jobs);
                if (!batch::state_of(*self->scheduler, job))
                {
                    self->add_job(item.value);
                }
            }
            self->step_scheduler(batch::jobs_read{effect.read});
        });
}

void placer::execute(batch::confirm_claim const&)
{
    this->shared.store.get(
        keys::epoch,
        [self = this->shared_from_this(),
         call = store_call{"what=epoch", this->shared.now()}](
            result<platform::kv_item> const& item)
        {
            self->shared.record_store_call(call, item);
            std::uint64_t const stored =
                item.has_value() ? decode_epoch(item.assume_value().value) : 0;
            if (stored > self->claimed_epoch && !self->stopped)
            {
                self->ports.superseded();
                return;
            }
            self->step_scheduler(batch::claim_checked{
                call.sent_at, stored == self->claimed_epoch});
        });
}

void placer::execute(batch::log_decision const& effect)
{
    this->shared.log_event(effect.number, effect.detail);
}

void placer::execute(batch::stop_placing const&)
{
    this->ports.superseded();
}

} // namespace cicada::cell
