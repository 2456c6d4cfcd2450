// A gang that needs every executor comes while one of them has a long task.
#include "cell.h"

namespace review
{

namespace
{

constexpr int sound_jobs = 10;
constexpr std::int64_t long_ms = 40'000;
constexpr std::int64_t gang_ms = 8000;
constexpr std::int64_t small_ms = 2000;
constexpr int long_cpu = 16000;
constexpr int gang_cpu = 20000;
constexpr int small_cpu = 500;
constexpr std::int64_t finish_ms = 14'000;
constexpr std::int64_t idle_ms = 3000;
constexpr std::int64_t limit_ms = 70'000;

struct client_job
{
    bool accepted = false;
    std::string state;
    std::int64_t idle_since = 0;
    std::int64_t longest_idle = 0;
    bool told = false;
};

json one_step(int count, int cpu, std::int64_t estimate_ms)
{
    return json::array({{{"count", count},
                         {"cpu", cpu},
                         {"memory-limit-mb", 64},
                         {"estimate-ms", estimate_ms}}});
}

} // namespace

int case_reserved(cell_settings settings, bool trouble)
{
    world all(settings);
    // As the queues of the small site: 3,000 ms and four times the chain.
    cicada::batch::queue_rule urgent = make_queue("rollup", 1, 3);
    urgent.target = milliseconds{3000};
    cicada::batch::queue_rule other = make_queue("recheck", 2, 3);
    other.target = milliseconds{3000};
    std::string const lasting = "00000000000000d1";
    std::string const gang = "00000000000000d2";
    all.cpu_of = [&](std::string const& task)
    {
        std::string const job = job_of(task);
        return job == lasting ? long_cpu : job == gang ? gang_cpu : small_cpu;
    };
    std::map<std::string, client_job> jobs;
    all.truth = [&](std::string const& task, int) -> std::optional<work>
    {
        std::string const job = job_of(task);
        if (jobs.count(job) == 0)
        {
            return std::nullopt;
        }
        return work{job == lasting ? long_ms
                    : job == gang  ? gang_ms
                                   : small_ms,
                    false};
    };
    for (int k = 0; k < settings.executors; ++k)
    {
        all.add_executor("a", "r1-" + std::to_string(k / 4));
    }
    all.put_config({urgent, other});
    all.start_daemons();

    std::int64_t sent = 0;
    auto const queue_of = [&](std::string const& id)
    { return id == lasting || id == gang ? urgent : other; };
    auto const send = [&](std::string const& id, json const& steps)
    {
        jobs[id];
        all.call(submit(queue_of(id),
                        id,
                        json{{"spec", "recheck"}, {"steps", steps}}),
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
            if (!entry.second.accepted || entry.second.state == "completed")
            {
                continue;
            }
            all.call(get(queue_of(entry.first), entry.first),
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
                      send(lasting, one_step(1, long_cpu, long_ms));
                      ask();
                  });
        if (trouble)
        {
            all.after(3500,
                      [&]
                      {
                          json steps = one_step(
                              settings.executors, gang_cpu, gang_ms);
                          steps[0]["gang"] = true;
                          send(gang, steps);
                      });
        }
        all.after(4000,
                  [&]
                  {
                      for (int k = 1; k <= sound_jobs; ++k)
                      {
                          char id[17];
                          std::snprintf(id, sizeof id, "%016x", k);
                          send(id, one_step(1, small_cpu, small_ms));
                      }
                      sent = steady_ms();
                      all.log("end of the traffic");
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
            if (entry.first == gang || entry.first == lasting)
            {
                continue;
            }
            std::vector<run_seen> const& runs = all.runs[entry.first + ".0.0.0"];
            bool const idle = runs.empty() || runs.back().ended != 0;
            bool const done = !runs.empty() && runs.back().how == "done";
            open = open || job.state != "completed";
            bool const due = job.accepted && idle && !done && room &&
                             busy * 2 < capacity && now >= sent + finish_ms;
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
                               " has nothing running for 3 s, though its turn "
                               "has come; in use are " +
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
