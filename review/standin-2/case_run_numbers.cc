// A leader is killed while a job with many tasks has one task left.
#include "cell.h"

#include <csignal>

namespace review
{

namespace
{

constexpr int wide = 4500; // tasks of each of the first two steps
constexpr std::int64_t finish_ms = 14'000;
constexpr std::int64_t contact_ms = 3000;
constexpr std::int64_t calm_ms = 4000; // before the 3 s that are judged
constexpr std::int64_t idle_ms = 3000;
constexpr std::int64_t limit_ms = 95'000;

} // namespace

int case_run_numbers(cell_settings settings, bool trouble)
{
    world all(settings);
    cicada::batch::queue_rule const queue = make_queue("rollup", 1, 3);
    std::string const id = "00000000000000a1";
    std::string const last = id + ".0.2.0";
    all.max_attempts[id] = queue.max_attempts;
    all.logged = [&last](std::string const& task) { return task == last; };
    all.cpu_of = [&last](std::string const& task)
    { return task == last ? 1000 : 200; };
    std::int64_t sent = 0;
    std::int64_t killed = 0;
    all.truth = [&](std::string const& task,
                    int nth) -> std::optional<work>
    {
        if (job_of(task) != id)
        {
            return std::nullopt;
        }
        if (task != last)
        {
            return work{150, false};
        }
        // The first run fails by the task's own fault, 17 s after the end of
        // the traffic or 4 s after its start.
        std::int64_t const first =
            std::max<std::int64_t>(4000, sent + 17'000 - steady_ms());
        return nth == 1 ? work{first, true} : work{2000, false};
    };
    for (int k = 0; k < settings.executors; ++k)
    {
        all.add_executor(k == 0 ? "b" : "a", "r1-" + std::to_string(k / 4));
    }
    all.put_config({queue});
    all.start_daemons();

    bool accepted = false;
    bool finished = false;
    std::string state;
    bool ran = true;
    std::function<void()> ask;
    ask = [&]
    {
        all.call(get(queue, id),
                 [&](int status, std::string const& body)
                 {
                     if (status == 200)
                     {
                         json const read = json::parse(body, nullptr, false);
                         std::string const now = read.value("state", "");
                         if (now != state)
                         {
                             state = now;
                             all.log("GET " + id + ": " + state);
                         }
                     }
                     else
                     {
                         all.log("GET " + id + ": " + std::to_string(status));
                     }
                     all.after(300, ask);
                 });
    };
    std::function<void()> begin;
    begin = [&]
    {
        if (!all.all_ready())
        {
            all.after(50, begin);
            return;
        }
        all.after(
            3000,
            [&]
            {
                sent = steady_ms();
                json const body{
                    {"spec", "rollup"},
                    {"steps",
                     {{{"count", wide},
                       {"cpu", 200},
                       {"memory-limit-mb", 64},
                       {"estimate-ms", 150}},
                      {{"count", wide},
                       {"cpu", 200},
                       {"memory-limit-mb", 64},
                       {"estimate-ms", 150},
                       {"after", {0}}},
                      {{"count", 1},
                       {"cpu", 1000},
                       {"memory-limit-mb", 64},
                       {"estimate-ms", 2000},
                       {"after", {1}},
                       {"requirements", "b"}}}}};
                all.log("POST " + id + ", two steps of " +
                        std::to_string(wide) + " tasks, then one with requirement b; this is the end "
                        "of the traffic");
                all.call(submit(queue, id, body),
                         [&](int status, std::string const&)
                         {
                             accepted = status == 200;
                             all.log("POST " + id + ": " +
                                     std::to_string(status));
                             ask();
                         });
            });
    };
    begin();

    // Kills the leader once, a second after the last task has begun.
    std::function<void()> watch;
    std::int64_t idle_since = 0;
    bool told = false;
    watch = [&]
    {
        std::int64_t const now = steady_ms();
        auto const found = all.runs.find(last);
        bool const begun = found != all.runs.end() && !found->second.empty();
        if (trouble && begun && killed == 0 &&
            now >= found->second.front().started + 1000)
        {
            daemon_process* const leader = all.placer();
            if (leader != nullptr)
            {
                killed = now;
                all.kill_daemon(*leader, SIGKILL);
                all.after(500, [&all, leader] { all.start_daemon(*leader); });
            }
        }
        std::size_t active = 0;
        int busy = 0;
        for (std::unique_ptr<executor> const& each : all.executors)
        {
            active += each->active_runs();
            busy += each->busy_cpu();
        }
        bool done = false;
        int failed = 0;
        if (begun)
        {
            for (run_seen const& each : found->second)
            {
                done = done || each.how == "done";
                failed += each.how == "failed" ? 1 : 0;
            }
        }
        bool const due = begun && active == 0 && !done &&
                         failed < queue.max_attempts &&
                         now >= sent + finish_ms &&
                         (killed == 0 || now >= killed + contact_ms + calm_ms);
        if (!due)
        {
            if (idle_since != 0)
            {
                all.log("the job had nothing running for " +
                        std::to_string(now - idle_since) + " ms");
            }
            idle_since = 0;
        }
        else if (idle_since == 0)
        {
            idle_since = now;
        }
        else if (!told && now - idle_since > idle_ms)
        {
            told = true;
            all.broken("LOST",
                       "job " + id + " has nothing running for 3 s, though the "
                       "turn of its last task has come and executor i-0 is "
                       "idle");
        }
        finished = state == "completed" || state == "failed";
        if (finished || (sent != 0 && now > sent + limit_ms))
        {
            all.loop.stop();
            return;
        }
        if (sent == 0 && all.out.seconds() > 30)
        {
            ran = false;
            all.loop.stop();
            return;
        }
        all.after(20, watch);
    };
    watch();
    all.loop.run();
    all.log("at the end the job is " + state);
    return all.verdict(!(!ran || !accepted || (trouble && killed == 0)));
}

} // namespace review
