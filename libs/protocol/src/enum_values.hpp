#pragma once

#include "protocol/protocol.hpp"

#include <array>

/** Every value of each enumeration that crosses processes, by its name. */
namespace cicada
{

template <class T>
constexpr std::array<T, 0> enum_values{};

template <>
inline constexpr std::array enum_values<work_class>{
    work_class::urgent, work_class::normal, work_class::background};

template <>
inline constexpr std::array enum_values<workload_kind>{workload_kind::request,
                                                       workload_kind::service,
                                                       workload_kind::batch,
                                                       workload_kind::gang};

template <>
inline constexpr std::array enum_values<placement_policy>{
    placement_policy::pack, placement_policy::spread, placement_policy::close};

template <>
inline constexpr std::array enum_values<instance_kind>{instance_kind::worker,
                                                       instance_kind::endpoint};

template <>
inline constexpr std::array enum_values<intent_state>{intent_state::started,
                                                      intent_state::ran,
                                                      intent_state::not_run,
                                                      intent_state::abandoned};

template <>
inline constexpr std::array enum_values<job_state>{job_state::queued,
                                                   job_state::running,
                                                   job_state::cancelling,
                                                   job_state::succeeded,
                                                   job_state::failed,
                                                   job_state::cancelled};

template <>
inline constexpr std::array enum_values<attempt_result>{
    attempt_result::answered,
    attempt_result::not_run,
    attempt_result::draining,
    attempt_result::unknown};

template <>
inline constexpr std::array enum_values<run_state>{run_state::never_started,
                                                   run_state::running,
                                                   run_state::finished,
                                                   run_state::failed};

/** "worker" or "endpoint". */
inline char const* to_string(instance_kind kind)
{
    return kind == instance_kind::worker ? "worker" : "endpoint";
}

} // namespace cicada
