#include "cases.h"

#include <csignal>
#include <cstdio>
#include <map>
#include <optional>

namespace cicada::review
{

namespace
{

namespace standin = platform::standin;

constexpr milliseconds client_deadline{3000};
/** An accepted job has to go on this long after the last hand-in (finish_s). */
constexpr milliseconds finish{14'000};
constexpr milliseconds cancel_bound{3000}; //!< cancel_ms
constexpr milliseconds stop_bound{200};    //!< stop-timeout-ms
constexpr milliseconds contact{3000};      //!< contact-ms
constexpr int max_tasks_per_step = 5000;   //!< that the daemons accept

std::string make_id(char const* prefix, int number)
{
    char text[17];
    std::snprintf(text, sizeof text, "%s%08x", prefix, number);
    return text;
}

daemon& daemon_at(trial& on, int position)
{
    return *on.daemons[static_cast<std::size_t>(position) % on.daemons.size()];
}

bool is_state(std::string const& body, char const* state)
{
    return body.find(std::string("\"") + state + "\"") != std::string::npos;
}

/** How many tasks of the job run now, by the workers' events. */
int tasks_running(trial const& on, std::string const& job)
{
    int running = 0;
    for (task_event const& each : on.events)
    {
        if (each.task.job == job)
        {
            running += each.ended ? -1 : 1;
        }
    }
    return running;
}

std::int64_t resident_kib(daemon const& of)
{
    std::ifstream status("/proc/" + std::to_string(of.running.id()) +
                         "/status");
    std::string word;
    std::int64_t kib = 0;
    while (status >> word)
    {
        if (word == "VmRSS:")
        {
            status >> kib;
        }
    }
    return kib;
}

void note_memory(trial& on)
{
    std::string sizes;
    for (std::unique_ptr<daemon> const& each : on.daemons)
    {
        sizes += " " + each->name + "=" + std::to_string(resident_kib(*each));
    }
    on.note("resident_kib" + sizes);
}

/** Kills each daemon above its memory, as the platform does; it is started
 * again. Returns how many were killed. */
int enforce_memory(trial& on)
{
    int killed = 0;
    for (std::unique_ptr<daemon> const& each : on.daemons)
    {
        std::int64_t const kib = resident_kib(*each);
        if (each->running.is_running() && kib > on.options.memory_mb * 1024)
        {
            on.note("daemon=" + each->name + " resident_kib=" +
                    std::to_string(kib) + " exceeds memory-mb=" +
                    std::to_string(on.options.memory_mb) + ": killed");
            each->running.signal(SIGKILL);
            killed += 1;
        }
    }
    return killed;
}

/** Runs the loop and enforces the daemons' memory meanwhile. */
int run_and_enforce_memory(trial& on, milliseconds span)
{
    int killed = 0;
    milliseconds const until = on.now() + span;
    while (on.now() < until)
    {
        on.run_for(milliseconds{100});
        killed += enforce_memory(on);
    }
    return killed;
}

/** How long nothing of the job has run at the end of the trial, from `finish`
 * after it was accepted on. */
milliseconds
idle_at_end(trial const& on, std::string const& job, milliseconds accepted)
{
    milliseconds since = accepted + finish;
    for (task_event const& each : on.events)
    {
        since = each.task.job == job ? std::max(since, each.at) : since;
    }
    return tasks_running(on, job) > 0 ? milliseconds{0} : on.now() - since;
}

// ---- one_request

/** One job of many small tasks, with the longest spec. */
batch::job many_small_tasks(trial& on)
{
    constexpr int steps = 8;
    constexpr std::size_t spec_bytes = 4000;
    batch::job job =
        on.make_job("b16b00b500000001", max_tasks_per_step, milliseconds{1000});
    job.spec = std::string(spec_bytes, 's');
    job.steps.front().size = {1, 0, 0};
    job.steps.front().estimate = milliseconds{0};
    job.steps.resize(steps, job.steps.front());
    on.jobs[job.id] = job;
    return job;
}

/** Hands the job in, at other daemons if it isn't accepted at first. Returns
 * when it was accepted; none: it wasn't. */
std::optional<milliseconds> hand_in(trial& on, batch::job const& job)
{
    constexpr int attempts = 8;
    constexpr milliseconds pause{500};
    for (int k = 0; k < attempts; ++k)
    {
        int const status =
            on.call_and_wait("POST",
                             daemon_at(on, k),
                             standin::submit_request(job, client_deadline),
                             client_deadline);
        if (status == 200)
        {
            return on.now();
        }
        on.run_for(pause);
    }
    return std::nullopt;
}

/**
 * Hands in an ordinary job, one of many small tasks, and another ordinary job.
 * Broken if a daemon exceeds its memory, or if nothing of an accepted ordinary
 * job runs for 3 s.
 */
verdict one_request(trial& on)
{
    constexpr milliseconds idle_bound{3000};
    constexpr milliseconds limit{70'000};
    constexpr int checks = 32; // a second each, and what the calls take
    batch::job const before =
        on.make_job("c0ffee0000000001", 2, milliseconds{1500}, 3);
    batch::job const after =
        on.make_job("c0ffee0000000002", 2, milliseconds{500});
    std::map<std::string, milliseconds> accepted;
    std::optional<milliseconds> const first = hand_in(on, before);
    if (!first)
    {
        return verdict::not_run;
    }
    accepted[before.id] = *first;
    if (on.options.trouble)
    {
        on.call_and_wait(
            "POST",
            daemon_at(on, 0),
            standin::submit_request(many_small_tasks(on), client_deadline),
            client_deadline);
    }
    int killed = run_and_enforce_memory(on, milliseconds{2000});
    std::optional<milliseconds> const second = hand_in(on, after);
    if (second)
    {
        accepted[after.id] = *second;
    }
    std::map<std::string, std::string> states;
    for (int k = 0; k < checks && on.now() < limit; ++k)
    {
        killed += run_and_enforce_memory(on, milliseconds{1000});
        bool all = true;
        for (auto const& entry : accepted)
        {
            std::string body;
            on.call_and_wait("GET",
                             daemon_at(on, k),
                             standin::query_request(on.jobs.at(entry.first)),
                             milliseconds{1000},
                             &body);
            states[entry.first] = body.empty() ? states[entry.first] : body;
            all = all && is_state(states[entry.first], "completed");
        }
        if (all)
        {
            break;
        }
    }
    bool lost = false;
    for (auto const& entry : accepted)
    {
        bool const completed = is_state(states[entry.first], "completed");
        milliseconds const idle = idle_at_end(on, entry.first, entry.second);
        on.note("accepted job=" + entry.first +
                " answer=" + states[entry.first] +
                " idle_ms=" + std::to_string(completed ? 0 : idle.count()));
        lost = lost || (!completed && idle >= idle_bound);
    }
    on.note("killed_for_memory=" + std::to_string(killed) +
            " lost=" + (lost ? "yes" : "no"));
    return killed > 0 || lost ? verdict::broken : verdict::held;
}

// ---- ended_jobs

/** Hands in jobs one after the other and cancels each as soon as it is
 * accepted. Broken if a daemon exceeds its memory. */
verdict ended_jobs(trial& on)
{
    constexpr int jobs = 2000;
    constexpr int steps = 20;
    constexpr int tasks = 100;
    constexpr milliseconds pause{25}; // 40 jobs a second
    constexpr milliseconds limit{75'000};
    int const wanted = on.options.trouble ? jobs : 20;
    milliseconds const began = on.now();
    on.quiet_prefix = "dead";
    int accepted = 0;
    int cancelled = 0;
    int killed = 0;
    int sent = 0;
    std::string last;
    while (sent < wanted && killed == 0 && on.now() < began + limit)
    {
        batch::job job =
            on.make_job(make_id("dead0000", sent), tasks, milliseconds{1000});
        job.steps.front().size = {16'000, 1024, 0};
        job.steps.resize(steps, job.steps.front());
        on.jobs[job.id] = job;
        daemon& entry = daemon_at(on, sent);
        on.call(entry.callers,
                standin::submit_request(job, client_deadline),
                client_deadline,
                [&, job](result<http_reply> const& reply)
                {
                    if (!reply.has_value() ||
                        reply.assume_value().status != 200)
                    {
                        return;
                    }
                    accepted += 1;
                    on.call(entry.callers,
                            standin::cancel_request(job),
                            client_deadline,
                            [&, id = job.id](result<http_reply> const& answer)
                            {
                                bool const done =
                                    answer.has_value() &&
                                    answer.assume_value().status == 200;
                                cancelled += done ? 1 : 0;
                                last = done ? id : last;
                            });
                });
        sent += 1;
        on.run_for(pause);
        killed += enforce_memory(on);
        if (sent % 100 == 0)
        {
            on.note("sent=" + std::to_string(sent) +
                    " accepted=" + std::to_string(accepted) +
                    " cancelled=" + std::to_string(cancelled) +
                    " open=" + std::to_string(accepted - cancelled) +
                    " records_of_open_jobs=" +
                    std::to_string(on.store.count("in/job/")));
            note_memory(on);
        }
    }
    killed += run_and_enforce_memory(on, milliseconds{3500});
    note_memory(on);
    on.note(
        "sent=" + std::to_string(sent) + " accepted=" +
        std::to_string(accepted) + " cancelled=" + std::to_string(cancelled) +
        " records_of_open_jobs=" + std::to_string(on.store.count("in/job/")) +
        " killed_for_memory=" + std::to_string(killed));
    if (accepted == 0)
    {
        return verdict::not_run;
    }
    return killed > 0 ? verdict::broken : verdict::held;
}

// ---- cancel_unanswered

/**
 * One daemon, which isn't the placer, loses the store for 4 s. A client hands a
 * job in there, leaves without an answer after 0.9 s and cancels the job at
 * another daemon.
 */
verdict cancel_unanswered(trial& on)
{
    constexpr milliseconds leaves_after{900};
    constexpr milliseconds cut_span{4000};
    constexpr milliseconds watched{9000};
    int const placer = on.placer();
    daemon& entry = daemon_at(on, placer + 1);
    daemon& other = daemon_at(on, placer + 2);
    batch::job const job =
        on.make_job("c0ffee0000000003", 2, milliseconds{6000}, 3);
    if (on.options.trouble)
    {
        on.note("daemon=" + entry.name + " is cut off from the store");
        entry.to_store->set_cut(true);
    }
    milliseconds const cut_at = on.now();
    int const handed_in =
        on.call_and_wait("POST",
                         entry,
                         standin::submit_request(job, client_deadline),
                         leaves_after);
    int const cancelled = on.call_and_wait(
        "DELETE", other, standin::cancel_request(job), client_deadline);
    milliseconds const acknowledged = on.now();
    bool const is_acknowledged =
        (cancelled >= 200 && cancelled < 300) || cancelled == 410;
    while (on.now() < cut_at + cut_span)
    {
        on.run_for(milliseconds{50});
    }
    entry.to_store->set_cut(false);
    milliseconds const healed = on.now();
    on.note("the cut has ended");
    milliseconds const gone_by =
        std::max(acknowledged, healed + contact) + cancel_bound + stop_bound;
    bool runs_on = false;
    while (on.now() < gone_by + watched)
    {
        on.run_for(milliseconds{1000});
        on.call_and_wait(
            "GET", other, standin::query_request(job), milliseconds{1000});
        bool const runs = tasks_running(on, job.id) > 0;
        if (on.now() > gone_by && runs && !runs_on)
        {
            on.note("UNASKED: a task runs " +
                    std::to_string((on.now() - acknowledged).count()) +
                    " ms after the cancel's acknowledgement");
            runs_on = true;
        }
    }
    int late_starts = 0;
    for (task_event const& each : on.events)
    {
        if (each.task.job == job.id && !each.ended &&
            each.at > acknowledged + cancel_bound)
        {
            late_starts += 1;
            on.note("UNASKED: task " + std::to_string(each.task.step) + "." +
                    std::to_string(each.task.index) + " started " +
                    std::to_string((each.at - acknowledged).count()) +
                    " ms after the cancel's acknowledgement");
        }
    }
    on.note("hand_in_status=" + std::to_string(handed_in) +
            " cancel_status=" + std::to_string(cancelled) +
            " late_starts=" + std::to_string(late_starts) +
            " runs_on=" + (runs_on ? "yes" : "no"));
    if (!is_acknowledged || on.placer() != placer)
    {
        return verdict::not_run;
    }
    return late_starts > 0 || runs_on ? verdict::broken : verdict::held;
}

// ---- wide_gang

/**
 * A gang of many small tasks, which fits on one idle worker, in a cell that
 * runs nothing else. Broken if, `finish` after it was accepted, nothing of it
 * runs for 3 s.
 */
verdict wide_gang(trial& on)
{
    constexpr milliseconds idle_bound{3000};
    constexpr int checks = 45; // a second each
    int const members = on.options.trouble ? 1500 : 40;
    batch::job job =
        on.make_job("c0ffee0000000004", members, milliseconds{1000});
    job.steps.front().size = {20, 20, 0};
    job.steps.front().gang = true;
    on.jobs[job.id] = job;
    int const status =
        on.call_and_wait("POST",
                         daemon_at(on, 0),
                         standin::submit_request(job, client_deadline),
                         client_deadline);
    milliseconds const accepted = on.now();
    std::string body;
    for (int k = 0; k < checks && !is_state(body, "completed"); ++k)
    {
        on.run_for(milliseconds{1000});
        on.call_and_wait("GET",
                         daemon_at(on, 0),
                         standin::query_request(job),
                         milliseconds{1000},
                         &body);
    }
    bool const completed = is_state(body, "completed");
    int running = 0;
    int idle_spans = 0;
    milliseconds longest{0};
    milliseconds idle_since = accepted;
    auto const end_span = [&](milliseconds at)
    {
        milliseconds const span = at - idle_since;
        if (idle_since >= accepted + finish && span >= idle_bound)
        {
            idle_spans += 1;
            longest = std::max(longest, span);
            on.note("LOST: nothing runs from at_ms=" +
                    std::to_string(idle_since.count()) + " for " +
                    std::to_string(span.count()) + " ms");
        }
    };
    for (task_event const& each : on.events)
    {
        if (each.task.job != job.id)
        {
            continue;
        }
        if (!each.ended && running == 0)
        {
            end_span(each.at);
        }
        running += each.ended ? -1 : 1;
        if (running == 0)
        {
            idle_since = each.at;
        }
    }
    if (running == 0 && !completed)
    {
        end_span(on.now());
    }
    on.note("members=" + std::to_string(members) +
            " hand_in_status=" + std::to_string(status) +
            " completed=" + (completed ? "yes" : "no") +
            " idle_spans=" + std::to_string(idle_spans) +
            " longest_ms=" + std::to_string(longest.count()));
    if (status != 200)
    {
        return verdict::not_run;
    }
    return !completed && idle_spans > 0 ? verdict::broken : verdict::held;
}

// ---- moved_queue

/**
 * A configuration sends the queue to another service. Three seconds later the
 * executors of the old one drain and leave. Broken if, `finish` after it was
 * accepted, nothing of an accepted job runs for 3 s.
 */
verdict moved_queue(trial& on)
{
    constexpr milliseconds idle_bound{3000};
    constexpr milliseconds drain{2500};   // over drain-ms
    constexpr milliseconds away{200'000}; // for good
    constexpr milliseconds limit{45'000};
    batch::job const job =
        on.make_job("c0ffee0000000005", 2, milliseconds{2500}, 3);
    int const status =
        on.call_and_wait("POST",
                         daemon_at(on, 0),
                         standin::submit_request(job, client_deadline),
                         client_deadline);
    milliseconds const accepted = on.now();
    on.run_for(milliseconds{1000});
    if (on.options.trouble)
    {
        on.config.version += 1;
        on.config.queues.front().service = second_service;
        on.store.put("op/config", standin::encode_config(on.config));
        on.note(std::string("configuration version=2 sends the queue to ") +
                second_service);
        on.run_for(milliseconds{3000});
        for (int k = 0; k < on.fleet->size(); ++k)
        {
            on.note("worker=" + on.fleet->id(k) + " drains and leaves");
            on.fleet->drain(k, drain, away);
        }
    }
    std::string body;
    while (on.now() < accepted + limit && !is_state(body, "completed"))
    {
        on.run_for(milliseconds{1000});
        on.call_and_wait("GET",
                         daemon_at(on, 0),
                         standin::query_request(job),
                         milliseconds{1000},
                         &body);
    }
    // The new service serves the queue: a job handed in now is run.
    batch::job const later =
        on.make_job("c0ffee0000000006", 2, milliseconds{500});
    on.call_and_wait("POST",
                     daemon_at(on, 1),
                     standin::submit_request(later, client_deadline),
                     client_deadline);
    on.run_for(milliseconds{3000});
    on.call_and_wait("GET",
                     daemon_at(on, 1),
                     standin::query_request(later),
                     milliseconds{1000});
    milliseconds const idle = idle_at_end(on, job.id, accepted);
    bool const completed = is_state(body, "completed");
    on.note("hand_in_status=" + std::to_string(status) +
            " completed=" + (completed ? "yes" : "no") +
            " idle_ms=" + std::to_string(idle.count()));
    if (status != 200)
    {
        return verdict::not_run;
    }
    return !completed && idle >= idle_bound ? verdict::broken : verdict::held;
}

using case_function = verdict (*)(trial&);

std::map<std::string, case_function> const& all_cases()
{
    static std::map<std::string, case_function> const known{
        {"one_request", one_request},
        {"moved_queue", moved_queue},
        {"ended_jobs", ended_jobs},
        {"cancel_unanswered", cancel_unanswered},
        {"wide_gang", wide_gang},
    };
    return known;
}

} // namespace

verdict run_case(std::string const& name, trial& on)
{
    auto const found = all_cases().find(name);
    return found == all_cases().end() ? verdict::not_run : found->second(on);
}

} // namespace cicada::review
