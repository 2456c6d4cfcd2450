// An executor vanishes without a word and is back under its id as another kind.
// Not one of the cases: an entry of KNOWN-RED.txt. ENTRY_MS delays the entry of
// the new life.
#include "cell.h"

#include <cstdlib>

namespace review
{

int case_new_kind(cell_settings settings, bool trouble)
{
    world all(settings);
    cicada::batch::queue_rule const queue = make_queue("recheck", 1, 3);
    char const* const asked = std::getenv("ENTRY_MS");
    std::int64_t const entry_ms = asked == nullptr ? 0 : std::atoi(asked);
    all.cpu_of = [](std::string const&) { return 500; };
    all.label_of = [](std::string const&) { return std::string("b"); };
    all.truth = [](std::string const&, int) { return work{200, false}; };
    all.add_executor("b", "r1-0");
    for (int k = 1; k < settings.executors; ++k)
    {
        all.add_executor("a", "r1-" + std::to_string(k / 4));
    }
    all.put_config({queue});
    all.start_daemons();
    int sent = 0;
    std::function<void()> traffic;
    traffic = [&]
    {
        if (!all.all_ready() || all.out.seconds() < 3)
        {
            all.after(50, traffic);
            return;
        }
        char id[17];
        std::snprintf(id, sizeof id, "%016x", ++sent);
        json const body{{"spec", "recheck"},
                        {"steps",
                         {{{"count", 1},
                           {"cpu", 500},
                           {"memory-limit-mb", 64},
                           {"estimate-ms", 200},
                           {"requirements", "b"}}}}};
        all.call(submit(queue, id, body), [](int, std::string const&) {});
        all.after(100, traffic);
    };
    traffic();
    if (trouble)
    {
        // A quiet moment in between, so that no stop or end is under way.
        for (int k = 0; k < 4; ++k)
        {
            all.after(6000 + 6000 * k,
                      [&all, entry_ms]
                      {
                          all.executors[0]->return_as(
                              milliseconds{300}, "c", entry_ms);
                      });
            all.after(9000 + 6000 * k,
                      [&all]
                      {
                          all.executors[0]->return_as(
                              milliseconds{300}, "b", 0);
                      });
        }
    }
    all.after(32'000, [&all] { all.loop.stop(); });
    all.loop.run();
    return all.verdict(sent > 0);
}

} // namespace review
