#pragma once

#include "batch/batch.hpp"

#include <gtest/gtest.h>

#include <functional>
#include <map>
#include <set>

namespace cicada::batch
{

/** A run that a worker of the fleet was ordered to start. */
struct started_run
{
    std::string worker;
    instant at;

    bool operator==(started_run const&) const = default;
};

/**
 * A placer and workers that answer at once. Runs take `run_span` and end as
 * `outcome` says; workers in `silent` answer nothing.
 */
class fleet_of_workers : public testing::Test
{
protected:
    struct worker_state
    {
        worker_offer offer;
        std::map<task_ref, std::pair<std::uint64_t, instant>> active;
        std::vector<finished_run> finished;
        std::uint64_t ends = 0;
    };

    void start_placer(std::uint64_t epoch)
    {
        scheduler_settings settings;
        settings.epoch = epoch;
        this->scheduler = make_scheduler(settings, this->now);
    }

    worker_offer const& make_worker(std::string const& id)
    {
        auto const added = this->workers.emplace(id, worker_state{});
        worker_offer& offer = added.first->second.offer;
        if (added.second)
        {
            offer.id = id;
            offer.service = "s";
            offer.where = {"127.0.0.1",
                           std::uint16_t(1000 + this->workers.size())};
            offer.capacity = {32'000, 65'536, 0};
            offer.labels = {"a", "r1"};
            offer.incarnation = 1;
        }
        return offer;
    }

    void add_worker(std::string const& id)
    {
        this->feed(worker_listed{this->make_worker(id)});
    }

    /** The worker is in the roster that the placer reads. */
    void record_worker(std::string const& id)
    {
        this->feed(worker_recorded{id, this->make_worker(id).where, 1});
    }

    static job make_job(std::string const& id, int count, int milli_cores)
    {
        job made;
        made.id = id;
        made.queue.name = "q";
        made.queue.service = "s";
        made.queue.max_attempts = 4;
        made.spec = "x";
        task_step only;
        only.count = count;
        only.size = {milli_cores, 64, 0};
        only.estimate = milliseconds{500};
        made.steps.push_back(only);
        return made;
    }

    void run_for(milliseconds span)
    {
        constexpr milliseconds tick{20};
        for (instant const end = this->now + span; this->now < end;)
        {
            this->now += tick;
            this->feed(time_passed{});
        }
    }

    void feed(event_body body)
    {
        std::vector<event_body> events{std::move(body)};
        for (std::size_t k = 0; k < events.size(); ++k)
        {
            event const next{this->now, events[k]};
            for (effect const& each : step(*this->scheduler, next))
            {
                this->carry_out(each, events);
            }
        }
    }

    void carry_out(effect const& each, std::vector<event_body>& replies)
    {
        if (std::holds_alternative<confirm_claim>(each))
        {
            replies.emplace_back(claim_checked{this->now, true});
        }
        else if (auto const* const roster = std::get_if<save_roster>(&each))
        {
            for (roster_change const& change : roster->changes)
            {
                this->recorded.erase(change.worker);
                if (change.where && !change.idle)
                {
                    this->recorded[change.worker] = *change.where;
                }
            }
            replies.emplace_back(
                roster_saved{roster->save, save_outcome::stored, 50, {}});
        }
        else if (auto const* const save = std::get_if<save_progress>(&each))
        {
            replies.emplace_back(
                progress_saved{save->save, save_outcome::stored, 60, {}});
        }
        else if (auto const* const poll = std::get_if<poll_worker>(&each))
        {
            replies.push_back(this->answer(*poll));
        }
        else if (auto const* const order = std::get_if<start_task>(&each))
        {
            (this->holds_starts ? this->held_answers : replies)
                .push_back(this->answer(*order));
        }
        else if (auto const* const entry = std::get_if<log_decision>(&each))
        {
            this->log.push_back(entry->detail);
        }
    }

    event_body answer(poll_worker const& poll)
    {
        if (this->silent.count(poll.worker) != 0)
        {
            return poll_failed{poll.worker, order_outcome::unknown, poll.token};
        }
        worker_state& w = this->workers.at(poll.worker);
        worker_report report;
        report.incarnation = w.offer.incarnation;
        report.clock_ms = this->now.time_since_epoch().count();
        for (auto each = w.active.begin(); each != w.active.end();)
        {
            if (each->second.second > this->now)
            {
                report.active.push_back({each->first, each->second.first, ""});
                ++each;
                continue;
            }
            w.finished.push_back({++w.ends,
                                  each->first,
                                  each->second.first,
                                  this->outcome(poll.worker, each->first),
                                  ""});
            each = w.active.erase(each);
        }
        std::erase_if(w.finished,
                      [&poll](finished_run const& end)
                      {
                          return end.number <= poll.acknowledged;
                      });
        report.finished = w.finished;
        return poll_answered{poll.worker, poll.token, this->now, report};
    }

    event_body answer(start_task const& order)
    {
        start_answered reply{order.worker,
                             order.task,
                             order.run,
                             order.token,
                             order_outcome::unknown};
        if (this->silent.count(order.worker) == 0)
        {
            this->workers.at(order.worker).active[order.task] = {
                order.run,
                this->now + (this->task_span
                                 ? this->task_span(order.worker, order.task)
                                 : this->run_span)};
            this->starts[order.task.job].push_back({order.worker, this->now});
            reply.outcome = order_outcome::done;
        }
        return reply;
    }

    instant now{milliseconds{10'000}};
    milliseconds run_span{200};
    /** Overrides `run_span` if it is set. */
    std::function<milliseconds(std::string const& worker, task_ref const& task)>
        task_span;
    scheduler_ptr scheduler = make_scheduler({}, this->now);
    std::map<std::string, worker_state> workers;
    std::set<std::string> silent;
    bool holds_starts = false; //!< answers to starts are held back
    std::vector<event_body> held_answers;
    std::function<run_end(std::string const& worker, task_ref const& task)>
        outcome = [](std::string const&, task_ref const&)
    {
        return run_end::done;
    };
    std::map<std::string, std::vector<started_run>> starts; //!< by job
    /** By this placer, as workers in use. */
    std::map<std::string, address> recorded;
    std::vector<std::string> log;
};

} // namespace cicada::batch
