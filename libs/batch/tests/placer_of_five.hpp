#pragma once

#include "batch/batch.hpp"

#include <gtest/gtest.h>

#include <set>

namespace cicada::batch
{

constexpr milliseconds leader_lease = scheduler_settings{}.leader_lease;
/** Longer than the leader lease and the longest lease of a worker. */
constexpr milliseconds all_leases{14'000};

/** A placer of a fleet whose answers, and those of the store, come only while
 * the test lets them. */
class placer_of_five : public testing::Test
{
protected:
    void SetUp() override
    {
        scheduler_settings settings;
        settings.epoch = 2;
        this->scheduler = make_scheduler(settings, this->now);
        for (int k = 1; k <= 5; ++k)
        {
            std::string const id = "w" + std::to_string(k);
            this->incarnations[id] = 1;
            this->feed(worker_recorded{id, {"127.0.0.1", std::uint16_t(k)}, k});
        }
        for (auto const& each : this->incarnations)
        {
            this->list(each.first);
        }
        this->feed(worker_list_complete{});
    }

    void list(std::string const& worker)
    {
        worker_offer offer;
        offer.id = worker;
        offer.service = "s";
        offer.where = {"127.0.0.1", std::uint16_t(worker.back() - '0')};
        offer.capacity = {1000, 65'536, 0};
        offer.incarnation = this->incarnations.at(worker);
        this->feed(worker_listed{offer});
    }

    void restart(std::string const& worker)
    {
        this->incarnations[worker] += 1;
        this->runs[worker].clear();
        this->list(worker);
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

    void reach(std::set<std::string> const& workers)
    {
        this->reachable = workers;
    }

    /** Each task fills a worker. */
    void submit(std::string const& id, std::uint64_t epoch)
    {
        job made;
        made.id = id;
        made.queue.name = "q";
        made.queue.service = "s";
        made.spec = "x";
        made.epoch = epoch;
        task_step only;
        only.size = {1000, 100, 0};
        only.estimate = milliseconds{500};
        made.steps.push_back(only);
        this->feed(job_stored{made, {}, 0});
    }

    void feed(event_body body)
    {
        std::vector<event_body> events{std::move(body)};
        for (std::size_t k = 0; k < events.size(); ++k)
        {
            for (effect const& each :
                 step(*this->scheduler, {this->now, events[k]}))
            {
                this->carry_out(each, events);
            }
        }
    }

    void carry_out(effect const& each, std::vector<event_body>& replies)
    {
        if (std::holds_alternative<confirm_claim>(each))
        {
            replies.emplace_back(claim_checked{this->now, this->store_answers});
        }
        else if (save_roster const* const save =
                     std::get_if<save_roster>(&each))
        {
            for (roster_change const& change : save->changes)
            {
                this->idle.erase(change.worker);
                if (change.idle)
                {
                    this->idle.insert(change.worker);
                }
            }
            if (this->store_answers)
            {
                replies.emplace_back(
                    roster_saved{save->save, save_outcome::stored, 50, {}});
            }
        }
        else if (poll_worker const* const poll =
                     std::get_if<poll_worker>(&each))
        {
            this->leases += poll->lease_until ? 1 : 0;
            if (this->reachable.count(poll->worker) == 0)
            {
                replies.emplace_back(poll_failed{
                    poll->worker, order_outcome::unknown, poll->token});
                return;
            }
            worker_report report;
            report.incarnation = this->incarnations.at(poll->worker);
            report.clock_ms = this->now.time_since_epoch().count();
            report.active = this->runs[poll->worker];
            replies.emplace_back(
                poll_answered{poll->worker, poll->token, this->now, report});
        }
        else if (start_task const* const start = std::get_if<start_task>(&each))
        {
            this->started_on.push_back(start->worker);
            this->runs[start->worker].push_back({start->task, start->run, ""});
            replies.emplace_back(start_answered{start->worker,
                                                start->task,
                                                start->run,
                                                start->token,
                                                order_outcome::done});
        }
    }

    std::set<std::string> const all{"w1", "w2", "w3", "w4", "w5"};
    std::set<std::string> reachable; //!< none at first
    std::map<std::string, std::int64_t> incarnations;
    std::map<std::string, std::vector<active_run>> runs; //!< by worker
    bool store_answers = true;
    instant now{milliseconds{100'000}};
    scheduler_ptr scheduler;
    std::vector<std::string> started_on;
    std::set<std::string> idle; //!< workers that are stored so
    int leases = 0;             //!< polls that extended one
};

} // namespace cicada::batch
