#include "cell_model.hpp"

#include <algorithm>
#include <limits>

namespace cicada::batch::model
{

namespace
{

constexpr milliseconds tick_span{10};
constexpr milliseconds max_old_placer_span{4000};
constexpr milliseconds partition_span{8000};
constexpr milliseconds isolation_span{20'000};
constexpr milliseconds entry_lapse_span{4500};
constexpr milliseconds store_outage_span{5000};
constexpr milliseconds list_gap_span{3000};
constexpr milliseconds answer_timeout{
    500}; //!< after it a call counts as unanswered

} // namespace

cell_model::cell_model(model_settings const& given)
    : settings(given), random(given.seed)
{
    for (int i = 0; i < given.workers; ++i)
    {
        worker_offer offer;
        offer.id = "w" + std::to_string(i);
        offer.service = "svc";
        offer.where = {"127.0.0.1", static_cast<std::uint16_t>(1000 + i)};
        offer.capacity = {16'000, 32'768, 0};
        offer.labels = {"a", "r" + std::to_string(i / 4)};
        offer.incarnation = this->next_incarnation++;
        this->workers.push_back(
            std::make_unique<worker_model>(offer, this->invariants));
        this->workers.back()->ends_per_report = given.injected.ends_per_report;
    }
    this->faults_until = this->now + given.load;
}

void cell_model::at(milliseconds delay, std::function<void()> what)
{
    this->schedule.push(
        {this->now + delay, this->scheduled_count++, std::move(what)});
}

milliseconds cell_model::latency()
{
    return milliseconds{1 + static_cast<int>(this->random() % 12)};
}

bool cell_model::chance(double share)
{
    double const drawn = static_cast<double>(this->random()) /
                         static_cast<double>(std::mt19937::max());
    return drawn < share && this->now < this->faults_until;
}

void cell_model::run()
{
    instant const end = this->faults_until + this->settings.quiet;
    this->start_placer();
    this->tick();
    while (!this->schedule.empty() && this->schedule.top().when <= end)
    {
        scheduled next = this->schedule.top();
        this->schedule.pop();
        this->now = next.when;
        next.what();
    }
    this->invariants.check_all_ended();
}

void cell_model::tick()
{
    double const share = static_cast<double>(tick_span.count()) / 1000.0;
    for (std::unique_ptr<worker_model> const& w : this->workers)
    {
        w->advance(this->now, tick_span);
    }
    this->advance_gangs(tick_span);
    if (this->chance(this->settings.jobs_per_second * share))
    {
        this->submit_job();
    }
    if (this->chance(this->settings.injected.takeovers * share))
    {
        this->start_placer();
    }
    if (this->chance(this->settings.injected.isolations * share))
    {
        this->isolate_placer();
    }
    std::size_t const any = this->random() % this->workers.size();
    if (this->chance(this->settings.injected.crashes * share))
    {
        this->workers[any]->crash(this->now, this->next_incarnation++);
        auto const isolated =
            std::find_if(this->workers.begin(),
                         this->workers.end(),
                         [](std::unique_ptr<worker_model> const& w)
                         {
                             return w->isolated_with.has_value();
                         });
        if (this->settings.injected.restarts_on_isolated_side &&
            isolated != this->workers.end())
        {
            this->isolate_worker(*this->workers[any],
                                 *(*isolated)->isolated_with);
        }
        this->at(milliseconds{500 + this->random() % 3000},
                 [this, id = this->workers[any]->offer.id]
                 {
                     this->list_again(id);
                 });
    }
    if (this->chance(this->settings.injected.store_outages * share))
    {
        this->store_up_at = this->now + store_outage_span;
    }
    if (this->chance(this->settings.injected.departures * share))
    {
        this->replace_worker(any);
    }
    if (this->chance(this->settings.injected.list_gaps * share))
    {
        this->hide_worker(any);
    }
    if (this->chance(this->settings.injected.partitions * share))
    {
        worker_model* const w = this->workers[any].get();
        w->partitioned = true;
        this->at(partition_span,
                 [w]
                 {
                     w->partitioned = false;
                 });
    }
    for (std::size_t p = 0; p < this->placers.size(); ++p)
    {
        this->feed(p, time_passed{});
    }
    this->at(tick_span,
             [this]
             {
                 this->tick();
             });
}

/** Lists a worker that has restarted, unless it has been replaced. An entry
 * never follows one of a later incarnation. */
void cell_model::list_again(std::string const& id)
{
    for (std::unique_ptr<worker_model> const& w : this->workers)
    {
        if (w->offer.id != id)
        {
            continue;
        }
        for (std::size_t p = 0; p < this->placers.size(); ++p)
        {
            this->feed(p, worker_listed{w->offer});
        }
    }
}

/** Replaces a worker that disappears without notice; the list drops it after
 * 4.5 s without contact. */
void cell_model::replace_worker(std::size_t which)
{
    worker_offer offer = this->workers[which]->offer;
    this->workers[which]->crash(this->now, 0);
    this->removed_workers.push_back(std::move(this->workers[which]));
    std::string const old = offer.id;
    offer.id = old + "x";
    offer.incarnation = this->next_incarnation++;
    this->workers[which] =
        std::make_unique<worker_model>(offer, this->invariants);
    this->at(milliseconds{4500},
             [this, old, offer]
             {
                 for (std::size_t p = 0; p < this->placers.size(); ++p)
                 {
                     this->feed(p, worker_unlisted{old});
                     this->feed(p, worker_listed{offer});
                 }
             });
}

/** Removes the entry of a worker that goes on running, for a while, as when its
 * writes to the store fail. */
void cell_model::hide_worker(std::size_t which)
{
    worker_model* const w = this->workers[which].get();
    w->listed = false;
    for (std::size_t p = 0; p < this->placers.size(); ++p)
    {
        this->feed(p, worker_unlisted{w->offer.id});
    }
    this->at(list_gap_span,
             [this, w]
             {
                 w->listed = true;
                 for (std::size_t p = 0; p < this->placers.size(); ++p)
                 {
                     this->feed(p, worker_listed{w->offer});
                 }
             });
}

/** Advances gangs, each only while all members of one run are active. */
void cell_model::advance_gangs(milliseconds span)
{
    struct member
    {
        worker_model* w = nullptr;
        task_ref task;
    };
    std::map<std::tuple<std::string, int, std::uint64_t>, std::vector<member>>
        gangs;
    for (std::unique_ptr<worker_model> const& w : this->workers)
    {
        for (auto const& entry : w->runs)
        {
            if (entry.second.gang && !entry.second.stops_at)
            {
                gangs[{entry.first.job, entry.first.step, entry.second.run}]
                    .push_back({w.get(), entry.first});
            }
        }
    }
    for (auto const& gang : gangs)
    {
        auto const& [id, step, run] = gang.first;
        auto const open = this->jobs.find(id);
        std::vector<member> const& members = gang.second;
        if (open == this->jobs.end() ||
            static_cast<int>(members.size()) !=
                open->second.first.steps[static_cast<std::size_t>(step)].count)
        {
            continue;
        }
        model_run& first = members.front().w->runs.at(members.front().task);
        first.work_left -= span;
        if (first.work_left.count() > 0)
        {
            continue;
        }
        bool const fails = first.fails;
        for (std::size_t k = 0; k < members.size(); ++k)
        {
            run_end const how = !fails   ? run_end::done
                                : k == 0 ? run_end::failed
                                         : run_end::broken;
            members[k].w->end(members[k].task, how);
        }
    }
}

job cell_model::make_random_job()
{
    job out;
    char id[17];
    std::snprintf(id, sizeof id, "%016d", ++this->submitted_jobs);
    out.id = id;
    out.spec = "spec";
    out.queue.name = "q";
    out.queue.service = "svc";
    out.queue.priority = static_cast<int>(this->random() % 3);
    out.queue.max_attempts = 3;
    out.queue.slack_factor = 3.0;
    out.queue.target = milliseconds{500};
    if (this->random() % 2 == 0)
    {
        out.queue.advice = advice_terms{8.0, 0.1, milliseconds{1500}};
    }
    int const steps = 1 + static_cast<int>(this->random() % 2);
    for (int i = 0; i < steps; ++i)
    {
        task_step step;
        step.count = 1 + static_cast<int>(this->random() % 5);
        step.size = {500 + static_cast<int>(this->random() % 4000), 1000, 0};
        step.estimate = milliseconds{200 + this->random() % 800};
        step.gang = this->random() % 4 == 0;
        step.checkpointing = this->random() % 2 == 0;
        if (i > 0)
        {
            step.after = {i - 1};
        }
        out.steps.push_back(step);
    }
    out.epoch = this->epoch;
    return out;
}

void cell_model::submit_job()
{
    job made = this->make_random_job();
    bool const stale = this->chance(this->settings.injected.stale_entries) &&
                       this->placers.size() > 1;
    made.epoch -= stale ? 1 : 0;
    this->revision += 1;
    this->jobs[made.id] = {made, this->revision};
    this->invariants.submitted(made);
    if (stale)
    {
        std::size_t const newest = this->placers.size() - 1;
        this->deliver_job_to(
            0, newest, this->latency(), made.id, this->revision);
        this->deliver_job_to(newest,
                             newest + 1,
                             milliseconds{this->random() % 1500},
                             made.id,
                             this->revision);
    }
    else
    {
        this->deliver_job(made.id, this->revision);
    }
    if (this->chance(this->settings.injected.duplicates))
    {
        std::uint64_t const written = this->revision;
        this->at(milliseconds{this->random() % 6000},
                 [this, made, written]
                 {
                     std::size_t const p = this->placers.size() - 1;
                     if (written > this->placers[p].start_revision)
                     {
                         this->feed(p, job_stored{made, std::nullopt});
                     }
                 });
    }
    if (this->chance(this->settings.injected.cancels))
    {
        this->at(milliseconds{this->random() % 1500},
                 [this, id = made.id]
                 {
                     if (this->jobs.count(id) == 0)
                     {
                         return;
                     }
                     this->cancels.insert(id);
                     this->invariants.cancelled(id, this->now);
                     this->feed(this->placers.size() - 1, cancel_stored{id});
                 });
    }
}

/** Delivers the job as a message and then again as a change of the store. */
void cell_model::deliver_job(std::string const& id, std::uint64_t written)
{
    for (milliseconds delay : {this->latency(), milliseconds{1000}})
    {
        this->deliver_job_to(
            0, std::numeric_limits<std::size_t>::max(), delay, id, written);
    }
}

void cell_model::deliver_job_to(std::size_t first,
                                std::size_t last,
                                milliseconds delay,
                                std::string const& id,
                                std::uint64_t written)
{
    this->at(delay,
             [this, first, last, written, made = this->jobs.at(id).first]
             {
                 std::size_t const end = std::min(last, this->placers.size());
                 for (std::size_t p = first; p < end; ++p)
                 {
                     if (written > this->placers[p].start_revision)
                     {
                         this->feed(p, job_stored{made, std::nullopt});
                     }
                 }
             });
}

void cell_model::start_placer()
{
    this->take_over(
        this->placers.empty()
            ? milliseconds{0}
            : milliseconds{this->random() %
                           static_cast<unsigned>(max_old_placer_span.count())});
}

/** Ends the isolation of an earlier placer, if there is one. */
void cell_model::isolate_placer()
{
    for (std::unique_ptr<worker_model> const& w : this->workers)
    {
        w->isolated_with.reset();
    }
    std::size_t const old = this->placers.size() - 1;
    this->placers[old].isolated = true;
    faults const& drawn = this->settings.injected;
    int const count =
        drawn.min_isolated_workers +
        static_cast<int>(this->random() %
                         static_cast<unsigned>(drawn.max_isolated_workers -
                                               drawn.min_isolated_workers + 1));
    std::size_t which = 0;
    for (int k = 0; k < count; ++k)
    {
        // Neighbours differ, so that at least so many workers are isolated.
        bool const any = k == 0 || drawn.min_isolated_workers == 1;
        which = any ? this->random() : which + 1;
        this->isolate_worker(*this->workers[which % this->workers.size()], old);
    }
    this->take_over(isolation_span);
}

void cell_model::isolate_worker(worker_model& w, std::size_t p)
{
    w.isolated_with = p;
    this->at(isolation_span,
             [&w, p]
             {
                 if (w.isolated_with == p)
                 {
                     w.isolated_with.reset();
                 }
             });
    if (this->settings.injected.isolated_leave_list)
    {
        this->unlist_isolated_worker(w, p);
    }
}

void cell_model::unlist_isolated_worker(worker_model& w, std::size_t p)
{
    this->at(entry_lapse_span,
             [this, &w, p]
             {
                 w.listed = false;
                 for (std::size_t other = 0; other < this->placers.size();
                      ++other)
                 {
                     if (other != p)
                     {
                         this->feed(other, worker_unlisted{w.offer.id});
                     }
                 }
             });
    this->at(isolation_span,
             [this, &w]
             {
                 w.listed = true;
                 this->list_again(w.offer.id);
             });
}

void cell_model::take_over(milliseconds old_placer_span)
{
    this->epoch += 1;
    if (!this->placers.empty())
    {
        this->at(old_placer_span,
                 [this, old = this->placers.size() - 1]
                 {
                     this->placers[old].alive = false;
                 });
    }
    scheduler_settings rules;
    rules.epoch = this->epoch;
    this->placers.push_back({make_scheduler(rules, this->now),
                             this->epoch,
                             this->revision,
                             true,
                             false,
                             false,
                             {}});
    std::size_t const p = this->placers.size() - 1;
    milliseconds const longest = this->settings.injected.read_span;
    if (longest.count() == 0)
    {
        this->load_placer(p, this->read_records());
        return;
    }
    this->at(
        milliseconds{this->random() % static_cast<unsigned>(longest.count())},
        [this, p, records = this->read_records()]
        {
            this->load_placer(p, records);
        });
}

std::vector<event_body> cell_model::read_records() const
{
    std::vector<event_body> out;
    for (auto const& entry : this->jobs)
    {
        job_stored event{entry.second.first, std::nullopt};
        auto const stored = this->progress.find(entry.first);
        if (stored != this->progress.end())
        {
            event.progress = decode_progress(stored->second.first).value();
            event.progress_revision =
                static_cast<std::int64_t>(stored->second.second);
        }
        out.emplace_back(event);
    }
    for (std::string const& id : this->cancels)
    {
        if (this->jobs.count(id) != 0)
        {
            out.emplace_back(cancel_stored{id});
        }
    }
    for (auto const& entry : this->roster)
    {
        out.emplace_back(
            worker_recorded{entry.first,
                            entry.second.where,
                            static_cast<std::int64_t>(entry.second.revision),
                            entry.second.idle_since});
    }
    return out;
}

void cell_model::load_placer(std::size_t p,
                             std::vector<event_body> const& records)
{
    this->placers[p].loaded = true;
    for (event_body const& each : records)
    {
        this->feed(p, each);
    }
    this->feed(p, advice_requesters_changed{{"a", "b", "c"}});
    std::vector<event_body> const early =
        std::move(this->placers[p].early_events);
    for (event_body const& each : early)
    {
        this->feed(p, each);
    }
    for (std::unique_ptr<worker_model> const& w : this->workers)
    {
        if (w->listed)
        {
            this->feed(p, worker_listed{w->offer});
        }
    }
    this->feed(p, worker_list_complete{});
}

void cell_model::feed(std::size_t p, event_body body)
{
    if (!this->placers[p].alive)
    {
        return;
    }
    if (!this->placers[p].loaded)
    {
        bool const kept = std::holds_alternative<job_stored>(body) ||
                          std::holds_alternative<cancel_stored>(body);
        if (kept)
        {
            this->placers[p].early_events.push_back(std::move(body));
        }
        return;
    }
    std::vector<effect> const effects =
        step(*this->placers[p].state, {this->now, std::move(body)});
    for (effect const& each : effects)
    {
        this->deliver(p, each);
    }
}

worker_model* cell_model::find_reachable(std::size_t p,
                                         std::string const& worker)
{
    for (std::unique_ptr<worker_model> const& w : this->workers)
    {
        if (w->offer.id == worker)
        {
            bool const connected = w->isolated_with
                                       ? *w->isolated_with == p
                                       : !this->placers[p].isolated;
            return w->partitioned || !connected ? nullptr : w.get();
        }
    }
    return nullptr;
}

/** Delivers the answer after a latency, or a timeout if it is lost. */
void cell_model::reply(std::size_t p, event_body answer, event_body unanswered)
{
    bool const lost = this->chance(this->settings.injected.lost_answer);
    this->at(lost ? answer_timeout : this->latency(),
             [this, p, body = lost ? std::move(unanswered) : std::move(answer)]
             {
                 this->feed(p, body);
             });
}

void cell_model::deliver(std::size_t p, effect const& what)
{
    if (std::holds_alternative<stop_placing>(what))
    {
        this->placers[p].alive = false;
        if (p + 1 == this->placers.size())
        {
            this->start_placer();
        }
        return;
    }
    std::visit(
        [this, p](auto const& each)
        {
            using kind = std::decay_t<decltype(each)>;
            if constexpr (std::is_same_v<kind, poll_worker>)
            {
                this->deliver_poll(p, each);
            }
            else if constexpr (std::is_same_v<kind, start_task>)
            {
                this->deliver_start(p, each);
            }
            else if constexpr (std::is_same_v<kind, stop_task>)
            {
                this->deliver_stop(p, each);
            }
            else if constexpr (std::is_same_v<kind, request_advice>)
            {
                this->deliver_advice(p, each);
            }
            else if constexpr (std::is_same_v<kind, save_progress>)
            {
                this->deliver_save(p, each);
            }
            else if constexpr (std::is_same_v<kind, save_roster>)
            {
                this->deliver_roster(p, each);
            }
            else if constexpr (std::is_same_v<kind, read_jobs>)
            {
                this->deliver_job_read(p, each);
            }
            else if constexpr (std::is_same_v<kind, confirm_claim>)
            {
                this->deliver_claim_check(p);
            }
        },
        what);
}

void cell_model::deliver_poll(std::size_t p, poll_worker const& poll)
{
    instant const sent = this->now;
    worker_model const* const target = this->find_reachable(p, poll.worker);
    std::int64_t const incarnation =
        target == nullptr ? 0 : target->offer.incarnation;
    this->at(
        this->latency() +
            (poll.wait.count() > 0 ? milliseconds{40} : milliseconds{0}),
        [this, p, poll, sent, incarnation]
        {
            // The connection closes when the worker's process ends.
            worker_model* const w = this->find_reachable(p, poll.worker);
            if (w == nullptr || w->offer.incarnation != incarnation)
            {
                this->at(answer_timeout,
                         [this, p, poll]
                         {
                             this->feed(p,
                                        poll_failed{poll.worker,
                                                    order_outcome::unknown,
                                                    poll.token});
                         });
                return;
            }
            std::optional<worker_report> const report =
                w->poll(this->now, poll);
            poll_failed failed{poll.worker, order_outcome::fenced, poll.token};
            if (!report)
            {
                this->reply(p, failed, failed);
                return;
            }
            poll_failed unanswered{
                poll.worker, order_outcome::unknown, poll.token};
            this->reply(p,
                        poll_answered{poll.worker, poll.token, sent, *report},
                        unanswered);
        });
}

void cell_model::deliver_start(std::size_t p, start_task const& order)
{
    start_answered answer{order.worker, order.task, order.run, order.token, {}};
    start_answered unanswered = answer;
    unanswered.outcome = order_outcome::unknown;
    std::int64_t const incarnation = [this, &order]
    {
        for (auto const& w : this->workers)
        {
            if (w->offer.id == order.worker)
            {
                return w->offer.incarnation;
            }
        }
        return std::int64_t{0};
    }();
    bool const fails = this->chance(this->settings.injected.task_fails);
    milliseconds const work{100 + this->random() % 1500};
    bool const late = this->chance(this->settings.injected.late_order);
    auto const carry_out = [this, p, order, fails, work, incarnation](
                               start_answered given) -> start_answered
    {
        worker_model* const w = this->find_reachable(p, order.worker);
        job const* shape = nullptr;
        auto const open = this->jobs.find(order.task.job);
        if (open != this->jobs.end())
        {
            shape = &open->second.first;
        }
        bool const same_incarnation =
            w != nullptr && w->offer.incarnation == incarnation;
        if (!same_incarnation || shape == nullptr)
        {
            given.outcome = order_outcome::unknown;
            return given;
        }
        given.outcome =
            w->start(this->now,
                     order,
                     shape->steps[static_cast<std::size_t>(order.task.step)],
                     work,
                     fails);
        return given;
    };
    if (late)
    {
        this->at(milliseconds{2000 + this->random() % 10'000},
                 [carry_out, answer]
                 {
                     carry_out(answer);
                 });
        this->at(answer_timeout,
                 [this, p, unanswered]
                 {
                     this->feed(p, unanswered);
                 });
        return;
    }
    this->at(this->latency(),
             [this, p, carry_out, answer, unanswered]
             {
                 start_answered const done = carry_out(answer);
                 this->reply(p, done, unanswered);
             });
}

milliseconds cell_model::draw_stop_span()
{
    milliseconds const longest = this->settings.injected.stop_span;
    return longest.count() == 0
               ? longest
               : milliseconds{this->random() %
                              static_cast<unsigned>(longest.count())};
}

void cell_model::deliver_stop(std::size_t p, stop_task const& order)
{
    stop_answered unanswered{order.worker,
                             order.task,
                             order.run,
                             order.token,
                             order_outcome::unknown};
    this->at(this->latency(),
             [this, p, order, unanswered]
             {
                 worker_model* const w = this->find_reachable(p, order.worker);
                 stop_answered done = unanswered;
                 if (w != nullptr)
                 {
                     done.outcome =
                         w->stop(this->now, order, this->draw_stop_span());
                 }
                 this->reply(p, done, unanswered);
             });
}

void cell_model::deliver_advice(std::size_t p, request_advice const& call)
{
    advice_answered answer;
    answer.call = call.call;
    answer.requester = call.requester;
    answer.job = call.job;
    answer.step = call.step;
    answer.requested = call.workers;
    advice_answered unanswered = answer;
    answer.answered = true;
    answer.validity = milliseconds{1500};
    for (std::string const& worker : call.workers)
    {
        std::size_t const drawn = std::hash<std::string>()(
            call.job + worker + std::to_string(call.step));
        // Two workers are allowed for every step; otherwise a gang might never
        // run.
        if (drawn % 10 < 6 || worker.substr(0, 2) == "w0" || worker == "w1")
        {
            answer.allowed.push_back({worker, "ticket"});
        }
    }
    this->reply(p, answer, unanswered);
}

/** Stores all records, or none if the epoch or a revision isn't as expected. */
progress_saved cell_model::store_progress(std::size_t p,
                                          save_progress const& call)
{
    progress_saved outcome;
    outcome.save = call.save;
    if (this->placers[p].epoch != this->epoch || this->now < this->store_up_at)
    {
        return outcome;
    }
    for (progress_record const& record : call.records)
    {
        auto const stored = this->progress.find(record.job);
        std::int64_t const found =
            stored == this->progress.end()
                ? 0
                : static_cast<std::int64_t>(stored->second.second);
        if (!record.ended && found != record.expected)
        {
            outcome.found[record.job] = found;
        }
    }
    if (!outcome.found.empty())
    {
        outcome.outcome = save_outcome::conflict;
        return outcome;
    }
    this->revision += 1;
    outcome.outcome = save_outcome::stored;
    outcome.revision = static_cast<std::int64_t>(this->revision);
    for (progress_record const& record : call.records)
    {
        job_state const state = decode_progress(record.bytes).value().state;
        // Readers look up the record of the job's end before its progress.
        if (record.ended || this->jobs.count(record.job) != 0)
        {
            this->invariants.state_reported(record.job, state);
        }
        if (record.ended)
        {
            this->jobs_done += this->jobs.erase(record.job) != 0 ? 1 : 0;
            this->progress.erase(record.job);
        }
        else
        {
            this->progress[record.job] = {record.bytes, this->revision};
        }
    }
    return outcome;
}

/** Stores all changes, or none if the epoch or a revision isn't as expected. */
roster_saved cell_model::store_roster(std::size_t p, save_roster const& call)
{
    roster_saved outcome;
    outcome.save = call.save;
    if (this->placers[p].epoch != this->epoch || this->now < this->store_up_at)
    {
        return outcome;
    }
    for (roster_change const& change : call.changes)
    {
        auto const stored = this->roster.find(change.worker);
        std::int64_t const found =
            stored == this->roster.end()
                ? 0
                : static_cast<std::int64_t>(stored->second.revision);
        if (found != change.expected)
        {
            outcome.found[change.worker] = found;
        }
    }
    if (!outcome.found.empty())
    {
        outcome.outcome = save_outcome::conflict;
        return outcome;
    }
    this->revision += 1;
    outcome.outcome = save_outcome::stored;
    outcome.revision = static_cast<std::int64_t>(this->revision);
    for (roster_change const& change : call.changes)
    {
        if (change.where)
        {
            this->roster[change.worker] = {
                *change.where,
                this->revision,
                change.idle ? std::optional<instant>(this->now) : std::nullopt};
        }
        else
        {
            this->roster.erase(change.worker);
        }
    }
    return outcome;
}

void cell_model::deliver_roster(std::size_t p, save_roster const& call)
{
    roster_saved unanswered;
    unanswered.save = call.save;
    if (this->chance(this->settings.injected.late_save))
    {
        this->at(milliseconds{1000 + this->random() % 5000},
                 [this, p, call]
                 {
                     this->store_roster(p, call);
                 });
        this->at(answer_timeout,
                 [this, p, unanswered]
                 {
                     this->feed(p, unanswered);
                 });
        return;
    }
    this->at(this->latency(),
             [this, p, call, unanswered]
             {
                 bool const unknown =
                     this->chance(this->settings.injected.store_unknown);
                 roster_saved const done = this->store_roster(p, call);
                 this->at(this->latency(),
                          [this, p, body = unknown ? unanswered : done]
                          {
                              this->feed(p, body);
                          });
             });
}

void cell_model::deliver_job_read(std::size_t p, read_jobs const& call)
{
    this->job_reads += 1;
    this->at(this->latency(),
             [this, p, call]
             {
                 if (this->now < this->store_up_at ||
                     this->chance(this->settings.injected.store_unknown))
                 {
                     this->at(answer_timeout,
                              [this, p, call]
                              {
                                  this->deliver_job_read(p, call);
                              });
                     return;
                 }
                 this->at(this->latency(),
                          [this, p, call, stored = this->jobs]
                          {
                              for (auto const& entry : stored)
                              {
                                  this->feed(p,
                                             job_stored{entry.second.first,
                                                        std::nullopt});
                              }
                              this->feed(p, jobs_read{call.read});
                          });
             });
}

/** A placer with a successor gets no answer, as if cut off from the store. */
void cell_model::deliver_claim_check(std::size_t p)
{
    instant const sent = this->now;
    this->at(this->latency(),
             [this, p, sent]
             {
                 bool const silent =
                     this->now < this->store_up_at ||
                     this->chance(this->settings.injected.store_unknown);
                 bool const confirmed =
                     !silent && this->placers[p].epoch == this->epoch;
                 this->at(confirmed ? this->latency() : answer_timeout,
                          [this, p, sent, confirmed]
                          {
                              this->feed(p, claim_checked{sent, confirmed});
                          });
             });
}

void cell_model::deliver_save(std::size_t p, save_progress const& call)
{
    progress_saved unanswered;
    unanswered.save = call.save;
    if (this->chance(this->settings.injected.late_save))
    {
        this->at(milliseconds{1000 + this->random() % 5000},
                 [this, p, call]
                 {
                     this->store_progress(p, call);
                 });
        this->at(answer_timeout,
                 [this, p, unanswered]
                 {
                     this->feed(p, unanswered);
                 });
        return;
    }
    this->at(this->latency(),
             [this, p, call, unanswered]
             {
                 bool const unknown =
                     this->chance(this->settings.injected.store_unknown);
                 bool const skipped = unknown && this->random() % 2 == 0;
                 progress_saved const done =
                     skipped ? unanswered : this->store_progress(p, call);
                 this->at(this->latency(),
                          [this, p, body = unknown ? unanswered : done]
                          {
                              this->feed(p, body);
                          });
             });
}

} // namespace cicada::batch::model
