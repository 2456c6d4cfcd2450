// An executor restarts twice within seconds, the first time while its time of
// day is ahead.
#include "cell.h"

#include <cstdlib>

namespace review
{

namespace
{

constexpr std::int64_t traffic_ms = 12'000;
constexpr std::int64_t finish_ms = 14'000;
constexpr std::int64_t idle_ms = 3000;
constexpr std::int64_t clock_ahead_ms = 2400;

struct client_job
{
    bool accepted = false;
    std::string state;
    std::int64_t idle_since = 0;
    bool told = false;
};

} // namespace

int case_born(cell_settings settings, bool trouble)
{
    world all(settings);
    cicada::batch::queue_rule const queue = make_queue("recheck", 1, 3);
    constexpr int tasks = 2;
    // CLOCK=0 leaves out the clock step alone.
    char const* const clock = std::getenv("CLOCK");
    std::int64_t const ahead_ms =
        clock != nullptr && std::string(clock) == "0" ? 0 : clock_ahead_ms;
    all.cpu_of = [](std::string const&) { return 16000; };
    std::map<std::string, client_job> jobs;
    all.truth = [&](std::string const& task, int) -> std::optional<work>
    {
        return jobs.count(job_of(task)) != 0
                   ? std::optional<work>(work{3000, false})
                   : std::nullopt;
    };
    for (int k = 0; k < settings.executors; ++k)
    {
        all.add_executor("a", "r1-" + std::to_string(k / 4));
    }
    all.put_config({queue});
    all.start_daemons();

    std::int64_t began = 0;
    std::function<void()> traffic;
    traffic = [&]
    {
        if (steady_ms() > began + traffic_ms)
        {
            all.log("end of the traffic");
            return;
        }
        char id[17];
        std::snprintf(id, sizeof id, "%016zx", jobs.size() + 1);
        std::string const job = id;
        jobs[job];
        all.max_attempts[job] = queue.max_attempts;
        json const body{{"spec", "recheck"},
                        {"steps",
                         {{{"count", tasks},
                           {"cpu", 16000},
                           {"memory-limit-mb", 64},
                           {"estimate-ms", 3000}}}}};
        all.call(submit(queue, job, body),
                 [&all, &jobs, job](int status, std::string const&)
                 {
                     jobs[job].accepted = status == 200;
                     all.log("POST " + job + ": " + std::to_string(status));
                 });
        all.after(600, traffic);
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
            all.call(get(queue, entry.first),
                     [&all, &jobs, job = entry.first](int status,
                                                      std::string const& body)
                     {
                         json const read = json::parse(body, nullptr, false);
                         std::string const now =
                             status == 200 ? read.value("state", "")
                                           : std::to_string(status);
                         if (now != jobs[job].state)
                         {
                             jobs[job].state = now;
                             all.log("GET " + job + ": " + now);
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
                      began = steady_ms();
                      traffic();
                      ask();
                      if (!trouble)
                      {
                          return;
                      }
                      all.after(3000,
                                [&]
                                {
                                    all.log("the time of day of i-0's machine "
                                            "jumps 2.4 s ahead");
                                    all.executors[0]->crash(milliseconds{500},
                                                            ahead_ms);
                                });
                      all.after(4500,
                                [&]
                                {
                                    all.log("the time of day of i-0's machine "
                                            "jumps back");
                                });
                      all.after(5000,
                                [&]
                                {
                                    all.executors[0]->crash(milliseconds{500},
                                                            0);
                                });
                  });
    };
    begin();

    std::function<void()> watch;
    watch = [&]
    {
        std::int64_t const now = steady_ms();
        bool open = false;
        for (auto& entry : jobs)
        {
            client_job& job = entry.second;
            bool active = false;
            int done = 0;
            for (int k = 0; k < tasks; ++k)
            {
                for (run_seen const& each :
                     all.runs[entry.first + ".0.0." + std::to_string(k)])
                {
                    active = active || each.ended == 0;
                    done += each.how == "done" && each.noted ? 1 : 0;
                }
            }
            open = open || job.state != "completed";
            bool const due = job.accepted && job.state != "completed" &&
                             !active && done < tasks &&
                             now >= began + traffic_ms + finish_ms;
            if (!due)
            {
                job.idle_since = 0;
            }
            else if (job.idle_since == 0)
            {
                job.idle_since = now;
            }
            else if (!job.told && now - job.idle_since > idle_ms)
            {
                job.told = true;
                all.broken("LOST",
                           "job " + entry.first +
                               " has nothing running for 3 s and " +
                               std::to_string(tasks - done) +
                               " tasks to do, though the executors are idle");
            }
        }
        bool const over = began != 0 && now > began + traffic_ms + finish_ms;
        if ((over && !open) ||
            (began != 0 && now > began + traffic_ms + finish_ms + 30'000) ||
            (began == 0 && all.out.seconds() > 30))
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
        all.log("at the end " + entry.first + " is " + entry.second.state);
    }
    return all.verdict(!(began == 0));
}

} // namespace review
