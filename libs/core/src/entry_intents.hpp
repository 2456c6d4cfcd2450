#pragma once

#include "state.hpp"

/**
 * Writes of intents at a request's entry, and requests whose key was used
 * before. Handlers of the answers are in entry.hpp.
 */
namespace cicada
{

constexpr milliseconds intent_rejection_time{1'000};
constexpr int max_failed_intent_writes = 3;
constexpr char store_detail[] =
    "The intent of a non-idempotent request can't be kept now.";

/** Answers that the earlier request with this key may still be running. */
void finish_earlier_unknown(state& s, request_state& r, effects& out);

} // namespace cicada
