#pragma once

#include "trial.h"

namespace cicada::review
{

/** Runs one of the cases on a cell that serves. */
verdict run_case(std::string const& name, trial& on);

} // namespace cicada::review
