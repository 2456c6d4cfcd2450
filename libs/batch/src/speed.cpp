#include "placing.hpp"

#include "event_numbers/event_numbers.hpp"

#include <algorithm>
#include <cmath>

namespace cicada::batch
{

namespace
{

/** Observations at the usual speed that each worker starts with. */
constexpr double prior_samples = 2.0;
/** A worker that becomes slow shows after about as many tasks. */
constexpr int max_samples = 20;
constexpr int min_samples = 3;
/** Of the logarithm: 3% of the tasks take seven times as long as others. */
constexpr double max_deviation = 0.7;
constexpr double noise_gain = 0.01;
/** Tasks of a step that are compared with each other. */
constexpr std::size_t min_compared_tasks = 3;
/** The variance between workers against the one that noise explains. */
constexpr double min_variance_ratio = 4.0;
constexpr double min_spread = 0.15; //!< standard deviation of the logarithm
constexpr milliseconds check_interval{1000};
/** Width of a class of speeds, as a logarithm. */
constexpr double class_width = 0.25;
/** A step with less time than this many times its estimate prefers fast
 * workers; one with more than `loose_factor` leaves them to others. */
constexpr double tight_factor = 2.0;
constexpr double loose_factor = 3.0;

struct observation
{
    worker_record* worker = nullptr;
    double log_time = 0.0;
};

/** Returns the workers' run times of the step that are still of use. */
std::vector<observation> observations_of(scheduler& s, step_record const& step)
{
    std::vector<observation> out;
    for (run_time const& each : step.run_times)
    {
        auto const w = s.workers.find(each.worker);
        if (w != s.workers.end() && w->second.incarnation == each.incarnation)
        {
            out.push_back({&w->second, each.log_ms});
        }
    }
    return out;
}

void add_observation(scheduler& s, worker_record& w, double deviation)
{
    speed_record& speed = w.speed;
    if (speed.samples >= min_samples)
    {
        s.speeds.noise += noise_gain * (deviation * deviation - s.speeds.noise);
    }
    speed.samples = std::min(speed.samples + 1, max_samples);
    speed.log_speed -=
        deviation / (static_cast<double>(speed.samples) + prior_samples);
}

/** Returns how long the step's tasks may take and be in time. */
milliseconds time_left(scheduler const& s, waiting_step const& step)
{
    return std::chrono::duration_cast<milliseconds>(step.latest_start - s.now) +
           step.shape().estimate;
}

double to_ms(milliseconds span)
{
    return static_cast<double>(span.count());
}

} // namespace

void note_run_time(scheduler& s,
                   worker_record const& w,
                   task_ref const& task,
                   run_record const& run)
{
    step_record& step =
        s.jobs.at(task.job).steps[static_cast<std::size_t>(task.step)];
    task_step const& shape =
        s.jobs.at(task.job).accepted.steps[static_cast<std::size_t>(task.step)];
    milliseconds const span =
        std::chrono::duration_cast<milliseconds>(s.now - run.started);
    // A gang runs at the pace of its slowest member; a resumed task and one
    // away from its data take another time on the same worker.
    if (shape.gang || !run.start_confirmed ||
        !run.checkpoint_at_start.empty() || !shape.data_rack.empty() ||
        span.count() <= 0)
    {
        return;
    }
    step.run_times.push_back({w.offer.id,
                              w.incarnation,
                              std::log(static_cast<double>(span.count()))});
}

void learn_speeds(scheduler& s, step_record& step)
{
    std::vector<observation> const seen = observations_of(s, step);
    step.run_times.clear();
    if (seen.size() < min_compared_tasks)
    {
        return;
    }
    // What a task would take on a worker of the usual speed. Comparing the
    // tasks of one step cancels the error of its estimate.
    double sum = 0.0;
    for (observation const& each : seen)
    {
        sum += each.log_time + each.worker->speed.log_speed;
    }
    double const usual = sum / static_cast<double>(seen.size());
    for (observation const& each : seen)
    {
        double const deviation =
            each.log_time + each.worker->speed.log_speed - usual;
        add_observation(s,
                        *each.worker,
                        std::clamp(deviation, -max_deviation, max_deviation));
    }
}

void check_speeds(scheduler& s)
{
    if (s.now < s.speeds.next_check)
    {
        return;
    }
    s.speeds.next_check = s.now + check_interval;
    std::size_t known = 0;
    double variance = 0.0;
    double explained = 0.0;
    for (auto const& entry : s.workers)
    {
        speed_record const& speed = entry.second.speed;
        if (speed.samples >= min_samples)
        {
            known += 1;
            variance += speed.log_speed * speed.log_speed;
            explained += s.speeds.noise /
                         (static_cast<double>(speed.samples) + prior_samples);
        }
    }
    double const count = static_cast<double>(std::max<std::size_t>(1, known));
    bool const differ = known * 2 >= s.workers.size() && known > 1 &&
                        variance >= min_variance_ratio * explained &&
                        std::sqrt(variance / count) >= min_spread;
    if (differ != s.speeds.differ)
    {
        s.speeds.differ = differ;
        log(s,
            events::worker_state_changed,
            std::string("speeds_differ=") + (differ ? "yes" : "no") +
                " workers=" + std::to_string(known) +
                " spread=" + std::to_string(std::sqrt(variance / count)) +
                " noise=" + std::to_string(std::sqrt(s.speeds.noise)));
    }
}

double speed_of(scheduler const& s, worker_record const& w)
{
    return s.speeds.differ ? std::exp(w.speed.log_speed) : 1.0;
}

int speed_class(double speed)
{
    return static_cast<int>(std::lround(std::log(speed) / class_width));
}

bool ends_late_on(scheduler const& s, waiting_step const& step, double speed)
{
    return s.speeds.differ && !step.late && speed < 1.0 &&
           to_ms(step.shape().estimate) / speed > to_ms(time_left(s, step));
}

int speed_preference(scheduler const& s, waiting_step const& step)
{
    if (!s.speeds.differ || step.late)
    {
        return 0;
    }
    double const left = to_ms(time_left(s, step));
    double const estimate = to_ms(step.shape().estimate);
    return left < estimate * tight_factor   ? -1
           : left > estimate * loose_factor ? 1
                                            : 0;
}

} // namespace cicada::batch
