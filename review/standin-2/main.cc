// play CASE FOLDER PROGRAM: plays one case; 0 if the rule held, 1 if not, 2 if
// the case couldn't run. TROUBLE=0 leaves out the disruption.
#include "cell.h"

#include <csignal>
#include <cstdlib>
#include <exception>
#include <iostream>

namespace
{

int play(std::string const& which,
         review::cell_settings const& settings,
         bool trouble)
{
    if (which == "run-numbers")
    {
        return review::case_run_numbers(settings, trouble);
    }
    if (which == "attempts")
    {
        return review::case_attempts(settings, trouble);
    }
    if (which == "born")
    {
        return review::case_born(settings, trouble);
    }
    if (which == "hopeless")
    {
        return review::case_hopeless(settings, trouble);
    }
    if (which == "reserved")
    {
        return review::case_reserved(settings, trouble);
    }
    if (which == "new-kind")
    {
        return review::case_new_kind(settings, trouble);
    }
    if (which == "settle")
    {
        return review::case_settle(settings, trouble);
    }
    std::cerr << "no such case\n";
    return 2;
}

} // namespace

int main(int argc, char** argv)
{
    if (argc != 4)
    {
        std::cerr << "usage: play CASE FOLDER PROGRAM\n";
        return 2;
    }
    std::signal(SIGPIPE, SIG_IGN);
    char const* const asked = std::getenv("TROUBLE");
    bool const trouble = asked == nullptr || std::string(asked) != "0";
    review::cell_settings settings;
    settings.folder = argv[2];
    settings.program = argv[3];
    std::string const which = argv[1];
    try
    {
        return play(which, settings, trouble);
    }
    catch (std::exception const& problem)
    {
        std::cerr << problem.what() << "\n";
        return 2;
    }
}
