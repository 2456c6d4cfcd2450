#include "soak/soak.hpp"

#include "trouble.hpp"

namespace cicada::soak
{

namespace standin = platform::standin;

namespace
{

constexpr milliseconds watch_period{20};  //!< over processes
constexpr milliseconds probe_period{500}; //!< as the balancer's, twice as fast
constexpr milliseconds start_limit{20'000}; //!< until one daemon is ready
constexpr milliseconds stop_limit{15'000};  //!< for the orderly end

batch::queue_rule make_queue(std::string const& name,
                             int priority,
                             std::optional<batch::advice_terms> advice)
{
    batch::queue_rule out;
    out.name = name;
    out.host = name + ".example";
    out.prefix = "/" + name + "/";
    out.service = "svc";
    out.priority = priority;
    out.max_attempts = 3;
    out.slack_factor = 3.0;
    out.target = milliseconds{20'000};
    out.advice = advice;
    return out;
}

batch::cell_config make_config()
{
    batch::cell_config out;
    out.version = 1;
    out.queues.push_back(
        make_queue("fast", 0, batch::advice_terms{2.0, 0.1, seconds{2}}));
    out.queues.push_back(make_queue("plain", 2, std::nullopt));
    return out;
}

/** Everything of one soak, and the order in which it is taken down. */
class soak
{
public:
    explicit soak(soak_settings const& settings)
        : shared(settings), store(this->shared.loop, settings.seed),
          policy(this->shared.loop, 0.6, milliseconds{2000})
    {
    }

    result<soak_report> run()
    {
        result<void> const opened = this->open();
        if (!opened.has_value())
        {
            return opened.assume_error();
        }
        this->watch_over();
        this->probe();
        this->wait_until_ready();
        this->shared.loop.run();
        this->shared.report.runs = this->started;
        for (std::string const& each : this->shared.judge.violations())
        {
            this->shared.report.breaches.push_back(each);
        }
        return this->shared.report;
    }

private:
    result<void> open()
    {
        result<address> const at_store = this->store.listen({"127.0.0.1", 0});
        result<address> const at_policy = this->policy.listen({"127.0.0.1", 0});
        if (!at_store.has_value() || !at_policy.has_value())
        {
            return error{error_code::unavailable, "no address is free"};
        }
        this->daemons = std::make_unique<crew>(
            this->shared, at_store.assume_value(), at_policy.assume_value());
        this->clients =
            std::make_unique<callers>(this->shared,
                                      *this->daemons,
                                      make_config(),
                                      [this](std::string const& step)
                                      {
                                          return this->count_allowed(step);
                                      });
        this->workers = std::make_unique<standin::fleet>(this->shared.loop,
                                                         this->store,
                                                         this->policy,
                                                         this->fleet_of(),
                                                         this->observer());
        result<void> const listening = this->workers->start();
        if (!listening.has_value())
        {
            return listening.assume_error();
        }
        this->store.put("op/config",
                        standin::encode_config(this->clients->config()));
        this->put_foreign_entries();
        this->faults = std::make_unique<trouble>(this->shared,
                                                 targets{*this->daemons,
                                                         *this->clients,
                                                         this->store,
                                                         *this->workers,
                                                         this->to_workers});
        return this->daemons->start();
    }

    int count_allowed(std::string const& step) const
    {
        int sum = 0;
        for (int k = 0; k < this->workers->size(); ++k)
        {
            sum += this->policy.allows(step, this->workers->id(k)) ? 1 : 0;
        }
        return sum;
    }

    /** Another writer's entries in the list of workers. */
    void put_foreign_entries()
    {
        constexpr std::size_t levels = 100'000;
        std::string const common =
            R"("service":"svc","zone":"z","state":"ready","labels":["a","r1"],)";
        std::vector<std::string> const entries{
            std::string("\xff\x00", 2),
            std::string(levels, '[') + std::string(levels, ']'),
            "{" + common +
                R"("address":"127.0.0.1:65536","capacity":{"cpu":1}})",
            "{" + common +
                R"("address":"127.0.0.1:1","capacity":{"cpu":1e30}})",
            "{" + common +
                R"("address":"127.0.0.1:1","capacity":{"cpu":1},"born":1e30})"};
        for (std::size_t k = 0; k < entries.size(); ++k)
        {
            this->store.put("servers/foreign-" + std::to_string(k), entries[k]);
        }
    }

    standin::fleet_settings fleet_of()
    {
        standin::fleet_settings out;
        out.seed = this->shared.settings.seed;
        out.service = "svc";
        out.workers = this->shared.settings.workers;
        out.advertise = [this](int, address const& real)
        {
            this->to_workers.push_back(
                std::make_shared<relay>(this->shared.loop, real));
            result<address> const way = this->to_workers.back()->listen();
            return way.has_value() ? way.assume_value() : real;
        };
        return out;
    }

    standin::worker_observer observer()
    {
        standin::worker_observer out;
        out.profile = [this](batch::task_ref const& task,
                             std::uint64_t run,
                             std::string const& spec)
        {
            return this->clients->truth(task, run, spec);
        };
        out.started = [this](batch::task_ref const& task,
                             std::uint64_t run,
                             std::string const& worker,
                             resources const& used,
                             resources const& capacity)
        {
            this->started += 1;
            this->shared.judge.started(
                steady_now(), task, run, worker, used, capacity);
        };
        out.ended = [this](batch::task_ref const& task,
                           std::uint64_t run,
                           std::string const& worker,
                           batch::run_end how)
        {
            this->shared.judge.ended(task, run, worker, how);
        };
        out.acknowledged =
            [this](batch::task_ref const& task, std::uint64_t run)
        {
            this->shared.judge.acknowledged(task, run);
        };
        out.violation = [this](std::string const& what)
        {
            this->shared.breach(what);
        };
        return out;
    }

    void watch_over()
    {
        milliseconds const late = steady_now() - this->watched - watch_period;
        this->shared.lateness =
            std::max(late, this->shared.lateness - watch_period / 20);
        this->watched = steady_now();
        this->daemons->watch_over();
        this->shared.after(watch_period,
                           [this]
                           {
                               this->watch_over();
                           });
    }

    void probe()
    {
        this->daemons->probe();
        this->shared.after(probe_period,
                           [this]
                           {
                               this->probe();
                           });
    }

    void wait_until_ready()
    {
        bool ready = false;
        for (std::unique_ptr<daemon_seat> const& each : this->daemons->seats)
        {
            ready = ready || each->in_rotation;
        }
        if (!ready && steady_now() < this->shared.began + start_limit)
        {
            this->shared.after(watch_period,
                               [this]
                               {
                                   this->wait_until_ready();
                               });
            return;
        }
        if (!ready)
        {
            this->shared.breach("no daemon became ready");
        }
        this->clients->begin();
        if (this->shared.settings.faults)
        {
            this->faults->begin();
        }
        this->shared.after(this->shared.settings.load,
                           [this]
                           {
                               this->clients->end();
                               this->faults->heal();
                               this->settle(steady_now() +
                                            this->shared.settings.settle);
                           });
    }

    void settle(instant deadline)
    {
        if (!this->clients->all_over() && steady_now() < deadline)
        {
            this->shared.after(watch_period,
                               [this, deadline]
                               {
                                   this->settle(deadline);
                               });
            return;
        }
        this->clients->finish();
        this->daemons->end_all();
        this->end(steady_now() + stop_limit);
    }

    void end(instant deadline)
    {
        bool running = false;
        for (std::unique_ptr<daemon_seat> const& each : this->daemons->seats)
        {
            running = running || each->running.is_running();
        }
        if (running && steady_now() < deadline)
        {
            this->shared.after(watch_period,
                               [this, deadline]
                               {
                                   this->end(deadline);
                               });
            return;
        }
        if (running)
        {
            this->shared.breach("a daemon did not end after SIGTERM");
        }
        this->shared.loop.stop();
    }

    bench shared;
    standin::store store;
    standin::advisor policy;
    std::vector<std::shared_ptr<relay>> to_workers;
    std::unique_ptr<crew> daemons;
    std::unique_ptr<callers> clients;
    std::unique_ptr<standin::fleet> workers;
    std::unique_ptr<trouble> faults;
    int started = 0;
    instant watched = steady_now();
};

} // namespace

result<soak_report> run_soak(soak_settings const& settings)
{
    soak made(settings);
    return made.run();
}

} // namespace cicada::soak
