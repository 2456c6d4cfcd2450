// The leader is stopped and started again while the list of executors holds an entry of another
// writer.
#include "cell.h"

#include <csignal>

namespace review
{

namespace
{

constexpr std::int64_t finish_ms = 14'000;
constexpr std::int64_t contact_ms = 3000;
constexpr std::int64_t calm_ms = 4000;
constexpr std::int64_t idle_ms = 3000;

} // namespace

int case_settle(cell_settings settings, bool trouble)
{
    world all(settings);
    cicada::batch::queue_rule const queue = make_queue("recheck", 1, 3);
    all.cpu_of = [](std::string const&) { return 1000; };
    std::string const id = "00000000000000b1";
    all.truth = [&](std::string const& task, int) -> std::optional<work>
    {
        if (job_of(task) != id)
        {
            return std::nullopt;
        }
        return task == id + ".0.0.0" ? work{12'000, false} : work{1000, false};
    };
    for (int k = 0; k < settings.executors; ++k)
    {
        all.add_executor("a", "r1-" + std::to_string(k / 4));
    }
    all.store.put("servers/other-1",
                  json{{"service", "another"},
                       {"address", "127.0.0.1:1"},
                       {"zone", "z"},
                       {"version", "v1"},
                       {"slots", 8},
                       {"state", "ready"},
                       {"cold-remaining-ms", 0},
                       {"capacity",
                        {{"cpu", 1000}, {"memory-limit-mb", 64}, {"gpu", 0}}},
                       {"labels", {"a", "r9-1"}},
                       {"born", unix_ms()},
                       {"clock-ms", 1},
                       {"sequence", 1}}
                      .dump());
    all.put_config({queue});
    all.start_daemons();
    std::int64_t sent = 0;
    std::int64_t killed = 0;
    daemon_process* stopped = nullptr; // to be started again
    bool accepted = false;
    std::string state;
    std::function<void()> ask;
    ask = [&]
    {
        all.call(get(queue, id),
                 [&](int status, std::string const& body)
                 {
                     json const read = json::parse(body, nullptr, false);
                     std::string const now = status == 200
                                                 ? read.value("state", "")
                                                 : std::to_string(status);
                     if (now != state)
                     {
                         state = now;
                         all.log("GET " + id + ": " + state);
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
                json const body{{"spec", "recheck"},
                                {"steps",
                                 {{{"count", 1},
                                   {"cpu", 1000},
                                   {"memory-limit-mb", 64},
                                   {"estimate-ms", 12000}},
                                  {{"count", 4},
                                   {"cpu", 1000},
                                   {"memory-limit-mb", 64},
                                   {"estimate-ms", 1000},
                                   {"after", {0}}}}}};
                all.log("POST " + id + "; this is the end of the traffic");
                all.call(submit(queue, id, body),
                         [&](int status, std::string const&)
                         {
                             accepted = status == 200;
                             all.log("POST " + id + ": " +
                                     std::to_string(status));
                             ask();
                         });
                if (trouble)
                {
                    all.after(11'000,
                              [&]
                              {
                                  daemon_process* const leader = all.placer();
                                  if (leader != nullptr)
                                  {
                                      killed = steady_ms();
                                      all.kill_daemon(*leader, SIGTERM);
                                      stopped = leader;
                                  }
                              });
                }
            });
    };
    begin();
    std::int64_t idle_since = 0;
    bool told = false;
    std::function<void()> watch;
    watch = [&]
    {
        std::int64_t const now = steady_ms();
        if (stopped != nullptr && stopped->pid == 0)
        {
            all.start_daemon(*stopped);
            stopped = nullptr;
        }
        std::size_t active = 0;
        for (std::unique_ptr<executor> const& each : all.executors)
        {
            active += each->active_runs();
        }
        auto const first = all.runs.find(id + ".0.0.0");
        bool const turn = first != all.runs.end() &&
                          !first->second.empty() &&
                          first->second.back().how == "done";
        bool const due = turn && active == 0 && state != "completed" &&
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
                       "turn of its second step has come and every executor "
                       "is idle");
        }
        if (state == "completed" || (sent != 0 && now > sent + 60'000) ||
            (sent == 0 && all.out.seconds() > 30))
        {
            all.loop.stop();
            return;
        }
        all.after(20, watch);
    };
    watch();
    all.loop.run();
    all.log("at the end the job is " + state);
    return all.verdict(!(!accepted || (trouble && killed == 0)));
}

} // namespace review
