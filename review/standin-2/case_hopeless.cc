// One job in twenty can never be done: its tasks fail together on every
// executor.
#include "cell.h"

namespace review
{

namespace
{

constexpr int sound_jobs = 19;
constexpr int wide = 48; // tasks of the hopeless job
// A job has three steps of this length; the third of the hopeless one is wide.
constexpr std::int64_t sound_ms[] = {6800, 6800, 1000};
constexpr std::int64_t hopeless_ms[] = {5500, 5500, 2200};
constexpr std::int64_t finish_ms = 14'000;
constexpr std::int64_t idle_ms = 3000;
constexpr std::int64_t limit_ms = 60'000;
constexpr int small_cpu = 500;

constexpr std::size_t last_step = 2;

// ID.K.STEP.INDEX
std::size_t step_of(std::string const& task)
{
    std::size_t const dot = task.find(".0.");
    return static_cast<std::size_t>(task[dot + 3] - '0');
}

json three_steps(int count, int cpu, std::int64_t const (&lengths)[3])
{
    json steps = json::array();
    for (std::size_t k = 0; k <= last_step; ++k)
    {
        json step{{"count", k == last_step ? count : 1},
                  {"cpu", k == last_step ? cpu : small_cpu},
                  {"memory-limit-mb", 64},
                  {"estimate-ms", lengths[k]}};
        if (k > 0)
        {
            step["after"] = {k - 1};
        }
        steps.push_back(step);
    }
    return steps;
}

struct client_job
{
    bool accepted = false;
    std::string state;
    std::int64_t idle_since = 0;
    std::int64_t longest_idle = 0;
    bool told = false;
};

} // namespace

int case_hopeless(cell_settings settings, bool trouble)
{
    world all(settings);
    cicada::batch::queue_rule const queue = make_queue("recheck", 2, 4);
    std::string const hopeless = "00000000000000ff";
    all.max_attempts[hopeless] = queue.max_attempts;
    all.cpu_of = [&hopeless](std::string const& task)
    {
        return job_of(task) == hopeless && step_of(task) == last_step
                   ? 5000
                   : small_cpu;
    };
    std::map<std::string, client_job> jobs;
    all.truth = [&](std::string const& task, int) -> std::optional<work>
    {
        std::size_t const step = step_of(task);
        if (job_of(task) == hopeless)
        {
            return work{hopeless_ms[step], trouble && step == last_step};
        }
        return jobs.count(job_of(task)) != 0
                   ? std::optional<work>(work{sound_ms[step], false})
                   : std::nullopt;
    };
    for (int k = 0; k < settings.executors; ++k)
    {
        all.add_executor("a", "r1-" + std::to_string(k / 4));
    }
    all.put_config({queue});
    all.start_daemons();

    std::int64_t sent = 0;
    auto const send = [&](std::string const& id, json const& steps)
    {
        all.call(submit(queue, id, json{{"spec", "recheck"}, {"steps", steps}}),
                 [&, id](int status, std::string const&)
                 {
                     jobs[id].accepted = status == 200;
                     all.log("POST " + id + ": " + std::to_string(status));
                 });
    };
    std::function<void()> ask;
    ask = [&]
    {
        for (auto& entry : jobs)
        {
            if (!entry.second.accepted || entry.second.state == "completed" ||
                entry.second.state == "failed")
            {
                continue;
            }
            all.call(get(queue, entry.first),
                     [&, id = entry.first](int status, std::string const& body)
                     {
                         json const read = json::parse(body, nullptr, false);
                         std::string const now =
                             status == 200 ? read.value("state", "")
                                           : std::to_string(status);
                         if (now != jobs[id].state)
                         {
                             jobs[id].state = now;
                             all.log("GET " + id + ": " + now);
                         }
                     });
        }
        all.after(1000, ask);
    };
    std::function<void()> begin;
    begin = [&]
    {
        if (!all.all_ready())
        {
            all.after(50, begin);
            return;
        }
        all.after(3000,
                  [&]
                  {
                      sent = steady_ms();
                      send(hopeless, three_steps(wide, 5000, hopeless_ms));
                      for (int k = 1; k <= sound_jobs; ++k)
                      {
                          char id[17];
                          std::snprintf(id, sizeof id, "%016x", k);
                          send(id, three_steps(1, small_cpu, sound_ms));
                      }
                      all.log("end of the traffic");
                      ask();
                  });
    };
    begin();

    std::function<void()> watch;
    watch = [&]
    {
        std::int64_t const now = steady_ms();
        int busy = 0;
        int capacity = 0;
        bool room = false; // twice what a task takes, on one executor
        for (std::unique_ptr<executor> const& each : all.executors)
        {
            int const used = each->busy_cpu();
            busy += used;
            capacity += each->capacity_cpu;
            room = room || each->capacity_cpu - used >= 2 * small_cpu;
        }
        bool open = false;
        for (auto& entry : jobs)
        {
            client_job& job = entry.second;
            if (entry.first == hopeless)
            {
                continue;
            }
            bool active = false;
            bool turn = false; // the second step is done
            bool done = false;
            for (std::size_t step = 0; step <= last_step; ++step)
            {
                std::string const task =
                    entry.first + ".0." + std::to_string(step) + ".0";
                for (run_seen const& each : all.runs[task])
                {
                    active = active || each.ended == 0;
                    turn = turn || (step == 1 && each.how == "done");
                    done = done || (step == last_step && each.how == "done");
                }
            }
            open = open || job.state != "completed";
            bool const due = job.accepted && turn && !done && !active &&
                             room && busy * 2 < capacity &&
                             now >= sent + finish_ms;
            if (!due)
            {
                job.idle_since = 0;
                continue;
            }
            job.idle_since = job.idle_since == 0 ? now : job.idle_since;
            job.longest_idle =
                std::max(job.longest_idle, now - job.idle_since);
            if (!job.told && now - job.idle_since > idle_ms)
            {
                job.told = true;
                all.broken("LOST",
                           "job " + entry.first +
                               " has nothing running for 3 s, though the turn "
                               "of its third step has come; in use are " +
                               std::to_string(busy) + " of " +
                               std::to_string(capacity) +
                               " thousandths of a core");
            }
        }
        if ((sent != 0 && now > sent + finish_ms && !open) ||
            (sent != 0 && now > sent + limit_ms) ||
            (sent == 0 && all.out.seconds() > 30))
        {
            all.loop.stop();
            return;
        }
        all.after(20, watch);
    };
    watch();
    all.loop.run();
    for (auto const& entry : jobs)
    {
        all.log("at the end " + entry.first + " is " + entry.second.state +
                ", longest without a run " +
                std::to_string(entry.second.longest_idle) + " ms");
    }
    return all.verdict(sent != 0);
}

} // namespace review
