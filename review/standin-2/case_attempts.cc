// A leader is killed while the last tasks of three wide jobs work, which fail
// whenever they run.
#include "cell.h"

#include <csignal>

namespace review
{

namespace
{

constexpr int wide = 4097; // tasks of a job
constexpr int last = wide - 1;
constexpr std::int64_t first_run_ms = 6000;
constexpr std::int64_t limit_ms = 60'000;

} // namespace

int case_attempts(cell_settings settings, bool trouble)
{
    world all(settings);
    cicada::batch::queue_rule const queue = make_queue("rollup", 1, 2);
    std::vector<std::string> const ids{
        "00000000000000c1", "00000000000000c2", "00000000000000c3"};
    std::string const of_last = ".0.0." + std::to_string(last);
    auto const is_last = [&of_last](std::string const& task)
    { return task.substr(task.find('.')) == of_last; };
    all.logged = is_last;
    all.cpu_of = [](std::string const&) { return 200; };
    all.truth = [&](std::string const& task, int nth) -> std::optional<work>
    {
        if (all.max_attempts.count(job_of(task)) == 0)
        {
            return std::nullopt;
        }
        // The last task can never be done.
        return is_last(task) ? work{nth == 1 ? first_run_ms : 1500, true}
                             : work{150, false};
    };
    for (int k = 0; k < settings.executors; ++k)
    {
        all.add_executor("a", "r1-" + std::to_string(k / 4));
    }
    all.put_config({queue});
    all.start_daemons();
    std::int64_t sent = 0;
    std::int64_t killed = 0;
    std::map<std::string, std::string> states;
    std::function<void(std::string const&)> ask;
    ask = [&](std::string const& id)
    {
        all.call(get(queue, id),
                 [&, id](int status, std::string const& body)
                 {
                     json const read = json::parse(body, nullptr, false);
                     std::string const now = status == 200
                                                 ? read.value("state", "")
                                                 : std::to_string(status);
                     if (now != states[id])
                     {
                         states[id] = now;
                         all.log("GET " + id + ": " + now);
                     }
                     all.after(300, [&ask, id] { ask(id); });
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
        all.after(3000,
                  [&]
                  {
                      sent = steady_ms();
                      for (std::string const& id : ids)
                      {
                          all.max_attempts[id] = queue.max_attempts;
                          json const body{{"spec", "rollup"},
                                          {"steps",
                                           {{{"count", wide},
                                             {"cpu", 200},
                                             {"memory-limit-mb", 64},
                                             {"estimate-ms", 150}}}}};
                          all.log("POST " + id + ", " + std::to_string(wide) +
                                  " tasks");
                          all.call(submit(queue, id, body),
                                   [&, id](int status, std::string const&)
                                   {
                                       all.log("POST " + id + ": " +
                                               std::to_string(status));
                                       ask(id);
                                   });
                      }
                  });
    };
    begin();
    std::function<void()> watch;
    watch = [&]
    {
        std::int64_t const now = steady_ms();
        std::size_t begun = 0;
        std::int64_t latest = 0;
        for (std::string const& id : ids)
        {
            auto const found = all.runs.find(id + of_last);
            if (found != all.runs.end() && !found->second.empty())
            {
                begun += 1;
                latest = std::max(latest, found->second.front().started);
            }
        }
        if (trouble && killed == 0 && begun == ids.size() &&
            now >= latest + 1000)
        {
            daemon_process* const leader = all.placer();
            if (leader != nullptr)
            {
                killed = now;
                all.kill_daemon(*leader, SIGKILL);
                all.after(500, [&all, leader] { all.start_daemon(*leader); });
            }
        }
        bool over = sent != 0;
        for (std::string const& id : ids)
        {
            over = over && (states[id] == "failed" || states[id] == "completed");
        }
        if (over || (sent != 0 && now > sent + limit_ms) ||
            (sent == 0 && all.out.seconds() > 30))
        {
            all.loop.stop();
            return;
        }
        all.after(20, watch);
    };
    watch();
    all.loop.run();
    for (std::string const& id : ids)
    {
        std::string ends;
        for (run_seen const& each : all.runs[id + of_last])
        {
            ends += " run " + std::to_string(each.run) + " on " +
                    each.executor + " " + each.how + ";";
        }
        all.log("at the end " + id + " is " + states[id] + "; its last task:" +
                ends);
    }
    return all.verdict(!(sent == 0 || (trouble && killed == 0)));
}

} // namespace review
