#include "placer.hpp"

#include "keys.hpp"

#include <algorithm>

namespace cicada::cell
{

namespace
{

constexpr milliseconds tick_period{10};  //!< leases, repeated orders, saves
constexpr milliseconds load_period{200}; //!< between load messages
constexpr milliseconds load_line_period{1000}; //!< in the log
constexpr milliseconds intake_pause{1000}; //!< entries also tell us directly
constexpr milliseconds list_pause{100};    //!< 48 workers write every 1.5 s
constexpr milliseconds list_wait{1000};    //!< placing waits for the list
constexpr milliseconds failure_pause{100};
constexpr milliseconds order_limit{500};     //!< a calm answer takes 10 ms
constexpr milliseconds look_slack{700};      //!< beyond a look's wait
constexpr milliseconds advice_slack{1000};   //!< beyond the expected time
constexpr std::size_t look_connections = 2;  //!< one hangs, one works
constexpr std::size_t order_connections = 4; //!< of about 64 for all daemons
constexpr milliseconds longest_lease{6000};

/** A job that is over leaves only its end, so that a take-over reads little. */
void add_record(platform::kv_transaction& change,
                batch::progress_record const& record)
{
    if (!record.over)
    {
        // A save without an answer may be done late, over a newer one.
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

placer::placer(context& given,
               placer_ports outside,
               std::uint64_t own_epoch,
               std::int64_t revision)
    : shared(given), ports(std::move(outside)), epoch(own_epoch),
      epoch_revision(revision)
{
}

void placer::start()
{
    this->shared.write(130, "epoch=" + std::to_string(this->epoch));
    this->read_records();
}

void placer::stop()
{
    this->stopped = true;
    if (this->workers)
    {
        this->workers->stop();
    }
    if (this->intake)
    {
        this->intake->stop();
    }
    this->lines.clear();
}

// ---- the records of an earlier placer

void placer::read_records()
{
    if (this->stopped)
    {
        return;
    }
    struct gathered
    {
        std::optional<platform::kv_page> intake;
        std::optional<platform::kv_page> progress;
        bool failed = false;
    };
    auto both = std::make_shared<gathered>();
    auto self = this->shared_from_this();
    auto finish = [self, both](std::optional<platform::kv_page>& into,
                               result<platform::kv_page> page)
    {
        if (self->stopped || both->failed)
        {
            return;
        }
        if (!page.has_value())
        {
            both->failed = true;
            self->shared.after(failure_pause,
                               [self]
                               {
                                   self->read_records();
                               });
            return;
        }
        into = std::move(page.assume_value());
        if (both->intake && both->progress)
        {
            self->intake_revision = both->intake->at_revision;
            self->take_records(both->intake->items, both->progress->items);
        }
    };
    this->shared.store.range(keys::intake,
                             [both, finish](result<platform::kv_page> page)
                             {
                                 finish(both->intake, std::move(page));
                             });
    this->shared.store.range(keys::progress,
                             [both, finish](result<platform::kv_page> page)
                             {
                                 finish(both->progress, std::move(page));
                             });
}

void placer::take_records(std::vector<platform::kv_item> const& stored,
                          std::vector<platform::kv_item> const& progress)
{
    batch::scheduler_settings settings;
    settings.epoch = this->epoch;
    settings.lease = std::min(longest_lease, this->shared.settings.lease_limit);
    this->scheduler = batch::make_scheduler(settings, this->shared.now());
    std::map<std::string, std::pair<batch::job_progress, std::int64_t>> known;
    for (platform::kv_item const& item : progress)
    {
        result<batch::job_progress> read = batch::decode_progress(item.value);
        if (!read.has_value())
        {
            this->shared.write(
                701, "key=" + item.key + " " + describe(read.assume_error()));
            continue;
        }
        known.emplace(
            keys::after(item.key, keys::progress),
            std::make_pair(std::move(read.assume_value()), item.revision));
    }
    for (platform::kv_item const& item : stored)
    {
        std::string const id = keys::after(item.key, keys::jobs);
        if (id.empty())
        {
            continue;
        }
        result<batch::job> read = batch::decode_job(item.value);
        if (!read.has_value())
        {
            this->shared.write(
                701, "job=" + id + " " + describe(read.assume_error()));
            continue;
        }
        batch::job_stored told;
        told.accepted = std::move(read.assume_value());
        auto const at = known.find(id);
        if (at != known.end())
        {
            told.progress = at->second.first;
            told.progress_revision = at->second.second;
        }
        this->feed(told);
    }
    for (platform::kv_item const& item : stored)
    {
        std::string const id = keys::after(item.key, keys::cancels);
        if (!id.empty())
        {
            this->feed(batch::cancel_stored{id});
        }
    }
    this->loaded = true;
    this->feed(batch::askers_changed{this->askers});
    for (job_message const& told : this->early_jobs)
    {
        this->take_job(told);
    }
    for (std::string const& id : this->early_cancels)
    {
        this->feed(batch::cancel_stored{id});
    }
    this->early_jobs.clear();
    this->early_cancels.clear();
    this->watch_workers();
    auto self = this->shared_from_this();
    this->intake = std::make_shared<watched_prefix>(
        this->shared,
        keys::intake,
        intake_pause,
        watch_wait,
        [self](watched_prefix::items const& items,
               std::vector<std::string> const& changed)
        {
            self->take_intake(items, changed);
        });
    this->intake->start_from(this->intake_revision);
    this->tick();
    this->send_load();
}

void placer::feed_record(std::string const& record)
{
    result<batch::job> read = batch::decode_job(record);
    if (!read.has_value())
    {
        this->shared.write(700, describe(read.assume_error()));
        return;
    }
    batch::job_stored told;
    told.accepted = std::move(read.assume_value());
    this->feed(told);
}

void placer::take_job(job_message const& told)
{
    if (!this->loaded)
    {
        this->early_jobs.push_back(told);
        return;
    }
    // What was stored before the records were read and isn't among them has
    // ended since: it must not start again.
    if (told.revision > this->intake_revision)
    {
        this->feed_record(told.record);
    }
}

void placer::take_cancel(std::string const& job)
{
    if (!this->loaded)
    {
        this->early_cancels.push_back(job);
        return;
    }
    this->feed(batch::cancel_stored{job});
}

void placer::take_advice(batch::advice_answered const& answer)
{
    if (this->loaded)
    {
        this->feed(answer);
    }
}

void placer::set_askers(std::vector<std::string> const& names)
{
    if (this->askers == names)
    {
        return;
    }
    this->askers = names;
    if (this->loaded)
    {
        this->feed(batch::askers_changed{names});
    }
}

void placer::set_epoch_revision(std::int64_t revision)
{
    this->epoch_revision = revision;
}

void placer::take_intake(watched_prefix::items const& known,
                         std::vector<std::string> const& changed)
{
    for (std::string const& key : changed)
    {
        std::string const job = keys::after(key, keys::jobs);
        auto const item = known.find(key);
        if (item == known.end())
        {
            continue;
        }
        if (!job.empty())
        {
            if (!batch::state_of(*this->scheduler, job))
            {
                this->feed_record(item->second.value);
            }
            continue;
        }
        std::string const cancelled = keys::after(key, keys::cancels);
        if (!cancelled.empty())
        {
            this->feed(batch::cancel_stored{cancelled});
        }
    }
}

// ---- the list of workers

void placer::watch_workers()
{
    auto self = this->shared_from_this();
    this->workers = std::make_shared<watched_prefix>(
        this->shared,
        keys::workers,
        list_pause,
        list_wait,
        [self](watched_prefix::items const& items,
               std::vector<std::string> const& changed)
        {
            self->take_workers(items, changed);
        });
    this->workers->start();
}

void placer::take_workers(watched_prefix::items const& known,
                          std::vector<std::string> const& changed)
{
    for (std::string const& key : changed)
    {
        std::string const id = keys::after(key, keys::workers);
        auto const item = known.find(key);
        if (item == known.end())
        {
            this->feed(batch::worker_unlisted{id});
            continue;
        }
        result<batch::worker_offer> offer =
            platform::decode_offer(id, item->second.value);
        if (!offer.has_value())
        {
            this->shared.write(615, describe(offer.assume_error()));
            continue;
        }
        this->feed(batch::worker_listed{std::move(offer.assume_value())});
    }
    this->feed(batch::workers_complete{});
}

// ---- time

void placer::tick()
{
    if (this->stopped)
    {
        return;
    }
    this->feed(batch::time_passed{this->list_behind()});
    this->shared.after(tick_period,
                       [self = this->shared_from_this()]
                       {
                           self->tick();
                       });
}

milliseconds placer::list_behind() const
{
    return std::max(
        milliseconds{0},
        std::chrono::duration_cast<milliseconds>(this->shared.store_heard -
                                                 this->workers->answered_at()));
}

void placer::send_load()
{
    if (this->stopped)
    {
        return;
    }
    load_message told;
    told.epoch = this->epoch;
    told.load = this->load();
    this->ports.send_all(told);
    if (this->loaded && this->shared.now() >= this->next_load_line)
    {
        this->next_load_line = this->shared.now() + load_line_period;
        this->shared.write(616, batch::describe_load(*this->scheduler));
    }
    this->shared.after(load_period,
                       [self = this->shared_from_this()]
                       {
                           self->send_load();
                       });
}

std::optional<batch::job_state> placer::state_of(std::string const& job) const
{
    return this->loaded ? batch::state_of(*this->scheduler, job) : std::nullopt;
}

bool placer::ready() const
{
    return this->loaded;
}

batch::load_report placer::load() const
{
    return this->loaded ? batch::load_of(*this->scheduler)
                        : batch::load_report{};
}

// ---- effects

void placer::feed(batch::event_body body)
{
    if (this->stopped)
    {
        return;
    }
    std::vector<batch::effect> const effects =
        batch::step(*this->scheduler, {this->shared.now(), std::move(body)});
    for (batch::effect const& each : effects)
    {
        if (this->stopped)
        {
            return;
        }
        std::visit(
            [this](auto const& effect)
            {
                this->carry_out(effect);
            },
            each);
    }
}

placer::worker_line& placer::line_to(std::string const& worker,
                                     address const& where)
{
    worker_line& line = this->lines[worker];
    if (!line.looks || !(line.where == where))
    {
        line.where = where;
        line.looks = std::make_unique<http_client>(
            this->shared.loop, where, http_client_settings{look_connections});
        line.orders = std::make_unique<http_client>(
            this->shared.loop, where, http_client_settings{order_connections});
    }
    return line;
}

void placer::carry_out(batch::look_at const& effect)
{
    instant const sent = this->shared.now();
    this->line_to(effect.worker, effect.where)
        .looks->call(
            platform::encode_poll(effect),
            effect.wait + look_slack,
            [self = this->shared_from_this(), sent, effect](
                result<http_reply> const& reply)
            {
                result<batch::worker_report> report =
                    platform::decode_report(reply);
                if (report.has_value())
                {
                    self->feed(batch::look_answered{effect.worker,
                                                    effect.token,
                                                    sent,
                                                    report.assume_value()});
                    return;
                }
                self->shared.write(401,
                                   "worker=" + effect.worker + " " +
                                       describe(report.assume_error()));
                self->feed(batch::look_failed{effect.worker,
                                              platform::poll_failure(reply),
                                              effect.token});
            });
}

void placer::carry_out(batch::start_task const& effect)
{
    this->line_to(effect.worker, effect.where)
        .orders->call(
            platform::encode_start(effect),
            order_limit,
            [self = this->shared_from_this(),
             worker = effect.worker,
             task = effect.task,
             run = effect.run,
             token = effect.token](result<http_reply> const& reply)
            {
                self->feed(batch::start_answered{
                    worker, task, run, token, platform::decode_order(reply)});
            });
}

void placer::carry_out(batch::stop_task const& effect)
{
    this->line_to(effect.worker, effect.where)
        .orders->call(
            platform::encode_stop(effect),
            order_limit,
            [self = this->shared_from_this(),
             worker = effect.worker,
             task = effect.task,
             run = effect.run,
             token = effect.token](result<http_reply> const& reply)
            {
                self->feed(batch::stop_answered{
                    worker, task, run, token, platform::decode_order(reply)});
            });
}

void placer::carry_out(batch::ask_advice const& effect)
{
    this->ports.send(effect.asker, advice_request{effect});
    // Should the asker fall silent, the step is asked for again.
    this->shared.after(effect.expected + advice_slack,
                       [self = this->shared_from_this(), effect]
                       {
                           batch::advice_answered silent;
                           silent.asker = effect.asker;
                           silent.job = effect.job;
                           silent.step = effect.step;
                           silent.call = effect.call;
                           self->take_advice(silent);
                       });
}

void placer::carry_out(batch::save_progress const& effect)
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
         call = effect](result<platform::kv_commit_result> const& done)
        {
            self->take_save(call, done);
        });
}

void placer::take_save(batch::save_progress const& call,
                       result<platform::kv_commit_result> const& done)
{
    batch::progress_saved told;
    told.save = call.save;
    if (!done.has_value())
    {
        this->shared.write(500, "what=save " + describe(done.assume_error()));
        this->feed(told);
        return;
    }
    platform::kv_commit_result const& outcome = done.assume_value();
    told.stored = outcome.outcome == platform::kv_commit_status::committed;
    told.revision = outcome.revision;
    bool superseded = false;
    for (platform::kv_item const& item : outcome.found)
    {
        if (item.key == keys::epoch)
        {
            superseded = item.revision != this->epoch_revision;
        }
        std::string const job = keys::after(item.key, keys::progress);
        if (!job.empty())
        {
            told.found[job] = item.deleted ? 0 : item.revision;
        }
    }
    if (!told.stored)
    {
        this->shared.write(500,
                           "what=save conflict superseded=" +
                               std::string(superseded ? "yes" : "no"));
    }
    this->feed(told);
    if (superseded && !this->stopped)
    {
        this->ports.superseded();
    }
}

void placer::carry_out(batch::log_decision const& effect)
{
    this->shared.write(effect.number, effect.detail);
}

void placer::carry_out(batch::give_up_placing const&)
{
    this->ports.superseded();
}

} // namespace cicada::cell
