#pragma once

#include "job_model/job_model.hpp"

#include <optional>
#include <string>
#include <vector>

/**
 * Checks a configuration before an operator sends it. Finds what the store
 * accepts and the cell can't serve: rules that never match, limits that
 * contradict each other, and what differs from the version in force. Pure
 * functions; keys are counted, never shown.
 */
namespace cicada::config_check
{

enum class severity
{
    change,  //!< differs from the version in force
    warning, //!< served, but hardly as intended
    error    //!< can't be served
};

/** "change", "warning" or "error". */
char const* to_string(severity of);

struct finding
{
    severity kind = severity::change;
    std::string text; //!< names the queue, customer or limit

    bool operator==(finding const&) const = default;
};

/** Returns the findings: errors first, then warnings, then changes. */
std::vector<finding>
check(batch::cell_config const& given,
      std::optional<batch::cell_config> const& in_force = {});

} // namespace cicada::config_check
