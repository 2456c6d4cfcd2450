#pragma once

#include "command.hpp"

namespace cicada
{

/** The problems of a daemon's answer, and back. */
std::vector<text_problem> read_problems(std::string const& body);
std::string problems_json(std::vector<text_problem> const& problems);

/** Waits until all live daemons have the note; names those that haven't. */
exit_code
wait_in_force(invocation const& asked, std::uint64_t number, bool repeated);

exit_code show_note(invocation const& asked, std::string const& number);
exit_code log_notes(invocation const& asked);
exit_code diff_notes(invocation const& asked,
                     std::string const& before,
                     std::string const& after);

} // namespace cicada
