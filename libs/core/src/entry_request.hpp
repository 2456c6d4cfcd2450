#pragma once

#include "state.hpp"

/** What all handlers of a request at its entry use; see entry.hpp. */
namespace cicada
{

constexpr milliseconds no_endpoint_retry_after{1'000};
constexpr int http_server_error = 500;

/** The time until the request's deadline; zero if it has passed. */
milliseconds remaining_time(state const& s, request_state const& r);

/** Null if the request is unknown or has been answered. */
request_state* find_request(state& s, request_id const& id);

/** Returns the slot of the current grant, if any, to its owner. */
void return_slot(state& s,
                 request_state& r,
                 attempt_result result,
                 effects& out,
                 milliseconds service_time = milliseconds{0},
                 bool endpoint_error = false);

/** Counts the outcome reported to the caller. */
void observe_outcome(request_state const& r, std::string what, effects& out);

/** Answers the caller and removes the request. */
void finish_with_problem(state& s,
                         request_state const& r,
                         answer_problem problem,
                         effects& out);

/** The problem of a request that is known not to have run. */
answer_problem not_run_problem(int status,
                               std::string code,
                               std::string detail,
                               milliseconds retry_after);

/** A problem with an outcome and without a time to retry after. */
answer_problem outcome_problem(int status,
                               std::string code,
                               std::string detail,
                               request_outcome outcome);

} // namespace cicada
