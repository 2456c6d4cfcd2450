#pragma once

#include "platform.h"

/** What clients hand in, and the checks of the rules on jobs. */
namespace review
{

struct step_shape
{
    int count = 1;
    int cpu = 1000;
    int memory = 100;
    int work_ms = 300;
    std::vector<int> after;
    std::string label; //!< `requirements`
    bool gang = false;
    bool checkpointing = false;
    bool fails = false;
};

struct job_record
{
    std::string id;
    std::string queue;
    std::string spec;
    std::vector<step_shape> steps;
    bool accepted = false;
    clock::time_point accepted_at;
    bool cancel_sent = false;
    bool cancelled = false; //!< acknowledged
    clock::time_point cancelled_at;
};

struct task_name
{
    std::string job;
    int step = 0;
    int index = 0;
    auto operator<=>(task_name const&) const = default;
};

std::optional<task_name> read_task(std::string const& text);

/** Writes record.txt and counts broken rules. */
class judge
{
public:
    judge(std::string const& file);

    void note(std::string const& line);
    void broken(std::string const& rule, std::string const& what);

    // what executors see
    void started(task_name const& task,
                 std::uint64_t run,
                 std::string const& executor,
                 std::string const& spec);
    void ended(task_name const& task,
               std::uint64_t run,
               std::string const& executor,
               std::string const& how);
    /** `acked-through` reached an end, with no lapse between. */
    void taken_note(task_name const& task,
                    std::uint64_t run,
                    std::string const& how);

    /** Whether all tasks of the job's step have ended done. */
    bool step_done(job_record const& job, int step) const;
    /** How many runs of the job are active. */
    int running(job_record const& job) const;
    /** The step of the job whose turn has come, or -1. */
    int step_due(job_record const& job) const;
    bool failed(job_record const& job) const;

    std::map<std::string, job_record> jobs;
    std::map<std::string, int> broken_rules;
    std::map<std::string, std::string> first_broken;
    std::map<std::string, int> ends;
    int starts = 0;
    int max_attempts = 3;

private:
    struct task_history
    {
        std::map<std::uint64_t, std::string> running; //!< run to executor
        bool done = false;                            //!< a run has ended done
        bool done_noted = false; //!< and that end was taken note of
        /** Starts after the end done of a run, by run. */
        std::map<std::uint64_t, std::vector<std::string>> starts_after;
        std::set<std::uint64_t> failed_noted;
    };
    std::map<task_name, task_history> tasks;
    std::ofstream out;
    clock::time_point began = clock::now();
};

} // namespace review
