#pragma once

#include "membership/membership.hpp"
#include "platform/platform.hpp"

#include <string>

/** Keys of the cell's records in the store. */
namespace cicada::cell::keys
{

constexpr char const* cell = "cell/";           //!< watched by every daemon
constexpr char const* placer = "cell/placer";   //!< with the placer's lease
constexpr char const* epoch = "cell/epoch";     //!< without a lease
constexpr char const* daemons = "cell/daemon/"; //!< each with its own lease
constexpr char const* intake = "in/"; //!< submitted jobs and cancellations
constexpr char const* jobs = "in/job/";
constexpr char const* cancels = "in/cancel/";
constexpr char const* progress = "out/"; //!< of unfinished jobs
constexpr char const* ends = "end/";     //!< final states of finished jobs
/** Value of an end record of a job that was cancelled before it was stored, and
 * must not be stored any more. */
constexpr char const* cancel_mark = "cancelled before it was stored";
/** Workers that may run tasks; read by a new placer. */
constexpr char const* roster = "roster/";
constexpr char const* config = "op/config";
constexpr char const* workers = "servers/";

/** The key without the prefix; empty if it doesn't start with it. */
std::string strip_prefix(std::string const& key, std::string const& prefix);

} // namespace cicada::cell::keys

namespace cicada::cell
{

std::string encode_claim(membership::placer_claim const& claim);
std::string encode_member(membership::member const& each);

/** The value of the epoch's key; 0 if it can't be decoded. */
std::uint64_t decode_epoch(std::string const& bytes);

/** Returns whether the items of a conflict show an epoch above the highest one
 * that this daemon has claimed. The epoch is compared and not its key's
 * revision, which also changes when the daemon claims its key again. */
bool is_superseded(std::vector<platform::kv_item> const& found,
                   std::uint64_t claimed_epoch);

/** Omits items that can't be decoded. */
membership::cell_view
decode_view(std::map<std::string, platform::kv_item> const& items);

} // namespace cicada::cell
