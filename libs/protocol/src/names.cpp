#include "protocol/protocol.hpp"

namespace cicada
{

char const* to_string(attempt_result result)
{
    switch (result)
    {
    case attempt_result::answered:
        return "answered";
    case attempt_result::not_run:
        return "not_run";
    case attempt_result::draining:
        return "draining";
    case attempt_result::unknown:
        return "unknown";
    }
    return "invalid";
}

char const* to_string(run_state state)
{
    switch (state)
    {
    case run_state::never_started:
        return "never_started";
    case run_state::running:
        return "running";
    case run_state::finished:
        return "finished";
    case run_state::failed:
        return "failed";
    }
    return "invalid";
}

} // namespace cicada
