#include "standin_agents/standin_agents.hpp"

#include "server.hpp"

#include <boost/asio/post.hpp>

#include <future>

namespace cicada
{

namespace
{

using standin::tcp;

constexpr milliseconds tick_period{50};

/** Opens, binds and listens; the failure if there is one. */
boost::system::error_code listen(tcp::acceptor& acceptor,
                                 tcp::endpoint const& where)
{
    boost::system::error_code failure;
    acceptor.open(where.protocol(), failure);
    if (!failure)
    {
        acceptor.set_option(tcp::acceptor::reuse_address(true), failure);
    }
    if (!failure)
    {
        acceptor.bind(where, failure);
    }
    if (!failure)
    {
        acceptor.listen(tcp::acceptor::max_listen_connections, failure);
    }
    return failure;
}

} // namespace

/** The stand-ins behind their public face. */
class standin_agents::server
{
public:
    server()
        : control(std::in_place, *this->state.io),
          tick(std::in_place, *this->state.io)
    {
    }

    result<std::vector<instance>> start(standin_agents_settings const& settings)
    {
        boost::system::error_code failure;
        this->state.settings = settings;
        boost::asio::ip::address const host =
            boost::asio::ip::make_address(settings.host, failure);
        if (!failure)
        {
            failure = listen(*this->control, {host, settings.control_port});
        }
        std::vector<instance> listed;
        for (instance const& agent : settings.agents)
        {
            if (!failure)
            {
                failure = this->add_agent(agent, host);
                listed.push_back(this->state.agents.back().state.info);
            }
        }
        if (failure)
        {
            return error{error_code::unavailable, failure.message()};
        }
        this->control_at = this->control->local_endpoint(failure).port();
        this->serve();
        return listed;
    }

    void stop()
    {
        if (!this->thread.joinable())
        {
            return;
        }
        this->state.io->stop();
        this->thread.join();
        this->control.reset();
        this->tick.reset();
        for (standin::agent_host& agent : this->state.agents)
        {
            agent.acceptor.reset();
        }
        this->state.io.reset();
        for (standin::agent_host& agent : this->state.agents)
        {
            agent.waiting.clear();
        }
    }

    std::uint16_t control_port() const
    {
        return this->control_at;
    }

    /** Runs `what` on the server's thread and gives back its value. */
    template <class Function>
    std::invoke_result_t<Function, standin::server_state&> ask(Function what)
    {
        using value_type =
            std::invoke_result_t<Function, standin::server_state&>;
        if (!this->thread.joinable())
        {
            return what(this->state);
        }
        std::packaged_task<value_type()> asked(
            [this, &what]
            {
                return what(this->state);
            });
        std::future<value_type> answer = asked.get_future();
        boost::asio::post(*this->state.io,
                          [&asked]
                          {
                              asked();
                          });
        return answer.get();
    }

private:
    boost::system::error_code add_agent(instance const& agent,
                                        boost::asio::ip::address const& host)
    {
        standin::agent_host& added =
            this->state.agents.emplace_back(*this->state.io);
        added.state.info = agent;
        boost::system::error_code failure =
            listen(*added.acceptor, tcp::endpoint(host, agent.where.port));
        if (!failure)
        {
            added.state.info.where =
                address{host.to_string(),
                        added.acceptor->local_endpoint(failure).port()};
        }
        return failure;
    }

    void serve()
    {
        for (standin::agent_host& agent : this->state.agents)
        {
            standin::start_agent(this->state, agent);
        }
        standin::start_control(this->state, *this->control);
        this->arm_tick();
        this->thread = std::thread(
            [this]
            {
                this->state.io->run();
            });
    }

    void arm_tick()
    {
        this->tick->expires_after(tick_period);
        this->tick->async_wait(
            [this](boost::system::error_code const&)
            {
                for (standin::agent_host& agent : this->state.agents)
                {
                    standin::advance(agent.state, standin::now());
                    standin::wake(agent);
                }
                this->arm_tick();
            });
    }

    standin::server_state state;
    std::optional<tcp::acceptor> control;
    std::optional<boost::asio::steady_timer> tick;
    std::atomic<std::uint16_t> control_at{0};
    std::thread thread;
};

standin_agents::standin_agents() : inner(std::make_shared<server>()) {}

standin_agents::~standin_agents()
{
    this->stop();
}

result<std::vector<instance>>
standin_agents::start(standin_agents_settings const& settings)
{
    return this->inner->start(settings);
}

void standin_agents::stop()
{
    this->inner->stop();
}

std::uint16_t standin_agents::control_port() const
{
    return this->inner->control_port();
}

void standin_agents::set_fault(std::string const& agent,
                               agent_fault fault,
                               milliseconds length)
{
    this->inner->ask(
        [&](standin::server_state& state)
        {
            standin::set_fault(state, agent, fault, length);
        });
}

standin_agent_counts standin_agents::counts() const
{
    return this->inner->ask(
        [](standin::server_state& state)
        {
            return standin::count_all(state);
        });
}

std::uint64_t standin_agents::ran(std::string const& key) const
{
    return this->inner->ask(
        [&key](standin::server_state& state) -> std::uint64_t
        {
            return state.ran.count(key) > 0 ? state.ran.at(key) : 0;
        });
}

} // namespace cicada
