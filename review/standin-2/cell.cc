#include "cell.h"

#include <csignal>
#include <cstdlib>
#include <filesystem>
#include <fcntl.h>
#include <spawn.h>
#include <stdexcept>
#include <sys/wait.h>
#include <unistd.h>

extern char** environ;

namespace review
{

namespace
{

constexpr std::int64_t heartbeat_ms = 1500;
constexpr int missed_heartbeats = 3;
constexpr std::int64_t tick_ms = 5;
constexpr std::uint16_t first_port = 7001;
constexpr std::int64_t time_limit_ms = 112'000; // of a case

std::int64_t whole(json const& body, char const* name, std::int64_t fallback)
{
    auto const found = body.find(name);
    return found != body.end() && found->is_number()
               ? found->get<std::int64_t>()
               : fallback;
}

std::string word(json const& body, char const* name)
{
    auto const found = body.find(name);
    return found != body.end() && found->is_string()
               ? found->get<std::string>()
               : "";
}

// A loopback address of this case's own for the daemon.
std::string own_host(std::size_t daemon)
{
    int const pid = static_cast<int>(::getpid());
    return "127." + std::to_string(1 + pid / 250 % 250) + "." +
           std::to_string(1 + pid % 250) + "." + std::to_string(daemon + 1);
}

} // namespace

std::int64_t steady_ms()
{
    return std::chrono::duration_cast<milliseconds>(
               std::chrono::steady_clock::now().time_since_epoch())
        .count();
}

std::int64_t unix_ms()
{
    return std::chrono::duration_cast<milliseconds>(
               std::chrono::system_clock::now().time_since_epoch())
        .count();
}

std::string job_of(std::string const& task)
{
    return task.substr(0, task.find('.'));
}

record::record(std::string const& path) : file(path) {}

double record::seconds() const
{
    return static_cast<double>(steady_ms() - this->began) / 1000.0;
}

void record::line(std::string const& text)
{
    char stamp[32];
    std::snprintf(stamp, sizeof stamp, "%8.3f  ", this->seconds());
    this->file << stamp << text << "\n";
    this->file.flush();
}

// ---- executors

executor::executor(world& given, int number, std::string of_kind, std::string in)
    : all(given), name("i-" + std::to_string(number)), kind(std::move(of_kind)),
      rack(std::move(in))
{
    this->at = {own_host(100 + static_cast<std::size_t>(number)), 8080};
    this->begin_life(0);
}

void executor::listen()
{
    cicada::http_server_settings bounds;
    bounds.idle_timeout = milliseconds{120'000};
    this->server = std::make_unique<cicada::http_server>(
        this->all.loop,
        bounds,
        [this](cicada::http_request const& request,
               cicada::http_responder const& answer)
        {
            this->serve(request, answer);
        });
    cicada::result<address> const opened = this->server->listen(this->at);
    if (!opened.has_value())
    {
        throw std::runtime_error("an executor can't listen: " +
                                 opened.assume_error().message);
    }
    this->at = opened.assume_value();
}

void executor::begin_life(std::int64_t clock_off_ms, std::int64_t entry_ms)
{
    this->life += 1;
    this->running = true;
    this->born = unix_ms() + clock_off_ms;
    this->life_began = steady_ms();
    this->sequence = 0;
    this->token = 0;
    this->lease_until = 0;
    this->last_end = 0;
    this->lapsed_through = 0;
    this->highest.clear();
    this->finished.clear();
    this->end_of.clear();
    this->listen();
    this->next_beat = steady_ms() + entry_ms;
    if (entry_ms == 0)
    {
        this->beat();
    }
    this->all.log("executor " + this->name + " begins life " +
                  std::to_string(this->life) + " born=" +
                  std::to_string(this->born) + " kind=" + this->kind);
}

void executor::crash(milliseconds away, std::int64_t clock_off_ms)
{
    this->leave_for_good();
    this->all.after(away.count(),
                    [this, clock_off_ms]
                    {
                        this->begin_life(clock_off_ms);
                    });
}

void executor::return_as(milliseconds away,
                         std::string other,
                         std::int64_t entry_ms)
{
    this->leave_for_good();
    this->all.after(away.count(),
                    [this, other = std::move(other), entry_ms]
                    {
                        this->kind = other;
                        this->begin_life(0, entry_ms);
                    });
}

void executor::leave_for_good()
{
    this->running = false;
    this->polls.clear();
    this->server.reset();
    std::int64_t const now = steady_ms();
    for (auto const& entry : this->active)
    {
        run_seen& seen =
            this->all.runs[entry.first][entry.second.seen];
        seen.ended = now;
        seen.how = "lost";
    }
    this->active.clear();
    this->entry_gone_at = now + heartbeat_ms * missed_heartbeats;
    this->all.log("executor " + this->name + " crashes");
}

void executor::beat()
{
    this->next_beat = steady_ms() + heartbeat_ms;
    this->sequence += 1;
    this->all.store.put(
        "servers/" + this->name,
        json{{"service", "svc"},
             {"address", cicada::to_string(this->at)},
             {"zone", "z"},
             {"version", "v1"},
             {"slots", 8},
             {"state", "ready"},
             {"cold-remaining-ms", 0},
             {"capacity",
              {{"cpu", this->capacity_cpu},
               {"memory-limit-mb", 65536},
               {"gpu", 0}}},
             {"labels", {this->kind, this->rack}},
             {"born", this->born},
             {"clock-ms", this->clock()},
             {"sequence", this->sequence}}
            .dump());
}

void executor::reply(cicada::http_responder const& answer, int status, json body)
{
    body["clock-ms"] = this->clock();
    body["born"] = this->born;
    answer({status, {{"Content-Type", "application/json"}}, body.dump()});
}

void executor::serve(cicada::http_request const& request,
                     cicada::http_responder const& answer)
{
    auto const expected =
        request.fields.find("x-cicadaproxy-expected-instance");
    if (expected != request.fields.end() && expected->second != this->name)
    {
        this->reply(answer, 421, json::object());
        return;
    }
    json const body = json::parse(request.body, nullptr, false);
    if (!body.is_object())
    {
        this->reply(answer, 400, json::object());
        return;
    }
    std::uint64_t const given =
        static_cast<std::uint64_t>(whole(body, "fencing-token", 0));
    if (given < this->token)
    {
        this->reply(answer, 409, json{{"reason", "fence"}});
        return;
    }
    this->token = given;
    if (request.target == "/-/hold")
    {
        this->hold(body, answer);
    }
    else if (request.target == "/-/run-start")
    {
        this->start(body, answer);
    }
    else if (request.target == "/-/run-stop")
    {
        this->stop(body, answer);
    }
    else
    {
        this->reply(answer, 400, json::object());
    }
}

void executor::extend(json const& body)
{
    std::int64_t const until = whole(body, "deadline-ms", 0);
    std::int64_t const most = this->clock() + this->all.settings.hold_max_ms;
    this->lease_until = std::max(this->lease_until, std::min(until, most));
}

json executor::report() const
{
    json rows = json::array();
    for (auto const& entry : this->active)
    {
        rows.push_back({entry.first, entry.second.run, "", 0, 0});
    }
    json ends = json::array();
    for (auto const& entry : this->finished)
    {
        if (ends.size() < 500)
        {
            ends.push_back(entry.second);
        }
    }
    return json{{"active", std::move(rows)}, {"finished", std::move(ends)}};
}

void executor::hold(json const& body, cicada::http_responder const& answer)
{
    if (this->clock() > this->lease_until)
    {
        this->lapsed_through = this->last_end;
    }
    std::uint64_t const through =
        static_cast<std::uint64_t>(whole(body, "acked-through", 0));
    while (!this->finished.empty() && this->finished.begin()->first <= through)
    {
        std::uint64_t const number = this->finished.begin()->first;
        auto const& of = this->end_of.at(number);
        run_seen& seen = this->all.runs[of.first][of.second];
        seen.noted = number > this->lapsed_through;
        if (this->all.logs(of.first))
        {
            this->all.log("end of " + of.first + " run " +
                          std::to_string(seen.run) + " on " + this->name +
                          " (" + seen.how + ") is acknowledged");
        }
        this->end_of.erase(number);
        this->finished.erase(number);
    }
    this->extend(body);
    std::int64_t const wait = std::min<std::int64_t>(
        2000, whole(body, "wait-ms", 0));
    if (wait <= 0 || !this->finished.empty())
    {
        this->reply(answer, 200, this->report());
        return;
    }
    this->polls.push_back({steady_ms() + wait, answer});
}

void executor::start(json const& body, cicada::http_responder const& answer)
{
    std::string const task = word(body, "task");
    std::uint64_t const run =
        static_cast<std::uint64_t>(whole(body, "run-id", 0));
    auto const here = this->active.find(task);
    if (here != this->active.end() && here->second.run == run)
    {
        this->extend(body);
        this->reply(answer, 200, json::object());
        return;
    }
    auto const before = this->highest.find(task);
    if (here != this->active.end() ||
        (before != this->highest.end() && run <= before->second))
    {
        this->extend(body);
        this->all.log("start of " + task + " run " + std::to_string(run) +
                      " on " + this->name + " is rejected: old");
        this->reply(answer, 409, json{{"reason", "old"}});
        return;
    }
    if (whole(body, "deadline-ms", 0) <= this->clock())
    {
        this->reply(answer, 409, json{{"reason", "late"}});
        return;
    }
    std::vector<run_seen>& seen = this->all.runs[task];
    std::optional<work> const does =
        this->all.truth(task, static_cast<int>(seen.size()) + 1);
    if (!does)
    {
        this->all.broken("UNASKED", "start of " + task + ", which nobody sent");
        this->reply(answer, 400, json::object());
        return;
    }
    this->extend(body);
    this->all.judge_start(task, *this);
    active_run record;
    record.run = run;
    record.ends_at = steady_ms() + does->ms;
    record.fails = does->fails;
    record.cpu = this->all.cpu_of ? this->all.cpu_of(task) : 0;
    record.seen = seen.size();
    seen.push_back({this->name, this->life, run, steady_ms(), 0, "", false});
    this->active[task] = record;
    if (this->all.logs(task))
    {
        this->all.log("start of " + task + " run " + std::to_string(run) +
                      " on " + this->name);
    }
    this->reply(answer, 200, json::object());
}

void executor::stop(json const& body, cicada::http_responder const& answer)
{
    std::string const task = word(body, "task");
    std::uint64_t const run =
        static_cast<std::uint64_t>(whole(body, "run-id", 0));
    std::uint64_t& most = this->highest[task];
    most = std::max(most, run);
    auto const here = this->active.find(task);
    if (here != this->active.end() && here->second.run == run)
    {
        this->end(task, "stopped");
    }
    this->reply(answer, 200, json::object());
}

void executor::end(std::string const& which, std::string const& how)
{
    std::string const task = which;
    active_run const record = this->active.at(task);
    this->active.erase(task);
    std::uint64_t& most = this->highest[task];
    most = std::max(most, record.run);
    run_seen& seen = this->all.runs[task][record.seen];
    seen.ended = steady_ms();
    seen.how = how;
    this->last_end += 1;
    this->finished[this->last_end] =
        json::array({this->last_end, task, record.run, how, ""});
    this->end_of[this->last_end] = {task, record.seen};
    if (this->all.logs(task))
    {
        this->all.log("run " + std::to_string(record.run) + " of " + task +
                      " on " + this->name + " ends: " + how);
    }
}

int executor::busy_cpu() const
{
    int sum = 0;
    for (auto const& entry : this->active)
    {
        sum += entry.second.cpu;
    }
    return sum;
}

void executor::tick()
{
    std::int64_t const now = steady_ms();
    if (!this->running)
    {
        if (this->entry_gone_at != 0 && now >= this->entry_gone_at)
        {
            this->entry_gone_at = 0;
            this->all.store.erase("servers/" + this->name);
        }
        return;
    }
    if (now >= this->next_beat)
    {
        this->beat();
    }
    bool const lapsed = this->clock() > this->lease_until;
    if (lapsed)
    {
        this->lapsed_through = this->last_end;
    }
    std::vector<std::pair<std::string, std::string>> ended;
    for (auto const& entry : this->active)
    {
        if (lapsed)
        {
            ended.emplace_back(entry.first, "lapsed");
        }
        else if (now >= entry.second.ends_at)
        {
            ended.emplace_back(entry.first,
                               entry.second.fails ? "failed" : "done");
        }
    }
    for (auto const& each : ended)
    {
        this->end(each.first, each.second);
    }
    std::vector<waiting_poll> left;
    std::vector<waiting_poll> waiting;
    waiting.swap(this->polls);
    for (waiting_poll& each : waiting)
    {
        if (!this->finished.empty() || now >= each.until)
        {
            this->reply(each.answer, 200, this->report());
        }
        else
        {
            left.push_back(std::move(each));
        }
    }
    for (waiting_poll& each : left)
    {
        this->polls.push_back(std::move(each));
    }
}

// ---- the world

void world::reap(daemon_process& each)
{
    int status = 0;
    if (each.pid != 0 && ::waitpid(each.pid, &status, WNOHANG) == each.pid)
    {
        each.pid = 0;
        this->log("daemon " + each.name + " has ended");
    }
}

world::world(cell_settings const& given)
    : settings(given), out(given.folder + "/record.txt"), store(this->loop, 1),
      advisor(this->loop, 0.6, milliseconds{2000})
{
    std::string pattern =
        (std::filesystem::temp_directory_path() / "review-XXXXXX").string();
    if (::mkdtemp(pattern.data()) == nullptr)
    {
        throw std::runtime_error("no temporary folder can be made");
    }
    this->temporary = pattern;
    this->signals.async_wait(
        [this](boost::system::error_code problem, int)
        {
            if (!problem)
            {
                this->give_up("the case was ended from outside");
            }
        });
    this->after(time_limit_ms,
                [this] { this->give_up("the case took too long"); });
    cicada::result<address> const opened = this->store.listen({"127.0.0.1", 0});
    if (!opened.has_value())
    {
        throw std::runtime_error("the store can't listen");
    }
    this->store_at = opened.assume_value();
    cicada::result<address> const advises = this->advisor.listen({"127.0.0.1", 0});
    if (!advises.has_value())
    {
        throw std::runtime_error("the advisor can't listen");
    }
    this->advisor_at = advises.assume_value();
    auto const tick = std::make_shared<std::function<void()>>();
    *tick = [this, tick]
    {
        for (std::unique_ptr<executor> const& each : this->executors)
        {
            each->tick();
        }
        for (std::unique_ptr<daemon_process> const& each : this->daemons)
        {
            this->reap(*each);
        }
        this->after(tick_ms, *tick);
    };
    this->after(tick_ms, *tick);
}

world::~world()
{
    for (std::unique_ptr<daemon_process> const& each : this->daemons)
    {
        this->kill_daemon(*each, SIGKILL);
    }
    std::error_code ignored;
    std::filesystem::remove_all(this->temporary, ignored);
}

void world::after(std::int64_t ms, std::function<void()> then)
{
    auto timer = std::make_shared<boost::asio::steady_timer>(
        this->loop, milliseconds(ms));
    timer->async_wait(
        [timer, then = std::move(then)](boost::system::error_code problem)
        {
            if (!problem)
            {
                then();
            }
        });
}

void world::give_up(std::string const& why)
{
    this->log(why);
    this->given_up = true;
    this->loop.stop();
}

int world::verdict(bool ran)
{
    if (!ran || this->given_up)
    {
        this->log("the case couldn't run");
        return 2;
    }
    this->judge_history();
    return this->breaches.empty() ? 0 : 1;
}

void world::broken(std::string const& rule, std::string const& text)
{
    this->breaches.push_back(rule + ": " + text);
    this->log("BROKEN " + rule + ": " + text);
}

void world::add_executor(std::string const& kind, std::string const& rack)
{
    this->executors.push_back(std::make_unique<executor>(
        *this, static_cast<int>(this->executors.size()), kind, rack));
}

void world::put_config(std::vector<cicada::batch::queue_rule> queues)
{
    cicada::batch::cell_config config;
    config.version = 1;
    config.queues = std::move(queues);
    this->store.put("op/config",
                    cicada::platform::standin::encode_config(config));
}

void world::start_daemons()
{
    for (int k = 0; k < this->settings.daemons; ++k)
    {
        auto each = std::make_unique<daemon_process>();
        each->name = "edge-" + std::to_string(k + 1);
        std::string const host = own_host(static_cast<std::size_t>(k));
        each->callers = {host, first_port};
        each->settings = this->temporary + "/" + each->name + ".ini";
        each->log = this->temporary + "/" + each->name + ".log";
        std::ofstream file(each->settings);
        file << "[daemon]\nname = " << each->name
             << "\nzone = z\ndescriptors = 4100\ncores = 0.25\n"
             << "stop-limit = 6s\n\n[listen]\ncallers = "
             << cicada::to_string(each->callers) << "\nreadiness = " << host
             << ":" << first_port + 1 << "\nlink = " << host << ":"
             << first_port + 2 << "\nmetrics = " << host << ":"
             << first_port + 3 << "\n\n[store]\naddress = "
             << cicada::to_string(this->store_at)
             << "\ncatch-up-limit = 3000ms\n\n[advisor]\naddress = "
             << cicada::to_string(this->advisor_at) << "\n\n[workers]\nlease-limit = "
             << this->settings.hold_max_ms << "ms\n";
        file.close();
        std::error_code ignored;
        std::filesystem::remove(each->log, ignored);
        each->client = std::make_unique<cicada::http_client>(
            this->loop, each->callers, cicada::http_client_settings{32});
        this->start_daemon(*each);
        this->daemons.push_back(std::move(each));
    }
}

void world::start_daemon(daemon_process& each)
{
    posix_spawn_file_actions_t actions;
    posix_spawn_file_actions_init(&actions);
    posix_spawn_file_actions_addopen(&actions,
                                     STDOUT_FILENO,
                                     each.log.c_str(),
                                     O_WRONLY | O_CREAT | O_APPEND,
                                     0644);
    posix_spawn_file_actions_adddup2(&actions, STDOUT_FILENO, STDERR_FILENO);
    // Sockets of the stand-ins must not stay open in a daemon.
    posix_spawn_file_actions_addclosefrom_np(&actions, STDERR_FILENO + 1);
    std::string program = this->settings.program;
    std::string option = "--settings";
    std::string file = each.settings;
    char* arguments[] = {program.data(), option.data(), file.data(), nullptr};
    int const failed = ::posix_spawn(
        &each.pid, program.c_str(), &actions, nullptr, arguments, environ);
    posix_spawn_file_actions_destroy(&actions);
    if (failed != 0)
    {
        throw std::runtime_error("can't start " + program);
    }
    this->log("daemon " + each.name + " is started");
}

void world::kill_daemon(daemon_process& each, int number)
{
    if (each.pid == 0)
    {
        return;
    }
    ::kill(each.pid, number);
    if (number == SIGKILL)
    {
        ::waitpid(each.pid, nullptr, 0);
        each.pid = 0;
    }
    this->log("daemon " + each.name + " gets signal " + std::to_string(number));
}

daemon_process* world::placer()
{
    json const claim =
        json::parse(this->store.value("cell/placer"), nullptr, false);
    std::string const name = claim.is_object() ? word(claim, "name") : "";
    for (std::unique_ptr<daemon_process> const& each : this->daemons)
    {
        if (each->name == name && each->pid != 0)
        {
            return each.get();
        }
    }
    return nullptr;
}

bool world::all_ready()
{
    return this->store.count("cell/daemon/") ==
               static_cast<std::size_t>(this->settings.daemons) &&
           this->placer() != nullptr;
}

void world::call(cicada::http_request request,
                 std::function<void(int, std::string const&)> then,
                 int attempt)
{
    std::vector<daemon_process*> living;
    for (std::unique_ptr<daemon_process> const& each : this->daemons)
    {
        if (each->pid != 0)
        {
            living.push_back(each.get());
        }
    }
    if (living.empty() || attempt > 200)
    {
        then(0, "");
        return;
    }
    daemon_process& to =
        *living[static_cast<std::size_t>(attempt) % living.size()];
    cicada::http_request copy = request;
    to.client->call(
        std::move(copy),
        milliseconds{3000},
        [this, request = std::move(request), then = std::move(then), attempt](
            cicada::result<cicada::http_reply> const& reply)
        {
            int const status =
                reply.has_value() ? reply.assume_value().status : 0;
            bool const again = status == 0 || status == 429 || status == 502 ||
                               status == 503 || status == 504;
            if (again)
            {
                this->after(300,
                            [this, request, then, attempt]
                            {
                                this->call(request, then, attempt + 1);
                            });
                return;
            }
            then(status, reply.assume_value().body);
        });
}

void world::judge_start(std::string const& task, executor const& on)
{
    std::string const label = this->label_of ? this->label_of(task) : "";
    if (!label.empty() && label != on.kind_of())
    {
        this->broken("ROUTE",
                     "start of " + task + ", which requires " + label +
                         ", on " + on.id() + " of kind " + on.kind_of());
    }
    for (run_seen const& each : this->runs[task])
    {
        if (each.ended == 0)
        {
            this->broken("TWICE",
                         "start of " + task + " on " + on.id() +
                             " while run " + std::to_string(each.run) +
                             " works on " + each.executor);
        }
    }
}

void world::judge_history()
{
    for (auto const& entry : this->runs)
    {
        auto const most = this->max_attempts.find(job_of(entry.first));
        for (std::size_t at = 0; at < entry.second.size(); ++at)
        {
            run_seen const& start = entry.second[at];
            int failed = 0;
            bool done = false;
            for (std::size_t k = 0; k < at; ++k)
            {
                run_seen const& before = entry.second[k];
                bool const counts = before.noted && before.ended != 0 &&
                                    before.ended <= start.started;
                failed += counts && before.how == "failed" ? 1 : 0;
                done = done || (counts && before.how == "done");
            }
            std::string const what = "start of " + entry.first + " run " +
                                     std::to_string(start.run) + " on " +
                                     start.executor;
            if (done)
            {
                this->broken("TWICE", what + " after a run has ended done");
            }
            if (most != this->max_attempts.end() && failed >= most->second)
            {
                this->broken("BUDGET",
                             what + " after " + std::to_string(failed) +
                                 " runs have ended failed; max-attempts is " +
                                 std::to_string(most->second));
            }
        }
    }
}

cicada::batch::queue_rule
make_queue(std::string const& name, int priority, int attempts)
{
    cicada::batch::queue_rule out;
    out.name = name;
    out.host = name + ".example";
    out.prefix = "/" + name + "/";
    out.service = "svc";
    out.priority = priority;
    out.max_attempts = attempts;
    out.slack_factor = 4.0;
    out.target = milliseconds{30'000};
    return out;
}

cicada::http_request submit(cicada::batch::queue_rule const& queue,
                            std::string const& id,
                            json const& body)
{
    cicada::http_request out;
    out.method = "POST";
    out.target = queue.prefix + id;
    out.fields["Host"] = queue.host;
    out.fields["Content-Type"] = "application/json";
    out.fields["X-Cicadaproxy-Deadline-Ms"] = "3000";
    out.body = body.dump();
    return out;
}

cicada::http_request get(cicada::batch::queue_rule const& queue,
                         std::string const& id)
{
    cicada::http_request out;
    out.method = "GET";
    out.target = queue.prefix + id;
    out.fields["Host"] = queue.host;
    out.fields["X-Cicadaproxy-Deadline-Ms"] = "3000";
    return out;
}

} // namespace review
