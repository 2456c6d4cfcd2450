#include "trial.h"

#include <cstdlib>
#include <unistd.h>

namespace cicada::review
{

namespace
{

constexpr milliseconds probe_period{200};
constexpr milliseconds probe_limit{900};
constexpr milliseconds start_limit{20'000};
constexpr milliseconds service_limit{20'000};
constexpr char const* queue_name = "q";

instant steady_now()
{
    return std::chrono::time_point_cast<milliseconds>(
        std::chrono::steady_clock::now());
}

constexpr std::uint16_t first_port = 7001; //!< of four, on its own host

/** A loopback address of this trial's own, where no outgoing connection takes
 * the ports. */
std::string own_host(std::size_t daemon)
{
    int const pid = static_cast<int>(::getpid());
    return "127." + std::to_string(1 + pid / 250 % 250) + "." +
           std::to_string(1 + pid % 250) + "." + std::to_string(daemon + 1);
}

} // namespace

trial::trial(trial_options given)
    : options(std::move(given)), record(this->options.record),
      began(steady_now()), store(this->loop, 1),
      advisor(this->loop, 1.0, milliseconds{1500})
{
    batch::queue_rule queue;
    queue.name = queue_name;
    queue.host = "q.example";
    queue.prefix = "/q/";
    queue.service = first_service;
    queue.max_attempts = 3;
    queue.slack_factor = 2.0;
    queue.target = seconds{2};
    this->config.version = 1;
    this->config.queues.push_back(queue);
    this->signals.async_wait(
        [this](boost::system::error_code const& problem, int)
        {
            if (!problem)
            {
                this->note("verdict=not_run why=\"ended by a signal\"");
                this->daemons.clear();
                std::_Exit(2);
            }
        });
}

trial::~trial()
{
    for (auto const& entry : this->noted)
    {
        this->note("task events of job=" + entry.first + ": " +
                   std::to_string(entry.second));
    }
    this->daemons.clear(); // kills and reaps
}

milliseconds trial::now() const
{
    return std::chrono::duration_cast<milliseconds>(steady_now() - this->began);
}

void trial::note(std::string const& what)
{
    this->record << "at_ms=" << this->now().count() << " " << what << "\n";
    this->record.flush();
}

void trial::note_task(task_event const& seen)
{
    constexpr int max_noted = 60; // of one job
    constexpr char const* words[] = {
        "done", "failed", "stopped", "lapsed", "broken", "alone"};
    this->events.push_back(seen);
    if (seen.task.job.rfind(this->quiet_prefix, 0) == 0)
    {
        return;
    }
    int& count = this->noted[seen.task.job];
    count += 1;
    if (count > max_noted)
    {
        return;
    }
    this->note(
        "worker=" + seen.worker + (seen.ended ? " ended" : " started") +
        " job=" + seen.task.job + " task=" + std::to_string(seen.task.step) +
        "." + std::to_string(seen.task.index) +
        " run=" + std::to_string(seen.run) +
        (seen.ended
             ? std::string(" how=") + words[static_cast<std::size_t>(seen.how)]
             : ""));
    if (count == max_noted)
    {
        this->note("further events of job=" + seen.task.job +
                   " are counted only");
    }
}

bool trial::write_settings(daemon& of, address const& store_address) const
{
    of.settings_file = this->options.folder + "/" + of.name + ".ini";
    of.log_file = this->options.folder + "/" + of.name + ".log";
    std::string const host = own_host(this->daemons.size());
    of.callers = {host, first_port};
    of.readiness = {host, first_port + 1};
    std::ofstream file(of.settings_file);
    // The keys and figures of deploy/settings.ini on a small deployment.
    file << "[daemon]\nname = " << of.name
         << "\nzone = z\ndescriptors = 4100\ncores = 0.25\nmemory = "
         << this->options.memory_mb
         << "MB\nstop-limit = 6s\n[listen]\ncallers = " << to_string(of.callers)
         << "\nreadiness = " << to_string(of.readiness) << "\nlink = " << host
         << ":" << first_port + 2 << "\nmetrics = " << host << ":"
         << first_port + 3
         << "\n[store]\naddress = " << to_string(store_address)
         << "\ncatch-up-limit = 3000ms\n[workers]\nlease-limit = "
         << this->options.lease_limit.count() << "ms\n";
    file.close();
    return static_cast<bool>(file);
}

platform::standin::worker_observer trial::make_observer()
{
    platform::standin::worker_observer observer;
    observer.profile =
        [this](batch::task_ref const& task, std::uint64_t, std::string const&)
    {
        platform::standin::task_profile out;
        auto const found = this->work.find(task.job);
        out.known = found != this->work.end();
        out.work = out.known ? found->second : milliseconds{0};
        auto const job = this->jobs.find(task.job);
        if (job != this->jobs.end() && task.step >= 0 &&
            task.step < static_cast<int>(job->second.steps.size()))
        {
            batch::task_step const& step =
                job->second.steps[static_cast<std::size_t>(task.step)];
            out.size = step.size;
            out.gang_members = step.gang ? step.count : 0;
        }
        return out;
    };
    observer.started = [this](batch::task_ref const& task,
                              std::uint64_t run,
                              std::string const& worker,
                              resources const&,
                              resources const&)
    {
        this->note_task({this->now(), task, run, worker, false, {}});
    };
    observer.ended = [this](batch::task_ref const& task,
                            std::uint64_t run,
                            std::string const& worker,
                            batch::run_end how)
    {
        this->note_task({this->now(), task, run, worker, true, how});
    };
    observer.acknowledged = [](batch::task_ref const&, std::uint64_t) {};
    observer.violation = [this](std::string const& what)
    {
        this->note("violation=\"" + what + "\"");
    };
    return observer;
}

bool trial::start()
{
    result<address> const store_address = this->store.listen({"127.0.0.1", 0});
    if (!store_address.has_value())
    {
        return false;
    }
    this->store.put("op/config",
                    platform::standin::encode_config(this->config));
    platform::standin::fleet_settings settings;
    settings.service = first_service;
    settings.workers = this->options.workers;
    settings.max_lease = this->options.lease_limit;
    if (this->options.worker_delay.count() > 0)
    {
        settings.advertise = [this](int, address const& real)
        {
            auto const relay = std::make_shared<soak::relay>(this->loop, real);
            relay->set_delay(this->options.worker_delay);
            this->to_workers.push_back(relay);
            result<address> const way = relay->listen();
            return way.has_value() ? way.assume_value() : real;
        };
    }
    this->fleet =
        std::make_unique<platform::standin::fleet>(this->loop,
                                                   this->store,
                                                   this->advisor,
                                                   settings,
                                                   this->make_observer());
    if (!this->fleet->start().has_value())
    {
        return false;
    }
    if (this->options.workers_of_second > 0)
    {
        settings.seed = 2;
        settings.service = second_service;
        settings.workers = this->options.workers_of_second;
        this->second_fleet =
            std::make_unique<platform::standin::fleet>(this->loop,
                                                       this->store,
                                                       this->advisor,
                                                       settings,
                                                       this->make_observer());
        if (!this->second_fleet->start().has_value())
        {
            return false;
        }
    }
    for (int k = 0; k < this->options.daemons; ++k)
    {
        std::unique_ptr<daemon> made = std::make_unique<daemon>();
        made->name = "d" + std::to_string(k + 1);
        made->to_store = std::make_shared<soak::relay>(
            this->loop, store_address.assume_value());
        result<address> const way = made->to_store->listen();
        if (!way.has_value() ||
            !this->write_settings(*made, way.assume_value()) ||
            !made->running
                 .start(
                     this->options.program, made->settings_file, made->log_file)
                 .has_value())
        {
            return false;
        }
        this->daemons.push_back(std::move(made));
    }
    this->probe();
    bool const up = this->run_until(
        [this]
        {
            bool all = this->placer() >= 0;
            for (std::unique_ptr<daemon> const& each : this->daemons)
            {
                all = all && each->ready;
            }
            return all;
        },
        start_limit);
    // An ordinary job shows that the cell serves before the case begins.
    batch::job const first =
        this->make_job("00000000000000aa", 2, milliseconds{200});
    bool served = false;
    if (up)
    {
        this->call_and_wait(
            "POST",
            *this->daemons[0],
            platform::standin::submit_request(first, milliseconds{3000}),
            milliseconds{3000});
        instant const until = steady_now() + service_limit;
        while (!served && steady_now() < until)
        {
            this->run_for(milliseconds{200});
            std::string body;
            this->call_and_wait("GET",
                                *this->daemons[0],
                                platform::standin::query_request(first),
                                milliseconds{1000},
                                &body);
            served = body.find("completed") != std::string::npos;
        }
    }
    this->note(std::string("cell serves=") + (served ? "yes" : "no") +
               " placer=d" + std::to_string(this->placer() + 1));
    return served;
}

void trial::probe()
{
    this->watch_over();
    for (std::unique_ptr<daemon> const& each : this->daemons)
    {
        daemon* const to = each.get();
        this->call(to->readiness,
                   platform::standin::readiness_request(),
                   probe_limit,
                   [to](result<http_reply> const& reply)
                   {
                       to->ready = reply.has_value() &&
                                   reply.assume_value().status == 200;
                   });
    }
    auto timer =
        std::make_shared<boost::asio::steady_timer>(this->loop, probe_period);
    timer->async_wait(
        [this, timer](boost::system::error_code const& problem)
        {
            if (!problem)
            {
                this->probe();
            }
        });
}

void trial::watch_over()
{
    for (std::unique_ptr<daemon> const& each : this->daemons)
    {
        std::optional<soak::process_end> const end = each->running.reap();
        if (!end)
        {
            continue;
        }
        each->ends += 1;
        this->note("daemon=" + each->name +
                   " ended exit_code=" + std::to_string(end->exit_code) +
                   " signal=" + std::to_string(end->signal));
        result<void> const started = each->running.start(
            this->options.program, each->settings_file, each->log_file);
        if (!started.has_value())
        {
            this->note("daemon=" + each->name + " can't be started");
        }
    }
}

bool trial::run_until(std::function<bool()> const& condition,
                      milliseconds limit)
{
    instant const until = steady_now() + limit;
    while (!condition())
    {
        if (steady_now() >= until)
        {
            return false;
        }
        this->loop.run_for(milliseconds{10});
    }
    return true;
}

void trial::run_for(milliseconds span)
{
    this->loop.run_for(span);
}

int trial::placer() const
{
    std::string const claim = this->store.value("cell/placer");
    for (std::size_t k = 0; k < this->daemons.size(); ++k)
    {
        if (claim.find("\"name\":\"" + this->daemons[k]->name + "\"") !=
            std::string::npos)
        {
            return static_cast<int>(k);
        }
    }
    return -1;
}

void trial::call(address const& where,
                 http_request request,
                 milliseconds limit,
                 http_callback callback)
{
    std::unique_ptr<http_client>& client = this->clients[to_string(where)];
    if (!client)
    {
        client = std::make_unique<http_client>(
            this->loop, where, http_client_settings{64});
    }
    client->call(std::move(request), limit, std::move(callback));
}

int trial::call_and_wait(std::string const& what,
                         daemon const& to,
                         http_request const& request,
                         milliseconds limit,
                         std::string* body)
{
    bool done = false;
    int status = 0;
    std::string text;
    this->call(to.callers,
               request,
               limit,
               [&](result<http_reply> const& reply)
               {
                   done = true;
                   if (reply.has_value())
                   {
                       status = reply.assume_value().status;
                       text = reply.assume_value().body;
                   }
               });
    this->run_until(
        [&done]
        {
            return done;
        },
        limit + milliseconds{500});
    this->note("client " + what + " " + request.target + " to=" + to.name +
               " status=" + std::to_string(status) +
               " body=" + text.substr(0, 60));
    if (body != nullptr)
    {
        *body = text;
    }
    return status;
}

batch::job trial::make_job(std::string const& id,
                           int tasks,
                           milliseconds task_work,
                           int steps)
{
    batch::job out;
    out.id = id;
    out.queue = this->config.queues.front();
    out.spec = "spec";
    for (int k = 0; k < steps; ++k)
    {
        batch::task_step step;
        step.count = tasks;
        step.size = {1000, 512, 0};
        step.estimate = task_work;
        if (k > 0)
        {
            step.after = {k - 1};
        }
        out.steps.push_back(step);
    }
    this->work[id] = task_work;
    this->jobs[id] = out;
    return out;
}

} // namespace cicada::review
