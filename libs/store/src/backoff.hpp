#pragma once

#include "store/store.hpp"

/** How long to wait after failures in a row. Pure. */
namespace cicada::store_detail
{

/**
 * The wait after `failures` in a row: doubles from `first` up to `longest`,
 * and of that between a half and the whole, by `jitter` from 0 to 1.
 */
milliseconds
backoff_delay(backoff_settings const& settings, int failures, double jitter);

} // namespace cicada::store_detail
