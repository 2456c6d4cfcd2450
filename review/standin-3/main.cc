#include "cases.h"

#include <csignal>
#include <cstdlib>
#include <iostream>

/** review_trial CASE PROGRAM FOLDER RECORD; TROUBLE=0 in the environment
 * leaves the disruption out. */
int main(int argc, char** argv)
{
    if (argc != 5)
    {
        std::cerr << "review_trial CASE PROGRAM FOLDER RECORD\n";
        return static_cast<int>(cicada::review::verdict::not_run);
    }
    std::signal(SIGPIPE, SIG_IGN);
    cicada::review::trial_options options;
    options.program = argv[2];
    options.folder = argv[3];
    options.record = argv[4];
    char const* const trouble = std::getenv("TROUBLE");
    options.trouble = trouble == nullptr || std::string(trouble) != "0";
    if (std::string(argv[1]) == "wide_gang")
    {
        // Of the deployment: 3.9 ms one way between zones.
        options.worker_delay = cicada::milliseconds{3};
    }
    if (std::string(argv[1]) == "moved_queue")
    {
        options.workers = 3;
        options.workers_of_second = 45;
    }
    cicada::review::trial on(options);
    on.note(std::string("case=") + argv[1] +
            " trouble=" + (options.trouble ? "1" : "0"));
    if (!on.start())
    {
        on.note("verdict=not_run");
        return static_cast<int>(cicada::review::verdict::not_run);
    }
    cicada::review::verdict const found = cicada::review::run_case(argv[1], on);
    constexpr char const* words[] = {"held", "broken", "not_run"};
    on.note(std::string("verdict=") + words[static_cast<std::size_t>(found)]);
    return static_cast<int>(found);
}
