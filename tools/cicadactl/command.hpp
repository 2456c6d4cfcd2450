#pragma once

#include "operators/operators.hpp"

#include <string>
#include <vector>

/**
 * The commands of cicadactl. Each prints its answer on the standard output,
 * its problems on the standard error stream, and returns the exit code.
 */
namespace cicada
{

/** What the process ends with. */
enum class exit_code
{
    ok = 0,
    refused = 1,     //!< problems were found, or a daemon said no
    usage = 2,       //!< the command line is wrong
    unreachable = 3, //!< no daemon could be reached
    unknown = 4      //!< it may have taken effect; safe to run again
};

/** The command line. */
struct invocation
{
    address daemon;                 //!< its operators' address
    std::string token;              //!< bearer token
    bool json = false;              //!< print JSON
    milliseconds wait{10'000};      //!< for a note to be in force everywhere
    std::string since;              //!< such as "7d"; empty: all
    std::vector<std::string> words; //!< the command and its arguments

    bool operator==(invocation const&) const = default;
};

/** Runs the command that the words name. */
exit_code run_command(invocation const& asked);

/** The commands whose first word is "note". */
exit_code run_note_command(invocation const& asked);

/** The commands that show what a daemon knows, and `drain`. */
exit_code run_daemon_command(invocation const& asked);

/** Prints the daemon's histograms by tenant and class. */
exit_code run_top_command(invocation const& asked);

/** Calls the daemon; prints why it can't be reached. */
result<operators_answer> call_daemon(invocation const& asked,
                                     std::string const& method,
                                     std::string const& path,
                                     std::string const& body = "");

/** The exit code of a call that got no answer. */
exit_code code_of(error const& fault);

/** Prints the problem that the daemon told; always `refused`. */
exit_code print_refusal(operators_answer const& answer);

/** Rows of cells, printed with aligned columns. */
using table_row = std::vector<std::string>;
void print_table(std::vector<table_row> const& rows);

/** Prints how the tool is called. */
exit_code print_usage();

} // namespace cicada
