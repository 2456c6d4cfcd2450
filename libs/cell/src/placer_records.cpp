#include "placer.hpp"

#include "keys.hpp"

#include <algorithm>

namespace cicada::cell
{

namespace
{

constexpr milliseconds intake_pause{1000}; //!< daemons also notify directly
constexpr milliseconds max_lease{6000};

} // namespace

void placer::read_records()
{
    if (this->stopped)
    {
        return;
    }
    struct record_pages
    {
        std::optional<platform::kv_page> intake;
        std::optional<platform::kv_page> progress;
        std::optional<platform::kv_page> roster;
        bool failed = false;
    };
    auto pages = std::make_shared<record_pages>();
    auto self = this->shared_from_this();
    auto receive_page = [self, pages](std::optional<platform::kv_page>& into,
                                      result<platform::kv_page> page)
    {
        if (self->stopped || pages->failed)
        {
            return;
        }
        if (!page.has_value())
        {
            pages->failed = true;
            self->shared.after(failure_pause,
                               [self]
                               {
                                   self->read_records();
                               });
            return;
        }
        into = std::move(page.assume_value());
        if (pages->intake && pages->progress && pages->roster)
        {
            self->intake_revision = pages->intake->at_revision;
            self->handle_records(pages->intake->items,
                                 pages->progress->items,
                                 pages->roster->items);
        }
    };
    this->shared.store.range(
        keys::intake,
        [pages, receive_page](result<platform::kv_page> page)
        {
            receive_page(pages->intake, std::move(page));
        });
    this->shared.store.range(
        keys::progress,
        [pages, receive_page](result<platform::kv_page> page)
        {
            receive_page(pages->progress, std::move(page));
        });
    this->shared.store.range(
        keys::roster,
        [pages, receive_page](result<platform::kv_page> page)
        {
            receive_page(pages->roster, std::move(page));
        });
}

void placer::handle_roster(std::vector<platform::kv_item> const& roster)
{
    for (platform::kv_item const& item : roster)
    {
        result<batch::worker_location> const read =
            batch::decode_location(item.value);
        if (!read.has_value())
        {
            this->shared.log_event(events::malformed_answer,
                                   "key=" + item.key + " " +
                                       describe(read.assume_error()));
        }
        // A worker whose address can't be read never answers, so the scheduler
        // waits until its lease must have expired.
        batch::worker_recorded event;
        event.worker = keys::strip_prefix(item.key, keys::roster);
        event.revision = item.revision;
        if (read.has_value())
        {
            event.where = read.assume_value().where;
        }
        if (read.has_value() && read.assume_value().idle)
        {
            event.idle_since = stored_by(this->shared.revisions, item.revision)
                                   .value_or(this->shared.now());
        }
        this->step_scheduler(event);
    }
}

void placer::log_records(std::vector<platform::kv_item> const& stored,
                         std::vector<platform::kv_item> const& progress,
                         std::vector<platform::kv_item> const& roster)
{
    auto const is_job = [](platform::kv_item const& item)
    {
        return !keys::strip_prefix(item.key, keys::jobs).empty();
    };
    std::size_t const jobs = static_cast<std::size_t>(
        std::count_if(stored.begin(), stored.end(), is_job));
    this->shared.log_event(
        events::records_read,
        "epoch=" + std::to_string(this->epoch) +
            " revision=" + std::to_string(this->intake_revision) +
            " jobs=" + std::to_string(jobs) +
            " progress=" + std::to_string(progress.size()) +
            " cancels=" + std::to_string(stored.size() - jobs) +
            " roster=" + std::to_string(roster.size()));
}

void placer::handle_records(std::vector<platform::kv_item> const& stored,
                            std::vector<platform::kv_item> const& progress,
                            std::vector<platform::kv_item> const& roster)
{
    this->log_records(stored, progress, roster);
    batch::scheduler_settings settings;
    settings.epoch = this->epoch;
    settings.lease_limit = this->shared.settings.lease_limit;
    settings.lease = std::min(max_lease, settings.lease_limit);
    this->scheduler = batch::make_scheduler(settings, this->shared.now());
    std::map<std::string, std::pair<batch::job_progress, std::int64_t>>
        progress_by_job;
    for (platform::kv_item const& item : progress)
    {
        result<batch::job_progress> read = batch::decode_progress(item.value);
        if (!read.has_value())
        {
            this->shared.log_event(events::malformed_answer,
                                   "key=" + item.key + " " +
                                       describe(read.assume_error()));
            continue;
        }
        progress_by_job.emplace(
            keys::strip_prefix(item.key, keys::progress),
            std::make_pair(std::move(read.assume_value()), item.revision));
    }
    for (platform::kv_item const& item : stored)
    {
        std::string const id = keys::strip_prefix(item.key, keys::jobs);
        if (id.empty())
        {
            continue;
        }
        result<batch::job> read = batch::decode_job(item.value);
        if (!read.has_value())
        {
            this->shared.log_event(events::malformed_answer,
                                   "job=" + id + " " +
                                       describe(read.assume_error()));
            continue;
        }
        batch::job_stored event;
        event.accepted = std::move(read.assume_value());
        auto const found = progress_by_job.find(id);
        if (found != progress_by_job.end())
        {
            event.progress = found->second.first;
            event.progress_revision = found->second.second;
        }
        this->step_scheduler(event);
    }
    for (platform::kv_item const& item : stored)
    {
        std::string const id = keys::strip_prefix(item.key, keys::cancels);
        if (!id.empty())
        {
            this->step_scheduler(batch::cancel_stored{id});
        }
    }
    this->handle_roster(roster);
    this->loaded = true;
    this->handle_config();
    this->step_scheduler(batch::advice_requesters_changed{this->askers});
    for (job_message const& received : this->early_jobs)
    {
        this->handle_job(received);
    }
    for (std::string const& id : this->early_cancels)
    {
        this->step_scheduler(batch::cancel_stored{id});
    }
    this->early_jobs.clear();
    this->early_cancels.clear();
    this->watch_workers();
    auto self = this->shared_from_this();
    this->intake = std::make_shared<watched_prefix>(
        this->shared,
        keys::intake,
        store_watch::make_watch_settings(this->shared.settings.catch_up_limit,
                                         intake_pause),
        [self](watched_prefix::items const& items,
               std::vector<std::string> const& changed)
        {
            self->handle_intake(items, changed);
        });
    this->intake->start_from(this->intake_revision);
    this->tick();
    this->send_load();
}

} // namespace cicada::cell
