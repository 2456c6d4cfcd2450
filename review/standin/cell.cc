#include "cell.h"

#include <csignal>
#include <fcntl.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

namespace review
{

namespace
{

constexpr std::uint16_t first_port = 7001;
constexpr std::uint16_t metrics_port = first_port + 3;

tcp::endpoint at(std::string const& host, std::uint16_t port)
{
    return {asio::ip::make_address(host), port};
}

} // namespace

cell::cell(asio::io_context& given,
           store& to,
           judge& judged,
           cell_settings const& chosen)
    : loop(given), rules(judged), settings(chosen)
{
    int const pid = static_cast<int>(::getpid());
    for (int k = 0; k < this->settings.daemons; ++k)
    {
        auto d = std::make_unique<daemon>();
        d->name = "d" + std::to_string(k + 1);
        d->host = "127." + std::to_string(1 + pid / 250 % 250) + "." +
                  std::to_string(1 + pid % 250) + "." + std::to_string(k + 1);
        d->settings_file = this->settings.folder + "/" + d->name + ".ini";
        d->log_file = this->settings.folder + "/" + d->name + ".log";
        std::string const way = "127.0.0.1:" + std::to_string(to.port());
        // As deploy/settings.ini, filled in.
        std::ofstream file(d->settings_file);
        file << "[daemon]\nname = " << d->name
             << "\nzone = z\ndescriptors = 4100\ncores = 0.25\n"
             << "stop-limit = 6s\n\n[listen]\ncallers = " << d->host << ":"
             << first_port << "\nreadiness = " << d->host << ":"
             << first_port + 1 << "\nlink = " << d->host << ":"
             << first_port + 2 << "\nmetrics = " << d->host << ":"
             << metrics_port << "\n\n[store]\naddress = " << way
             << "\ncatch-up-limit = " << this->settings.catch_up_ms
             << "ms\n\n[advisor]\naddress =\n\n[workers]\nlease-limit = "
             << this->settings.hold_max.count() << "ms\n";
        this->daemons.push_back(std::move(d));
    }
}

cell::~cell()
{
    for (auto& each : this->daemons)
    {
        if (each->pid > 0)
        {
            ::kill(each->pid, SIGCONT);
            ::kill(each->pid, SIGKILL);
            ::waitpid(each->pid, nullptr, 0);
        }
    }
}

bool cell::start(daemon& d)
{
    pid_t const parent = ::getpid();
    pid_t const child = ::fork();
    if (child == 0)
    {
        ::prctl(PR_SET_PDEATHSIG, SIGKILL);
        if (::getppid() != parent)
        {
            ::_exit(127);
        }
        int const log = ::open(d.log_file.c_str(),
                               O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC,
                               0644);
        ::dup2(log, 1);
        ::dup2(log, 2);
        for (int each = 3; each < 1024; ++each)
        {
            ::close(each);
        }
        ::execl(this->settings.program.c_str(),
                this->settings.program.c_str(),
                "--settings",
                d.settings_file.c_str(),
                nullptr);
        ::_exit(127);
    }
    d.pid = child;
    return child > 0;
}

bool cell::start_all()
{
    for (auto& each : this->daemons)
    {
        if (!this->start(*each))
        {
            return false;
        }
    }
    asio::co_spawn(this->loop, this->watch_over(), asio::detached);
    asio::co_spawn(this->loop, this->probe(), asio::detached);
    return true;
}

/** The platform starts a process that has ended again. */
awaitable<void> cell::watch_over()
{
    constexpr milliseconds restart_delay{500};
    for (;;)
    {
        co_await pause_for(milliseconds(20));
        for (auto& each : this->daemons)
        {
            daemon& d = *each;
            int status = 0;
            if (d.pid > 0 && ::waitpid(d.pid, &status, WNOHANG) == d.pid)
            {
                d.pid = 0;
                d.start_at = clock::now() + restart_delay;
                this->rules.note("daemon " + d.name + " ended by itself");
            }
            if (d.pid == 0 && clock::now() >= d.start_at)
            {
                this->start(d);
            }
        }
    }
}

awaitable<void> cell::probe()
{
    for (;;)
    {
        for (auto& each : this->daemons)
        {
            asio::co_spawn(
                this->loop,
                [&d = *each]() -> awaitable<void>
                {
                    answer const got = co_await call(at(d.host, first_port + 1),
                                                     "GET",
                                                     "/-/readiness",
                                                     "x",
                                                     {},
                                                     milliseconds(900));
                    d.misses = got.status == 200 ? 0 : d.misses + 1;
                    d.in_rotation = d.misses < 2;
                },
                asio::detached);
        }
        co_await pause_for(milliseconds(1000));
    }
}

// ---- clients

clients::clients(asio::io_context& given,
                 cell& to,
                 judge& judged,
                 load_settings const& chosen)
    : loop(given), system(to), rules(judged), settings(chosen),
      random(chosen.seed)
{
}

tcp::endpoint clients::pick()
{
    std::vector<daemon*> ready;
    for (auto& each : this->system.daemons)
    {
        if (each->in_rotation)
        {
            ready.push_back(each.get());
        }
    }
    if (ready.size() * 2 < this->system.daemons.size())
    {
        ready.clear();
        for (auto& each : this->system.daemons)
        {
            ready.push_back(each.get());
        }
    }
    return at(ready[this->random() % ready.size()]->host, first_port);
}

awaitable<void> clients::one(std::string id)
{
    json steps = json::array();
    for (step_shape const& each : this->rules.jobs[id].steps)
    {
        json step{{"count", each.count},
                  {"cpu", each.cpu},
                  {"memory-limit-mb", each.memory},
                  {"estimate-ms", each.work_ms}};
        if (!each.after.empty())
        {
            step["after"] = each.after;
        }
        if (!each.label.empty())
        {
            step["requirements"] = each.label;
        }
        if (each.gang)
        {
            step["gang"] = true;
        }
        if (each.checkpointing)
        {
            step["checkpointing"] = true;
        }
        steps.push_back(std::move(step));
    }
    json const body{{"spec", this->rules.jobs[id].spec}, {"steps", steps}};
    for (int attempt = 0; attempt < 5; ++attempt)
    {
        answer const got = co_await call(this->pick(),
                                         "POST",
                                         this->settings.queue.prefix + id,
                                         this->settings.queue.host,
                                         body,
                                         milliseconds(3000));
        this->rules.note("POST " + id + " -> " + std::to_string(got.status));
        if (got.status / 100 == 2)
        {
            this->rules.jobs[id].accepted = true;
            this->rules.jobs[id].accepted_at = clock::now();
            this->accepted += 1;
            break;
        }
        if (got.status == 429 || got.status == 503)
        {
            this->refused += 1;
            co_await pause_for(milliseconds(1000));
        }
        else
        {
            this->unanswered += 1;
        }
    }
    if (!this->rules.jobs[id].accepted)
    {
        co_return;
    }
    double const drawn =
        std::uniform_real_distribution<double>(0, 1)(this->random);
    if (drawn < this->settings.cancel_share)
    {
        co_await pause_for(milliseconds(this->random() % 900));
        this->rules.jobs[id].cancel_sent = true;
        answer const got = co_await call(this->pick(),
                                         "DELETE",
                                         this->settings.queue.prefix + id,
                                         this->settings.queue.host,
                                         {},
                                         milliseconds(3000));
        this->rules.note("DELETE " + id + " -> " + std::to_string(got.status));
        if (got.status / 100 == 2)
        {
            this->rules.jobs[id].cancelled = true;
            this->rules.jobs[id].cancelled_at = clock::now();
        }
    }
}

std::string clients::submit(std::vector<step_shape> steps)
{
    char text[17];
    std::snprintf(text,
                  sizeof text,
                  "%016llx",
                  static_cast<unsigned long long>(this->random()));
    std::string const id = text;
    job_record& job = this->rules.jobs[id];
    job.id = id;
    job.queue = this->settings.queue.name;
    job.spec = "spec of " + id;
    job.steps = std::move(steps);
    this->sent += 1;
    asio::co_spawn(this->loop, this->one(id), asio::detached);
    return id;
}

awaitable<void> clients::press(milliseconds span)
{
    clock::time_point const until = clock::now() + span;
    while (clock::now() < until)
    {
        this->submit(this->settings.make_steps(this->random));
        double const gap = std::exponential_distribution<double>(
            this->settings.jobs_per_s)(this->random);
        co_await pause_for(milliseconds(static_cast<int>(gap * 1000.0)));
    }
}

awaitable<void> clients::ask(std::string id)
{
    answer const got = co_await call(this->pick(),
                                     "GET",
                                     this->settings.queue.prefix + id,
                                     this->settings.queue.host,
                                     {},
                                     milliseconds(3000));
    this->rules.note("GET " + id + " -> " + std::to_string(got.status) + " " +
                     got.body.dump());
}

std::string const& clients::queue() const
{
    return this->settings.queue.name;
}

json config_of(std::vector<queue_settings> const& queues,
               std::string const& service)
{
    json routes = json::array();
    for (queue_settings const& each : queues)
    {
        routes.push_back(json{{"name", each.name},
                              {"host", each.host},
                              {"prefix", each.prefix},
                              {"kind", "non_idempotent"},
                              {"timeout-ms", 3000},
                              {"target-duration-ms", each.target_ms},
                              {"priority", each.priority},
                              {"service", service},
                              {"max-attempts", each.max_attempts},
                              {"slack-factor", each.slack_factor}});
    }
    return json{{"version", 7},
                {"routes", routes},
                {"services",
                 json::array({json{{"name", service},
                                   {"health-path", "/health"},
                                   {"max-connections", 64},
                                   {"protocol", "h1"},
                                   {"tls-enabled", false},
                                   {"rejects-overload", false},
                                   {"standby", false}}})},
                {"limits",
                 {{"max-header-bytes", 16384},
                  {"max-body-bytes", 262144},
                  {"header-timeout-ms", 3000},
                  {"idle-timeout-ms", 15000}}}};
}

} // namespace review
