#pragma once

#include "gateway/gateway.hpp"
#include "job_api.hpp"
#include "loop.hpp"
#include "store_session.hpp"

/** Calls of callers that aren't requests to run: jobs and health. */
namespace cicada
{

class jobs_session
{
public:
    /** `run` and `store` outlive this object. */
    jobs_session(loop& run,
                 store_session& store,
                 std::function<cell_config const&()> config,
                 daemon_settings const& settings);

    /** Answers one call; on the decision thread. */
    void take(other_request const& call, responder const& answer);

    /** Answers the caller that submitted a job. */
    void carry_out(answer_job const& effect);

private:
    void submit(other_request const& call, responder const& answer);
    void show(job_place const& place, responder const& answer);
    void cancel(job_place const& place, responder const& answer);

    loop& run;
    store_session& store;
    std::function<cell_config const&()> config;
    daemon_settings const settings;
    std::uint64_t submitted = 0;
    std::map<job_id, responder> waiting;
};

} // namespace cicada
