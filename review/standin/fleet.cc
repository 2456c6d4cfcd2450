#include "fleet.h"

namespace review
{

namespace
{

std::int64_t unix_ms()
{
    return std::chrono::duration_cast<milliseconds>(
               std::chrono::system_clock::now().time_since_epoch())
        .count();
}

constexpr double checkpoint_ms = 500.0;
constexpr double restore_ms = 100.0;

/** The work that remains after the checkpoint; the value names it. */
double remaining_of(std::string const& checkpoint, double total)
{
    if (checkpoint.empty())
    {
        return total;
    }
    double const worked = static_cast<double>(
        std::strtoll(checkpoint.substr(0, 8).c_str(), nullptr, 16));
    return total - worked + restore_ms;
}

std::string checkpoint_of(double worked, std::string const& job)
{
    char text[32];
    std::snprintf(
        text, sizeof text, "%08llx", static_cast<unsigned long long>(worked));
    return text + job.substr(0, 8);
}

} // namespace

fleet::fleet(asio::io_context& given,
             store& entries,
             judge& judged,
             fleet_settings const& chosen)
    : loop(given), list(entries), rules(judged), settings(chosen),
      random(chosen.seed)
{
    for (int k = 0; k < this->settings.executors; ++k)
    {
        auto e = std::make_unique<executor>();
        e->id = "i-" + std::to_string(this->settings.seed) + "-" +
                std::to_string(k);
        e->kind = this->settings.kinds[static_cast<std::size_t>(k) %
                                       this->settings.kinds.size()];
        e->rack = "r1-" + std::to_string(k / this->settings.per_rack);
        e->cpu = this->settings.cpu;
        this->listen(*e);
        this->executors.push_back(std::move(e));
    }
    for (auto& each : this->executors)
    {
        this->begin_life(*each);
        this->beat(*each);
        asio::co_spawn(this->loop, this->beats(*each), asio::detached);
    }
    asio::co_spawn(this->loop, this->advance(), asio::detached);
}

void fleet::listen(executor& e)
{
    e.listening = std::make_shared<bool>(true);
    e.listener = std::make_unique<server>(
        this->loop,
        [this, &e, listening = e.listening](request r) -> awaitable<reply>
        {
            if (!*listening)
            {
                co_return reply{0, {}, true};
            }
            reply out = co_await this->serve(e, std::move(r));
            out.unanswered = out.unanswered || !*listening;
            co_return out;
        });
}

void fleet::lose_runs(executor& e)
{
    std::vector<task_name> all;
    for (auto const& each : e.active)
    {
        all.push_back(each.first);
    }
    for (task_name const& task : all)
    {
        this->end(e, task, "lost");
    }
    e.finished.clear();
}

void fleet::move(std::size_t which, milliseconds away)
{
    executor& e = *this->executors[which];
    if (e.away || e.cut)
    {
        return;
    }
    e.away = true;
    *e.listening = false;
    this->lose_runs(e);
    this->rules.note("dark " + e.id + " at port " +
                     std::to_string(e.listener->port()));
    asio::co_spawn(
        this->loop,
        [this, &e, away]() -> awaitable<void>
        {
            co_await pause_for(away);
            e.former_listeners.push_back(std::move(e.listener));
            this->listen(e);
            this->begin_life(e);
            this->beat(e);
            this->rules.note("back " + e.id + " at port " +
                             std::to_string(e.listener->port()));
        },
        asio::detached);
}

void fleet::restart(std::size_t which, milliseconds away)
{
    executor& e = *this->executors[which];
    if (e.away || e.cut)
    {
        return;
    }
    e.away = true;
    e.listener->refusing = true;
    this->lose_runs(e);
    e.listener->close_connections();
    this->rules.note("restart " + e.id);
    asio::co_spawn(
        this->loop,
        [this, &e, away]() -> awaitable<void>
        {
            co_await pause_for(away);
            this->begin_life(e);
            this->beat(e);
            this->rules.note("back " + e.id);
        },
        asio::detached);
}

void fleet::begin_life(executor& e)
{
    e.away = false;
    e.draining = false;
    e.listener->refusing = false;
    e.born = unix_ms();
    e.life_began = clock::now();
    e.token = 0;
    e.lease_until = 0;
    e.last_end = 0;
    e.lapsed_through = 0;
    e.sequence = 0;
    e.active.clear();
    e.highest.clear();
    e.finished.clear();
}

std::int64_t fleet::clock_ms(executor const& e) const
{
    return std::chrono::duration_cast<milliseconds>(clock::now() - e.life_began)
        .count();
}

void fleet::beat(executor& e)
{
    e.sequence += 1;
    e.last_beat = clock::now();
    this->list.put(
        "servers/" + e.id,
        json{{"service", this->settings.service},
             {"address", "127.0.0.1:" + std::to_string(e.listener->port())},
             {"zone", "z"},
             {"version", "v1"},
             {"slots", 8},
             {"state", e.draining ? "draining" : "ready"},
             {"cold-remaining-ms", 0},
             {"capacity",
              {{"cpu", e.cpu},
               {"memory-limit-mb", this->settings.memory},
               {"gpu", 0}}},
             {"labels", {e.kind, e.rack}},
             {"born", e.born},
             {"clock-ms", this->clock_ms(e)},
             {"sequence", e.sequence}});
}

awaitable<void> fleet::beats(executor& e)
{
    // A machine's heartbeat keeps its phase across the executor's lives.
    co_await pause_for(milliseconds(std::uniform_int_distribution<int>(
        0, static_cast<int>(this->settings.heartbeat.count()))(this->random)));
    for (;;)
    {
        if (!e.away && !e.cut)
        {
            this->beat(e);
        }
        else if (clock::now() > e.last_beat + 3 * this->settings.heartbeat &&
                 this->list.has("servers/" + e.id))
        {
            this->list.erase("servers/" + e.id);
        }
        co_await pause_for(this->settings.heartbeat);
    }
}

void fleet::crash(std::size_t which,
                  std::optional<milliseconds> away,
                  std::string const& new_kind)
{
    executor& e = *this->executors[which];
    if (e.away || e.cut)
    {
        return;
    }
    e.away = true;
    e.listener->refusing = true;
    this->lose_runs(e);
    e.listener->reset_connections();
    this->rules.note("crash " + e.id + (away ? "" : " for good"));
    if (!away)
    {
        return;
    }
    asio::co_spawn(
        this->loop,
        [this, &e, span = *away, new_kind]() -> awaitable<void>
        {
            co_await pause_for(span);
            this->begin_life(e);
            if (!new_kind.empty())
            {
                e.kind = new_kind;
            }
            this->rules.note("back " + e.id + " kind " + e.kind);
        },
        asio::detached);
}

void fleet::cut(std::size_t which, milliseconds span)
{
    executor& e = *this->executors[which];
    if (e.away || e.cut)
    {
        return;
    }
    e.cut = true;
    this->rules.note("cut " + e.id);
    asio::co_spawn(
        this->loop,
        [this, &e, span]() -> awaitable<void>
        {
            co_await pause_for(span);
            e.cut = false;
            this->rules.note("healed " + e.id);
        },
        asio::detached);
}

reply fleet::stamped(executor const& e, int status, json body) const
{
    body["clock-ms"] = this->clock_ms(e);
    body["born"] = e.born;
    return {status, std::move(body)};
}

awaitable<reply> fleet::serve(executor& e, request r)
{
    // What is sent while the path is cut arrives after it has healed, as TCP
    // repeats it; the sender may have given up by then.
    co_await this->until_healed(e);
    if (!r.expected_instance.empty() && r.expected_instance != e.id)
    {
        co_return this->stamped(e, 421, json::object());
    }
    if (!r.body.is_object())
    {
        co_return this->stamped(e, 400, json::object());
    }
    std::int64_t const token = r.body.value("fencing-token", std::int64_t{0});
    if (token < e.token)
    {
        co_return this->stamped(e, 409, json{{"reason", "fence"}});
    }
    e.token = token;
    reply out;
    if (r.path == "/-/hold")
    {
        out = co_await this->hold(e, r.body);
    }
    else if (r.path == "/-/run-start")
    {
        out = this->start(e, r.body);
    }
    else if (r.path == "/-/run-stop")
    {
        out = this->stop(e, r.body);
    }
    else
    {
        out = this->stamped(e, 400, json::object());
    }
    co_await this->until_healed(e);
    co_return out;
}

awaitable<void> fleet::until_healed(executor& e)
{
    constexpr milliseconds repeat_delay{200};
    bool const was_cut = e.cut;
    while (e.cut)
    {
        co_await pause_for(milliseconds(10));
    }
    if (was_cut)
    {
        co_await pause_for(repeat_delay);
    }
}

void fleet::extend(executor& e, json const& body)
{
    if (body.contains("deadline-ms"))
    {
        std::int64_t const highest =
            this->clock_ms(e) + this->settings.hold_max.count();
        e.lease_until = std::max(
            e.lease_until,
            std::min(body["deadline-ms"].get<std::int64_t>(), highest));
    }
}

json fleet::report(executor const& e) const
{
    json active = json::array();
    for (auto const& each : e.active)
    {
        active.push_back({each.first.job + ".0." +
                              std::to_string(each.first.step) + "." +
                              std::to_string(each.first.index),
                          each.second.run,
                          each.second.checkpoint,
                          0});
    }
    json finished = json::array();
    for (auto const& each : e.finished)
    {
        if (finished.size() < 500)
        {
            finished.push_back(each.second.row);
        }
    }
    return json{{"active", std::move(active)},
                {"finished", std::move(finished)}};
}

awaitable<reply> fleet::hold(executor& e, json body)
{
    std::uint64_t const through = body.value("acked-through", std::uint64_t{0});
    while (!e.finished.empty() && e.finished.begin()->first <= through)
    {
        auto const& first = *e.finished.begin();
        if (first.first > e.lapsed_through)
        {
            this->rules.taken_note(
                first.second.task, first.second.run, first.second.how);
        }
        e.finished.erase(e.finished.begin());
    }
    this->extend(e, body);
    std::int64_t const life = e.born;
    std::int64_t const wait = body.value("wait-ms", std::int64_t{0});
    if (wait > 0 && e.finished.empty())
    {
        asio::steady_timer timer(this->loop, milliseconds(wait));
        e.polls.insert(&timer);
        boost::system::error_code ignored;
        co_await timer.async_wait(asio::redirect_error(use_awaitable, ignored));
        e.polls.erase(&timer);
    }
    if (e.away || e.born != life)
    {
        co_return reply{0, {}, true};
    }
    co_return this->stamped(e, 200, this->report(e));
}

reply fleet::start(executor& e, json const& body)
{
    std::optional<task_name> const task = read_task(body.value("task", ""));
    std::uint64_t const run = body.value("run-id", std::uint64_t{0});
    if (!task || run == 0)
    {
        return this->stamped(e, 400, json::object());
    }
    auto const running = e.active.find(*task);
    if (running != e.active.end() && running->second.run == run)
    {
        this->extend(e, body);
        return this->stamped(e, 200, json::object());
    }
    auto const before = e.highest.find(*task);
    if (before != e.highest.end() && run <= before->second)
    {
        this->extend(e, body);
        return this->stamped(e, 409, json{{"reason", "old"}});
    }
    if (body.value("deadline-ms", std::int64_t{0}) <= this->clock_ms(e))
    {
        return this->stamped(e, 409, json{{"reason", "late"}});
    }
    this->extend(e, body);
    for (std::size_t k = 0; k < this->executors.size(); ++k)
    {
        this->last_started =
            this->executors[k].get() == &e ? k : this->last_started;
    }
    std::string const spec = body.value("spec", "");
    this->rules.started(*task, run, e.id, spec);
    auto const job = this->rules.jobs.find(task->job);
    active_run fresh;
    fresh.run = run;
    fresh.spec = spec;
    fresh.checkpoint = body.value("checkpoint", "");
    if (job != this->rules.jobs.end() &&
        task->step < static_cast<int>(job->second.steps.size()))
    {
        fresh.shape = job->second.steps[static_cast<std::size_t>(task->step)];
    }
    fresh.remaining_ms = remaining_of(fresh.checkpoint, fresh.shape.work_ms);
    if (!fresh.checkpoint.empty() &&
        fresh.checkpoint.substr(8) != task->job.substr(0, 8))
    {
        this->rules.broken("UNASKED",
                           "a checkpoint of another task at " + e.id);
    }
    if (!fresh.shape.label.empty() && fresh.shape.label != e.kind &&
        fresh.shape.label != e.rack)
    {
        this->rules.broken("ROUTE",
                           body.value("task", "") + " requires label " +
                               fresh.shape.label + " and was started on " +
                               e.id + " of kind " + e.kind);
    }
    int used = fresh.shape.cpu;
    for (auto const& each : e.active)
    {
        used += each.second.shape.cpu;
    }
    if (used > e.cpu)
    {
        this->rules.broken("LIMIT",
                           body.value("task", "") + " brings " + e.id + " to " +
                               std::to_string(used) + " of " +
                               std::to_string(e.cpu));
    }
    e.active[*task] = fresh;
    if (fresh.shape.gang)
    {
        gang& g = this->gangs[{task->job, task->step, run}];
        if (g.members.empty())
        {
            g.began = clock::now();
            g.count = fresh.shape.count;
            g.total_ms = fresh.shape.work_ms;
            g.checkpointing = fresh.shape.checkpointing;
            g.fails = fresh.shape.fails;
        }
        g.members[task->index] = &e;
        g.remaining_ms = std::max(g.remaining_ms, fresh.remaining_ms);
    }
    return this->stamped(e, 200, json::object());
}

reply fleet::stop(executor& e, json const& body)
{
    std::optional<task_name> const task = read_task(body.value("task", ""));
    std::uint64_t const run = body.value("run-id", std::uint64_t{0});
    if (!task || run == 0)
    {
        return this->stamped(e, 400, json::object());
    }
    std::uint64_t& highest = e.highest[*task];
    highest = std::max(highest, run);
    auto const running = e.active.find(*task);
    if (running != e.active.end() && running->second.run <= run)
    {
        if (running->second.shape.checkpointing && !running->second.shape.gang)
        {
            running->second.checkpoint =
                checkpoint_of(running->second.shape.work_ms -
                                  std::max(0.0, running->second.remaining_ms),
                              task->job);
        }
        this->end(e, *task, "stopped");
    }
    return this->stamped(e, 200, json::object());
}

void fleet::end(executor& e, task_name const& given, std::string const& how)
{
    task_name const task = given;
    auto const found = e.active.find(task);
    if (found == e.active.end())
    {
        return;
    }
    active_run const run = found->second;
    e.active.erase(found);
    std::uint64_t& highest = e.highest[task];
    highest = std::max(highest, run.run);
    this->rules.ended(task, run.run, e.id, how);
    if (how != "lost")
    {
        e.last_end += 1;
        e.finished[e.last_end] = {json{e.last_end,
                                       task.job + ".0." +
                                           std::to_string(task.step) + "." +
                                           std::to_string(task.index),
                                       run.run,
                                       how,
                                       run.checkpoint},
                                  task,
                                  run.run,
                                  how};
        for (asio::steady_timer* each : e.polls)
        {
            each->cancel();
        }
    }
    if (run.shape.gang && how != "done" && how != "broken" && how != "alone")
    {
        auto const key = std::make_tuple(task.job, task.step, run.run);
        auto const g = this->gangs.find(key);
        if (g != this->gangs.end())
        {
            g->second.members.erase(task.index);
            this->end_gang(task.job, task.step, run.run, "broken");
        }
    }
}

void fleet::end_gang(std::string const& job,
                     int step,
                     std::uint64_t run,
                     std::string const& how)
{
    auto const key = std::make_tuple(job, step, run);
    auto const found = this->gangs.find(key);
    if (found == this->gangs.end())
    {
        return;
    }
    gang const g = found->second;
    this->gangs.erase(found);
    for (auto const& each : g.members)
    {
        this->end(*each.second, {job, step, each.first}, how);
    }
}

awaitable<void> fleet::advance()
{
    clock::time_point last = clock::now();
    for (;;)
    {
        co_await pause_for(milliseconds(10));
        clock::time_point const now = clock::now();
        double const elapsed =
            std::chrono::duration<double, std::milli>(now - last).count();
        last = now;
        for (auto& each : this->executors)
        {
            executor& e = *each;
            if (e.away)
            {
                continue;
            }
            bool const lapsed = this->clock_ms(e) > e.lease_until;
            if (lapsed)
            {
                e.lapsed_through = e.last_end;
            }
            std::vector<std::pair<task_name, std::string>> ended;
            for (auto& entry : e.active)
            {
                active_run& run = entry.second;
                if (lapsed)
                {
                    ended.emplace_back(entry.first, "lapsed");
                    continue;
                }
                if (run.shape.gang)
                {
                    continue;
                }
                run.remaining_ms -= elapsed;
                run.worked_ms += elapsed;
                if (run.shape.checkpointing && run.worked_ms >= checkpoint_ms)
                {
                    run.worked_ms = 0;
                    run.checkpoint = checkpoint_of(
                        run.shape.work_ms - std::max(0.0, run.remaining_ms),
                        entry.first.job);
                }
                if (run.remaining_ms <= 0)
                {
                    ended.emplace_back(entry.first,
                                       run.shape.fails ? "failed" : "done");
                }
            }
            for (auto const& one : ended)
            {
                this->end(e, one.first, one.second);
            }
        }
        std::vector<
            std::pair<std::tuple<std::string, int, std::uint64_t>, std::string>>
            ended;
        for (auto& entry : this->gangs)
        {
            gang& g = entry.second;
            if (static_cast<int>(g.members.size()) < g.count)
            {
                if (now > g.began + this->settings.gang_timeout)
                {
                    ended.emplace_back(entry.first, "alone");
                }
                continue;
            }
            g.remaining_ms -= elapsed;
            g.worked_ms += elapsed;
            if (g.checkpointing && g.worked_ms >= checkpoint_ms)
            {
                g.worked_ms = 0;
                std::string const value =
                    checkpoint_of(g.total_ms - std::max(0.0, g.remaining_ms),
                                  std::get<0>(entry.first));
                for (auto const& member : g.members)
                {
                    auto const run =
                        member.second->active.find({std::get<0>(entry.first),
                                                    std::get<1>(entry.first),
                                                    member.first});
                    if (run != member.second->active.end())
                    {
                        run->second.checkpoint = value;
                    }
                }
            }
            if (g.remaining_ms <= 0)
            {
                ended.emplace_back(entry.first, g.fails ? "failed" : "done");
            }
        }
        for (auto const& one : ended)
        {
            this->end_gang(std::get<0>(one.first),
                           std::get<1>(one.first),
                           std::get<2>(one.first),
                           one.second);
        }
    }
}

bool fleet::has_room_twice(step_shape const& step) const
{
    int fits = 0;
    for (auto const& each : this->executors)
    {
        executor const& e = *each;
        bool const serves = !e.away && !e.cut && !e.draining &&
                            (step.label.empty() || step.label == e.kind ||
                             step.label == e.rack);
        int used_cpu = 0;
        int used_memory = 0;
        for (auto const& run : e.active)
        {
            used_cpu += run.second.shape.cpu;
            used_memory += run.second.shape.memory;
        }
        if (serves)
        {
            fits +=
                std::min((e.cpu - used_cpu) / step.cpu,
                         (this->settings.memory - used_memory) / step.memory);
        }
    }
    return fits >= 2 * step.count;
}

double fleet::share_in_use() const
{
    double used = 0;
    double all = 0;
    for (auto const& each : this->executors)
    {
        if (each->away)
        {
            continue;
        }
        all += each->cpu;
        for (auto const& run : each->active)
        {
            used += run.second.shape.cpu;
        }
    }
    return all > 0 ? used / all : 1.0;
}

} // namespace review
