#include "worker_model.hpp"

#include <algorithm>

namespace cicada::batch::model
{

namespace
{

/** By the worker's clock, whatever deadline an order carries. */
constexpr std::int64_t lease_limit_ms =
    scheduler_settings{}.lease_limit.count();

} // namespace

worker_model::worker_model(worker_offer const& given, checker& checked_by)
    : offer(given), invariants(checked_by)
{
}

std::int64_t worker_model::clock(instant now) const
{
    return (now - this->life_began).count() * 98 / 100;
}

resources worker_model::used() const
{
    resources sum;
    for (auto const& entry : this->runs)
    {
        sum = sum + entry.second.size;
    }
    return sum;
}

void worker_model::extend(instant now, std::optional<std::int64_t> until)
{
    if (until)
    {
        this->lease_until =
            std::max(this->lease_until,
                     std::min(*until, this->clock(now) + lease_limit_ms));
    }
}

void worker_model::note_lapse(instant now)
{
    if (this->clock(now) > this->lease_until)
    {
        this->lapsed_ends = this->next_end - 1;
    }
}

order_outcome worker_model::start(instant now,
                                  start_task const& order,
                                  task_step const& shape,
                                  milliseconds work,
                                  bool fails)
{
    if (order.token < this->token)
    {
        return order_outcome::fenced;
    }
    this->token = order.token;
    auto const here = this->runs.find(order.task);
    if (here != this->runs.end() && here->second.run == order.run)
    {
        return order_outcome::done;
    }
    if (order.lease_until < this->clock(now) ||
        order.run <= this->refused_up_to[order.task] ||
        here != this->runs.end())
    {
        return order_outcome::refused;
    }
    this->extend(now, order.lease_until);
    this->runs[order.task] = {
        order.run, shape.size, work, fails, shape.gang, now, {}};
    this->invariants.started(now,
                             order.task,
                             order.run,
                             this->offer.id,
                             this->used(),
                             this->offer.capacity);
    return order_outcome::done;
}

order_outcome
worker_model::stop(instant now, stop_task const& order, milliseconds span)
{
    if (order.token < this->token)
    {
        return order_outcome::fenced;
    }
    this->token = order.token;
    std::uint64_t& mark = this->refused_up_to[order.task];
    mark = std::max(mark, order.run);
    auto const here = this->runs.find(order.task);
    if (here != this->runs.end() && here->second.run == order.run)
    {
        if (span.count() == 0)
        {
            this->end(order.task, run_end::stopped);
        }
        else if (!here->second.stops_at)
        {
            here->second.stops_at = now + span;
        }
    }
    return order_outcome::done;
}

std::optional<worker_report> worker_model::poll(instant now,
                                                poll_worker const& order)
{
    if (order.token < this->token)
    {
        return std::nullopt;
    }
    this->token = order.token;
    this->note_lapse(now);
    this->extend(now, order.lease_until);
    for (finished_run const& end : this->ends)
    {
        if (end.number <= order.acknowledged && end.number > this->lapsed_ends)
        {
            this->invariants.acknowledged(end.task, end.run);
        }
    }
    std::uint64_t const through = order.acknowledged;
    this->ends.erase(std::remove_if(this->ends.begin(),
                                    this->ends.end(),
                                    [through](finished_run const& end)
                                    {
                                        return end.number <= through;
                                    }),
                     this->ends.end());
    worker_report report;
    report.incarnation = this->offer.incarnation;
    report.clock_ms = this->clock(now);
    for (auto const& entry : this->runs)
    {
        report.active.push_back({entry.first, entry.second.run, ""});
    }
    std::size_t const listed =
        std::min(this->ends.size(), this->ends_per_report);
    report.finished.assign(this->ends.begin(),
                           this->ends.begin() +
                               static_cast<std::ptrdiff_t>(listed));
    report.more_finished = listed < this->ends.size();
    return report;
}

void worker_model::end(task_ref const& task, run_end how)
{
    auto const found = this->runs.find(task);
    std::uint64_t const run = found->second.run;
    this->runs.erase(found);
    std::uint64_t& mark = this->refused_up_to[task];
    mark = std::max(mark, run);
    this->ends.push_back({this->next_end++, task, run, how, ""});
    this->invariants.ended(task, run, this->offer.id, how);
}

void worker_model::crash(instant now, std::int64_t incarnation)
{
    for (auto const& entry : this->runs)
    {
        this->invariants.ended(
            entry.first, entry.second.run, this->offer.id, run_end::lapsed);
    }
    this->runs.clear();
    this->ends.clear();
    this->refused_up_to.clear();
    this->next_end = 1;
    this->lapsed_ends = 0;
    this->token = 0;
    this->life_began = now;
    this->lease_until = 0;
    this->offer.incarnation = incarnation;
}

void worker_model::advance(instant now, milliseconds span)
{
    this->note_lapse(now);
    std::vector<std::pair<task_ref, run_end>> over;
    bool const lapsed = this->clock(now) > this->lease_until;
    for (auto& entry : this->runs)
    {
        model_run& run = entry.second;
        if (lapsed)
        {
            over.emplace_back(entry.first, run_end::lapsed);
            continue;
        }
        if (run.stops_at)
        {
            if (now >= *run.stops_at)
            {
                over.emplace_back(entry.first, run_end::stopped);
            }
            continue;
        }
        if (run.gang)
        {
            continue;
        }
        run.work_left -= span;
        if (run.work_left.count() <= 0)
        {
            over.emplace_back(entry.first,
                              run.fails ? run_end::failed : run_end::done);
        }
    }
    for (auto const& each : over)
    {
        this->end(each.first, each.second);
    }
}

} // namespace cicada::batch::model
