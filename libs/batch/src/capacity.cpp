#include "placing.hpp"

#include <algorithm>

namespace cicada::batch
{

namespace
{

/** Remaining validity that a ticket needs: twice the network time to the
 * worker. */
constexpr milliseconds ticket_margin{150};
constexpr std::size_t max_workers_per_call = 100; //!< limit of an advice call
/** Other steps may use some of the capacity before the answer arrives. */
constexpr double capacity_factor = 1.5;
/** Higher for gangs: no capacity is withheld for a gang while it requests
 * advice, and all its tasks must fit at the same time. With many workers
 * allowed it needs little capacity on each. */
constexpr double gang_capacity_factor = 4.0;
/** Workers; compensates for the variance of the advisor's answers. */
constexpr double min_expected_allowed = 3.0;
/** A call includes extra workers until their time reaches this share of the
 * call's fixed time. */
constexpr double cheap_time_share = 0.25;
/** Workers with withheld capacity while advice on a task is requested. */
constexpr int withheld_workers_per_task = 3;

bool has_label(worker_record const& w, std::string const& label)
{
    return std::find(w.offer.labels.begin(), w.offer.labels.end(), label) !=
           w.offer.labels.end();
}

/** Returns whether the worker has the step's service and required label. */
bool is_eligible(worker_record const& w, waiting_step const& step)
{
    task_step const& shape = step.shape();
    return w.offer.service == step.j->terms.service &&
           (shape.required_label.empty() || has_label(w, shape.required_label));
}

/** Returns on how many workers of an advice call the capacity of one task is
 * withheld. */
int withheld_workers(waiting_step const& step)
{
    return step.shape().gang ? 0 : step.startable * withheld_workers_per_task;
}

candidate make_candidate(worker_view& worker, waiting_step const& step)
{
    std::string const& rack = step.shape().data_rack;
    return {&worker,
            tasks_that_fit(worker, step),
            rack.empty() || has_label(*worker.w, rack)};
}

/** Returns whether some worker may run the step, now or later, on which the
 * job's tasks haven't failed recently. */
bool has_other_workers(scheduler const& s,
                       waiting_step const& step,
                       free_capacity& capacity)
{
    std::vector<worker_view*> const allowed = allowed_workers(step, capacity);
    auto const is_other = [&s, &step](worker_view const& worker)
    {
        return !avoids(s, *step.j, *worker.w);
    };
    return std::any_of(allowed.begin(),
                       allowed.end(),
                       [&is_other](worker_view const* worker)
                       {
                           return is_other(*worker);
                       }) ||
           std::any_of(capacity.workers.begin(),
                       capacity.workers.end(),
                       [&step, &is_other](worker_view const& worker)
                       {
                           return awaits_advice(step, worker) &&
                                  is_other(worker);
                       });
}

/** Lets the step use the workers that its job avoids if there are no others. */
void use_avoided_workers(scheduler const& s,
                         waiting_step const& step,
                         free_capacity& capacity,
                         step_candidates& found)
{
    if (!found.avoided.empty() && !has_other_workers(s, step, capacity))
    {
        found.ready.insert(
            found.ready.end(), found.avoided.begin(), found.avoided.end());
    }
}

} // namespace

free_capacity gather_free_capacity(scheduler& s)
{
    free_capacity capacity;
    capacity.workers.reserve(s.workers.size());
    std::set<std::uint32_t> const excluded = excluded_workers(s);
    for (auto& entry : s.workers)
    {
        worker_record& w = entry.second;
        if (!usable(s, w) || excluded.count(w.number) != 0)
        {
            continue;
        }
        worker_view next{&w, w.offer.capacity - w.used, {}, s.now};
        next.doubted = is_doubted(s, w);
        next.speed = speed_of(s, w);
        next.speed_class = speed_class(next.speed);
        for (auto const& run : w.runs)
        {
            next.free_at = std::max(next.free_at, run.second.expected_end);
            if (run.second.phase == run_phase::stopping)
            {
                next.leaving = next.leaving + run.second.size;
            }
        }
        capacity.max_free_milli_cores =
            std::max(capacity.max_free_milli_cores, next.free.milli_cores);
        capacity.workers.push_back(next);
    }
    capacity.by_number.resize(s.workers.size(), nullptr);
    for (worker_view& each : capacity.workers)
    {
        capacity.by_number[each.w->number] = &each;
    }
    return capacity;
}

int tasks_that_fit(worker_view const& worker, waiting_step const& step)
{
    task_step const& shape = step.shape();
    std::int64_t fits = shape.count;
    auto const limit = [&fits](std::int64_t have, std::int64_t need)
    {
        if (need > 0)
        {
            fits = std::min(fits, std::max<std::int64_t>(have, 0) / need);
        }
    };
    limit(worker.free.milli_cores, shape.size.milli_cores);
    limit(worker.free.memory_mib, shape.size.memory_mib);
    limit(worker.free.accelerators, shape.size.accelerators);
    if (shape.per_worker > 0)
    {
        std::string const& job = step.j->accepted.id;
        std::int64_t here = 0;
        auto run = worker.w->runs.lower_bound({job, step.step, 0});
        for (; run != worker.w->runs.end() && run->first.job == job &&
               run->first.step == step.step;
             ++run)
        {
            ++here;
        }
        fits = std::min<std::int64_t>(fits, shape.per_worker - here);
    }
    return static_cast<int>(std::max<std::int64_t>(fits, 0));
}

int total_capacity(std::vector<candidate> const& all)
{
    int sum = 0;
    for (candidate const& c : all)
    {
        sum += c.capacity;
    }
    return sum;
}

step_candidates find_candidates(scheduler const& s,
                                waiting_step const& step,
                                free_capacity& capacity)
{
    step_candidates found;
    auto const add = [&s, &step, &found](worker_view& worker, bool valid)
    {
        candidate const c = make_candidate(worker, step);
        if (c.capacity == 0 || worker.reserved ||
            ends_late_on(s, step, worker.speed))
        {
            return;
        }
        if (!valid)
        {
            found.expired.push_back(c);
            return;
        }
        (avoids(s, *step.j, *worker.w) ? found.avoided : found.ready)
            .push_back(c);
    };
    if (!step.j->terms.advice)
    {
        for (worker_view& worker : capacity.workers)
        {
            if (is_eligible(*worker.w, step))
            {
                add(worker, true);
            }
        }
        found.with_advice = capacity.workers.size();
        use_avoided_workers(s, step, capacity, found);
        return found;
    }
    auto& advice = step.record().advice;
    for (auto each = advice.begin(); each != advice.end();)
    {
        worker_view* const worker = capacity.find(each->first);
        if (worker != nullptr &&
            worker->w->incarnation != each->second.incarnation)
        {
            each = advice.erase(each);
            continue;
        }
        if (worker != nullptr)
        {
            found.with_advice += 1;
            bool const valid = each->second.valid_until > s.now + ticket_margin;
            if (each->second.allowed && is_eligible(*worker->w, step))
            {
                add(*worker, valid);
            }
        }
        ++each;
    }
    use_avoided_workers(s, step, capacity, found);
    return found;
}

std::vector<candidate> candidates_without_advice(waiting_step const& step,
                                                 free_capacity& capacity)
{
    std::vector<candidate> found;
    bool const gang = step.shape().gang;
    for (worker_view& worker : capacity.workers)
    {
        if (worker.reserved || !awaits_advice(step, worker))
        {
            continue;
        }
        candidate const c = make_candidate(worker, step);
        if (c.capacity > 0 || gang)
        {
            found.push_back(c);
        }
    }
    return found;
}

std::vector<worker_view*> allowed_workers(waiting_step const& step,
                                          free_capacity& capacity)
{
    std::vector<worker_view*> found;
    if (!step.j->terms.advice)
    {
        for (worker_view& worker : capacity.workers)
        {
            if (is_eligible(*worker.w, step))
            {
                found.push_back(&worker);
            }
        }
        return found;
    }
    for (auto const& each : step.record().advice)
    {
        worker_view* const worker = capacity.find(each.first);
        if (worker != nullptr && each.second.allowed &&
            worker->w->incarnation == each.second.incarnation &&
            is_eligible(*worker->w, step))
        {
            found.push_back(worker);
        }
    }
    return found;
}

bool awaits_advice(waiting_step const& step, worker_view const& worker)
{
    return step.j->terms.advice &&
           step.record().advice.count(worker.w->number) == 0 &&
           is_eligible(*worker.w, step);
}

void request_more_advice(scheduler& s,
                         waiting_step const& step,
                         free_capacity& capacity,
                         std::vector<candidate> allowed,
                         std::vector<candidate> unasked)
{
    std::vector<worker_record const*> named;
    double const share = allowed_share(s, *step.j);
    double tasks = 0.0;   // expected number that fit
    double workers = 0.0; // expected number of allowed workers
    double const wanted =
        step.startable *
        (step.shape().gang ? gang_capacity_factor : capacity_factor);
    advice_terms const& terms = *step.j->terms.advice;
    double const cheap = terms.decision_ms * cheap_time_share;
    auto const request = [&](candidate const& c, double likely)
    {
        bool const enough =
            tasks >= wanted && workers >= min_expected_allowed &&
            terms.per_worker_ms * static_cast<double>(named.size()) >= cheap;
        if (enough || named.size() >= max_workers_per_call ||
            ends_late_on(s, step, c.worker->speed))
        {
            return;
        }
        named.push_back(c.worker->w);
        tasks += likely * c.capacity;
        workers += likely;
    };
    int const preference = speed_preference(s, step);
    auto const is_better = [preference](candidate const& a, candidate const& b)
    {
        int const left = preference * a.worker->speed_class;
        int const right = preference * b.worker->speed_class;
        return left != right ? left < right : has_more_capacity(a, b);
    };
    std::sort(allowed.begin(), allowed.end(), is_better);
    std::sort(unasked.begin(), unasked.end(), is_better);
    for (candidate const& c : allowed)
    {
        request(c, 1.0);
    }
    for (candidate const& c : unasked)
    {
        request(c, share);
    }
    // A step that can't ask yet may wait for long: others use the capacity.
    if (!named.empty() && call_advisor(s, *step.j, step.step, named, step.late))
    {
        withhold_requested_capacity(step, capacity);
    }
}

void withhold_requested_capacity(waiting_step const& step,
                                 free_capacity& capacity)
{
    int to_withhold = withheld_workers(step);
    for (std::uint32_t number : step.record().advice_workers)
    {
        worker_view* const worker = capacity.find(number);
        if (worker != nullptr && to_withhold-- > 0)
        {
            worker->free = worker->free - step.shape().size;
        }
    }
}

void place_task(scheduler& s,
                waiting_step const& step,
                int index,
                std::uint64_t run,
                worker_view& worker)
{
    task_ref const task{step.j->accepted.id, step.step, index};
    if (worker.w->runs.count(task) != 0)
    {
        return;
    }
    auto const& advice = step.record().advice;
    auto const found = advice.find(worker.w->number);
    worker.free = worker.free - step.shape().size;
    start_run(s,
              *worker.w,
              *step.j,
              task,
              run,
              found == advice.end() ? "" : found->second.ticket);
}

bool has_more_capacity(candidate const& left, candidate const& right)
{
    if (left.worker->doubted != right.worker->doubted)
    {
        return right.worker->doubted;
    }
    return left.capacity != right.capacity ? left.capacity > right.capacity
                                           : left.worker < right.worker;
}

std::string rack_of(worker_record const& w)
{
    return w.offer.labels.size() > 1 ? w.offer.labels[1] : "";
}

} // namespace cicada::batch
