#pragma once

#include "membership/membership.hpp"
#include "platform/platform.hpp"

#include <string>

/** Where the cell keeps its records in the store. */
namespace cicada::cell::keys
{

constexpr char const* cell = "cell/";           //!< what every daemon watches
constexpr char const* placer = "cell/placer";   //!< under the placer's lease
constexpr char const* epoch = "cell/epoch";     //!< lasts
constexpr char const* daemons = "cell/daemon/"; //!< each under its own lease
constexpr char const* intake = "in/";           //!< jobs and cancellations
constexpr char const* jobs = "in/job/";
constexpr char const* cancels = "in/cancel/";
constexpr char const* progress = "out/"; //!< of jobs that aren't over
constexpr char const* ends = "end/";     //!< of jobs that are
constexpr char const* config = "op/config";
constexpr char const* workers = "servers/";

/** The rest of a key, or empty if it hasn't the prefix. */
std::string after(std::string const& key, std::string const& prefix);

} // namespace cicada::cell::keys

namespace cicada::cell
{

std::string encode_claim(membership::placer_claim const& claim);
std::string encode_member(membership::member const& each);

/** Items that can't be read are left out. */
membership::cell_view
decode_view(std::map<std::string, platform::kv_item> const& items);

} // namespace cicada::cell
