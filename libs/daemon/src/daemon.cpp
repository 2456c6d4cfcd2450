#include "daemon/daemon.hpp"

#include "agents_session.hpp"
#include "jobs_session.hpp"
#include "links_session.hpp"
#include "operators_session.hpp"
#include "store_session.hpp"

#include "events_log/events_log.hpp"
#include "instances/instances.hpp"
#include "metrics/metrics.hpp"

#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>

namespace cicada
{
namespace
{

constexpr milliseconds tick_period{50};
constexpr milliseconds instances_limit{2'000};
constexpr milliseconds shutdown_limit{60'000};
constexpr milliseconds last_answers_time{200};
constexpr int started_event = 100;
constexpr int stopping_event = 110;
constexpr int stopped_event = 111;

link_settings make_link_settings(cicadad_settings const& settings)
{
    link_settings made;
    made.name = settings.core.self.name.value;
    made.incarnation = settings.core.incarnation;
    made.version = link_version;
    made.token = settings.link_token.value;
    made.host = settings.link_listen.host;
    made.port = settings.link_listen.port;
    made.silence_limit = settings.core.peer_timeout;
    made.ping_period = settings.core.heartbeat_period;
    made.seed = static_cast<std::uint32_t>(settings.core.incarnation);
    return made;
}

store_settings make_store_settings(cicadad_settings const& settings)
{
    store_settings made;
    made.endpoints = settings.store_addresses;
    made.seed = settings.core.incarnation;
    return made;
}

gateway_settings make_gateway_settings(cicadad_settings const& settings)
{
    gateway_settings made;
    made.self = settings.core.self.name;
    made.incarnation = settings.core.incarnation;
    made.listen = settings.callers_listen;
    made.limits.connections = settings.callers.max_connections;
    made.limits.connections_per_address =
        settings.callers.max_connections_per_address;
    made.limits.head_time = settings.callers.head_timeout;
    made.limits.body_idle = settings.callers.body_timeout;
    made.limits.body_bytes =
        static_cast<std::uint64_t>(settings.callers.max_body_mib) << 20;
    return made;
}

} // namespace

instant clock_now()
{
    return std::chrono::time_point_cast<milliseconds>(
        std::chrono::steady_clock::now());
}

struct daemon::impl
{
    explicit impl(cicadad_settings const& given);

    result<void> open();
    loop make_loop();
    operators_parts make_operators();
    void feed(event_body body);
    void carry_out(effect const& what);
    void tick_on();
    void poll_instances();
    void
    take_instances(result<std::optional<std::vector<instance>>> const& answer);
    void begin_stop();
    void finish_stop();
    void end();

    cicadad_settings settings;
    boost::asio::io_context context{1};
    loop run;
    state_ptr reducer;
    std::unique_ptr<store_client> store_calls;
    std::unique_ptr<store_session> store;
    std::unique_ptr<links_session> links;
    std::unique_ptr<agents_session> agents;
    std::unique_ptr<gateway> callers;
    std::unique_ptr<jobs_session> jobs;
    std::unique_ptr<instances_client> instances;
    metrics_registry metrics;
    std::unique_ptr<operators_session> operators;
    bool stopping = false;
};

daemon::impl::impl(cicadad_settings const& given)
    : settings(given), run(this->make_loop()),
      metrics(metrics_settings{given.metrics_tenants})
{
}

loop daemon::impl::make_loop()
{
    loop made;
    made.post = [this](std::function<void()> what)
    {
        boost::asio::post(this->context, std::move(what));
    };
    made.after = [this](milliseconds delay, std::function<void()> const& what)
    {
        auto const timer =
            std::make_shared<boost::asio::steady_timer>(this->context, delay);
        timer->async_wait(
            [timer, what](boost::system::error_code const& problem)
            {
                if (!problem)
                {
                    what();
                }
            });
    };
    made.feed = [this](event_body body)
    {
        this->feed(std::move(body));
    };
    made.log = [](int number, std::string const& detail)
    {
        write_event(number, detail);
    };
    return made;
}

result<void> daemon::impl::open()
{
    this->links = std::make_unique<links_session>(
        this->run, make_link_settings(this->settings));
    result<std::uint16_t> const link_port = this->links->start();
    if (!link_port.has_value())
    {
        return link_port.assume_error();
    }
    this->settings.core.self.link.port = link_port.assume_value();

    gateway_handlers handlers;
    handlers.on_event = [this](event_body const& body)
    {
        this->feed(body);
    };
    handlers.on_other =
        [this](other_request const& call, responder const& answer)
    {
        this->jobs->take(call, answer);
    };
    result<std::unique_ptr<gateway>> opened = gateway::open(
        this->context, make_gateway_settings(this->settings), handlers);
    if (!opened.has_value())
    {
        return opened.assume_error();
    }
    this->callers = std::move(opened.assume_value());

    this->reducer = make_state(this->settings.core);
    this->store_calls =
        std::make_unique<store_client>(make_store_settings(this->settings));
    this->store = std::make_unique<store_session>(
        this->run, *this->store_calls, this->settings.core);
    this->agents = std::make_unique<agents_session>(this->run);
    this->jobs = std::make_unique<jobs_session>(
        this->run,
        *this->store,
        [this]() -> cell_config const&
        {
            return config_of(*this->reducer);
        },
        this->settings.core);
    this->instances = std::make_unique<instances_client>(
        this->settings.instances, instances_limit);
    this->operators = std::make_unique<operators_session>(this->run);
    return this->operators->open(this->make_operators());
}

operators_parts daemon::impl::make_operators()
{
    operators_parts parts;
    parts.where = this->settings.operators_listen;
    parts.token = this->settings.operators_token.value;
    parts.self = this->settings.core.self;
    parts.reducer = this->reducer.get();
    parts.store = this->store.get();
    parts.store_calls = this->store_calls.get();
    parts.metrics = &this->metrics;
    parts.drain = [this]
    {
        this->begin_stop();
    };
    return parts;
}

void daemon::impl::feed(event_body body)
{
    std::vector<effect> const effects =
        step(*this->reducer, event{clock_now(), std::move(body)});
    for (effect const& each : effects)
    {
        this->carry_out(each);
    }
}

void daemon::impl::carry_out(effect const& what)
{
    struct visitor
    {
        impl& d;

        void operator()(answer_problem const& e) const
        {
            this->d.callers->answer(e);
        }
        void operator()(start_attempt const& e) const
        {
            this->d.callers->start(e);
        }
        void operator()(abort_attempt const& e) const
        {
            this->d.callers->abort(e);
        }
        void operator()(send_peer const& e) const
        {
            this->d.links->carry_out(e);
        }
        void operator()(want_peer const& e) const
        {
            this->d.links->carry_out(e);
        }
        void operator()(send_agent const& e) const
        {
            this->d.agents->carry_out(e);
        }
        void operator()(write_intent const& e) const
        {
            this->d.store->carry_out(e);
        }
        void operator()(write_job const& e) const
        {
            this->d.store->carry_out(e);
        }
        void operator()(load_jobs const& e) const
        {
            this->d.store->carry_out(e);
        }
        void operator()(propose_table const& e) const
        {
            this->d.store->carry_out(e);
        }
        void operator()(write_member const& e) const
        {
            this->d.store->carry_out(e);
        }
        void operator()(answer_job const& e) const
        {
            this->d.jobs->carry_out(e);
        }
        void operator()(shutdown_ready const&) const
        {
            this->d.finish_stop();
        }
        void operator()(log_event const& e) const
        {
            write_event(e.number, e.detail);
        }
        void operator()(observe const& e) const
        {
            this->d.metrics.record(e);
        }
    };
    std::visit(visitor{*this}, what);
}

void daemon::impl::tick_on()
{
    this->feed(tick{});
    this->run.after(tick_period,
                    [this]
                    {
                        this->tick_on();
                    });
}

void daemon::impl::poll_instances()
{
    this->instances->read(
        [this](result<std::optional<std::vector<instance>>> const& answer)
        {
            this->run.post(
                [this, answer]
                {
                    this->take_instances(answer);
                });
        });
}

void daemon::impl::take_instances(
    result<std::optional<std::vector<instance>>> const& answer)
{
    if (answer.has_value() && answer.assume_value())
    {
        this->feed(instances_listed{*answer.assume_value()});
    }
    this->run.after(this->settings.instances_period,
                    [this]
                    {
                        this->poll_instances();
                    });
}

void daemon::impl::begin_stop()
{
    if (this->stopping)
    {
        this->end();
        return;
    }
    this->stopping = true;
    write_event(stopping_event, "");
    this->callers->stop_accepting();
    this->feed(shutdown_asked{});
    this->run.after(shutdown_limit,
                    [this]
                    {
                        this->finish_stop();
                    });
}

void daemon::impl::finish_stop()
{
    this->run.after(last_answers_time,
                    [this]
                    {
                        if (this->callers->in_flight() > 0)
                        {
                            this->finish_stop();
                            return;
                        }
                        this->store->leave(
                            [this]
                            {
                                this->end();
                            });
                    });
}

void daemon::impl::end()
{
    write_event(stopped_event, "");
    this->operators->stop_answering();
    this->context.stop();
}

daemon::daemon(std::unique_ptr<impl> made) : self(std::move(made)) {}

daemon::~daemon()
{
    this->self->operators->close();
    this->self->links->stop();
    this->self->agents->stop();
    this->self->store_calls->stop();
    this->self->callers->close();
}

result<std::unique_ptr<daemon>> daemon::open(cicadad_settings const& settings)
{
    std::unique_ptr<impl> made = std::make_unique<impl>(settings);
    result<void> const opened = made->open();
    if (!opened.has_value())
    {
        return opened.assume_error();
    }
    return std::unique_ptr<daemon>(new daemon(std::move(made)));
}

void daemon::run()
{
    impl& d = *this->self;
    boost::asio::post(d.context,
                      [&d]
                      {
                          write_event(started_event,
                                      d.settings.core.self.name.value);
                          d.store->start();
                          d.poll_instances();
                          d.tick_on();
                      });
    d.context.run();
}

void daemon::stop()
{
    impl& d = *this->self;
    boost::asio::post(d.context,
                      [&d]
                      {
                          d.begin_stop();
                      });
}

address daemon::callers_address() const
{
    return this->self->callers->where();
}

} // namespace cicada
