#include "run.hpp"

#include <iostream>

/** Sends load to the entries of a cell and prints what came of it. */
int main(int count, char const** words)
{
    cicada::result<cicada::load::options> const given =
        cicada::load::read_options(count, words);
    if (!given.has_value())
    {
        std::cerr << given.assume_error().message << '\n';
        return 2;
    }
    cicada::load::options const& wanted = given.assume_value();
    cicada::load::outcome const done = cicada::load::run(wanted);
    std::optional<cicada::load::verification> checked;
    if (wanted.verify)
    {
        checked = cicada::load::verify(*wanted.verify, done.keys);
    }
    if (wanted.json)
    {
        std::cout << print_json(wanted, done.tallies, checked);
        return 0;
    }
    std::cout << print_table(wanted, done.tallies);
    if (checked)
    {
        std::cout << "asked " << checked->asked << ", not_run but ran "
                  << checked->not_run_but_ran << ", ran but not run "
                  << checked->ran_but_not_run << ", ran twice "
                  << checked->ran_twice << "; " << checked->counts << '\n';
    }
    return 0;
}
