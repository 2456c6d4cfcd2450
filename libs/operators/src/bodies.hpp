#pragma once

#include "operators/operators.hpp"

namespace cicada
{

/** The JSON bodies of the operators' interface. */
std::string status_body(operators_view const& view);
std::string instances_body(std::vector<instance> const& list);
std::string jobs_body(std::vector<job_record> const& jobs);
std::string notes_body(std::vector<published_note> const& notes);
std::string problem_body(std::string const& code, std::string const& detail);
std::string publish_body(publish_answer const& answer);

/** What a note would change, or its problems; `status` is set to fit. */
std::string
preview_body(operators_view const& view, std::string const& text, int& status);

/** The HTTP status of a publishing's end. */
int status_of(publish_outcome outcome);

/** Takes as long for any wrong text of the same length. */
bool same_token(std::string const& given, std::string const& token);

} // namespace cicada
