#pragma once

#include "trial.hpp"

namespace cicada::review
{

/** Runs one of the cases on a cell that serves. */
verdict run_case(std::string const& name, trial& on);

} // namespace cicada::review
