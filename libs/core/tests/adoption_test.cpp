#include "core/core.hpp"

#include <gtest/gtest.h>

#include <algorithm>

/**
 * A new owner takes over tasks that an earlier owner assigned. Guards against
 * lost or doubled tasks when the jobs are loaded after the worker's first
 * report, so that the report can't yet be matched to them.
 */
namespace cicada
{
namespace
{

/** The stored task's state in the worker's full report. */
struct adoption_case
{
    char const* name;
    std::optional<run_state> at_worker; //!< none: not in the report
    bool starts_anew;
    job_state written; //!< in the last record written
};

constexpr char worker_name[] = "w1";

event at(int ms, event_body body)
{
    return event{instant{} + milliseconds{ms}, std::move(body)};
}

instance make_worker()
{
    instance worker;
    worker.name = worker_name;
    worker.zone = zone_id{"z1"};
    worker.shard = shard_id{"z1/r1"};
    worker.capacity = resources{4'000, 4'096, 0};
    return worker;
}

job_record make_job()
{
    job_record job;
    job.name = job_id{"j1"};
    job.home = shard_id{"z1/r1"};
    job.size = resources{1'000, 128, 0};
    job.state = job_state::running;
    job.tasks = {task_record{0, 1, worker_id{worker_name}, false}};
    return job;
}

template <class Wanted>
std::vector<Wanted> all_of(std::vector<effect> const& effects)
{
    std::vector<Wanted> found;
    for (effect const& each : effects)
    {
        if (std::holds_alternative<Wanted>(each))
        {
            found.push_back(std::get<Wanted>(each));
        }
    }
    return found;
}

/** Answers each sync; only full reports list `run`. */
std::vector<effect> answer_syncs(state& s,
                                 std::vector<effect> const& effects,
                                 std::optional<run_state> run)
{
    std::vector<effect> out;
    for (send_agent const& sent : all_of<send_agent>(effects))
    {
        if (!std::holds_alternative<sync_order>(sent.order))
        {
            continue;
        }
        agent_report report;
        report.since = epoch{1};
        report.version = 1;
        report.capacity = make_worker().capacity;
        if (run && std::get<sync_order>(sent.order).seen == 0)
        {
            report.runs.push_back(
                {"j1/0/1", *run, make_job().size, resources{}});
        }
        std::vector<effect> const more =
            step(s,
                 at(20,
                    agent_order_ended{
                        sent.agent, sent.order, agent_answer(report)}));
        out.insert(out.end(), more.begin(), more.end());
    }
    return out;
}

class adoption : public testing::TestWithParam<adoption_case>
{
};

TEST_P(adoption, follows_the_worker_when_jobs_load_after_its_report)
{
    adoption_case const& row = this->GetParam();
    daemon_settings settings;
    settings.self.name = daemon_id{"d1"};
    state_ptr const s = make_state(settings);
    step(*s, at(1, instances_listed{{make_worker()}}));
    ownership_table table;
    table.version = 1;
    table.shards[shard_id{"z1/r1"}] = {daemon_id{"d1"}, epoch{1}};
    std::vector<effect> effects = step(*s, at(2, table_seen{table}));

    effects = answer_syncs(*s, effects, row.at_worker);
    std::vector<effect> const loaded = step(
        *s, at(30, jobs_loaded{shard_id{"z1/r1"}, std::vector{make_job()}}));
    effects.insert(effects.end(), loaded.begin(), loaded.end());

    std::vector<write_job> writes = all_of<write_job>(effects);
    for (int round = 0; round < 3; ++round)
    {
        effects = answer_syncs(*s, effects, row.at_worker);
        for (write_job const& write : all_of<write_job>(effects))
        {
            writes.push_back(write);
        }
    }
    ASSERT_EQ(writes.empty(),
              row.written == job_state::running && !row.starts_anew);
    if (!writes.empty())
    {
        EXPECT_EQ(writes.back().job.state, row.written);
        int const attempt = writes.back().job.tasks.front().attempt;
        EXPECT_EQ(attempt, row.starts_anew ? 2 : 1);
    }
}

INSTANTIATE_TEST_SUITE_P(
    table,
    adoption,
    testing::Values(
        adoption_case{"never_started", std::nullopt, true, job_state::running},
        adoption_case{"running", run_state::running, false, job_state::running},
        adoption_case{
            "finished", run_state::finished, false, job_state::succeeded},
        adoption_case{"failed", run_state::failed, true, job_state::running}),
    [](testing::TestParamInfo<adoption_case> const& info)
    {
        return std::string(info.param.name);
    });

} // namespace
} // namespace cicada
