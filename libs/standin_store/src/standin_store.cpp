#include "standin_store/standin_store.hpp"

#include "session.hpp"

#include <future>
#include <set>
#include <thread>

namespace cicada
{

namespace asio = boost::asio;
using asio::ip::tcp;

namespace
{

constexpr milliseconds lease_check_period{20};

/** A port that is listened on, and may be closed and opened again. */
struct listener
{
    tcp::acceptor acceptor;
    tcp::endpoint where;
    bool control = false;
};

} // namespace

struct standin_store::impl : standin::session_host
{
    asio::io_context loop{1};
    listener service{tcp::acceptor(loop), {}, false};
    listener control{tcp::acceptor(loop), {}, true};
    asio::steady_timer lease_timer{loop};
    std::set<std::shared_ptr<standin::session>> sessions;
    std::thread thread;
    bool stopping = false;

    instant now() const override
    {
        return std::chrono::time_point_cast<milliseconds>(
            std::chrono::steady_clock::now());
    }

    void keys_changed() override
    {
        std::set<std::shared_ptr<standin::session>> const open = this->sessions;
        for (std::shared_ptr<standin::session> const& each : open)
        {
            each->send_changes();
        }
    }

    void faults_changed(bool silence) override
    {
        if (silence)
        {
            this->silence_sessions();
        }
        if (this->platform.down == this->service.acceptor.is_open())
        {
            this->platform.down ? this->go_down() : this->come_up();
        }
    }

    void ended(std::shared_ptr<standin::session> const& which) override
    {
        this->sessions.erase(which);
    }

    void silence_sessions()
    {
        for (std::shared_ptr<standin::session> const& each : this->sessions)
        {
            if (!each->serves_control())
            {
                each->go_silent();
            }
        }
    }

    void go_down()
    {
        this->service.acceptor.close();
        std::set<std::shared_ptr<standin::session>> const open = this->sessions;
        for (std::shared_ptr<standin::session> const& each : open)
        {
            if (!each->serves_control())
            {
                each->close();
            }
        }
    }

    void come_up()
    {
        listen(this->service);
        this->accept(this->service);
    }

    /** Throws boost::system::system_error. */
    static void listen(listener& which)
    {
        which.acceptor.open(which.where.protocol());
        which.acceptor.set_option(tcp::acceptor::reuse_address(true));
        which.acceptor.bind(which.where);
        which.acceptor.listen();
        which.where = which.acceptor.local_endpoint();
    }

    void accept(listener& which)
    {
        which.acceptor.async_accept(
            [this, &which](boost::system::error_code failed, tcp::socket socket)
            {
                if (!which.acceptor.is_open())
                {
                    return;
                }
                if (!failed)
                {
                    this->serve(std::move(socket), which.control);
                }
                this->accept(which);
            });
    }

    void serve(tcp::socket socket, bool is_control)
    {
        std::shared_ptr<standin::session> const made =
            std::make_shared<standin::session>(
                std::move(socket), *this, is_control);
        this->sessions.insert(made);
        made->run();
    }

    void arm_leases()
    {
        this->lease_timer.expires_after(lease_check_period);
        this->lease_timer.async_wait(
            [this](boost::system::error_code failed)
            {
                if (failed || this->stopping)
                {
                    return;
                }
                expire_leases(this->platform.keys, this->now());
                this->keys_changed();
                this->arm_leases();
            });
    }

    void close_all()
    {
        this->stopping = true;
        this->service.acceptor.close();
        this->control.acceptor.close();
        this->lease_timer.cancel();
        std::set<std::shared_ptr<standin::session>> const open = this->sessions;
        for (std::shared_ptr<standin::session> const& each : open)
        {
            each->close();
        }
    }

    /** Runs it on the server's thread and waits for it. */
    template <class F>
    void run_there(F const& what)
    {
        std::promise<void> done;
        asio::post(this->loop,
                   [&what, &done]()
                   {
                       what();
                       done.set_value();
                   });
        done.get_future().wait();
    }
};

standin_store::standin_store() : self(std::make_shared<impl>()) {}

standin_store::~standin_store()
{
    this->stop();
}

result<std::uint16_t> standin_store::start(standin_settings const& settings)
{
    impl& inner = *this->self;
    inner.progress_period = settings.progress_period;
    inner.platform.instance_lag = settings.instance_lag;
    inner.platform.random.seed(settings.seed);
    try
    {
        asio::ip::address const host = asio::ip::make_address(settings.host);
        inner.service.where = tcp::endpoint(host, settings.port);
        inner.control.where = tcp::endpoint(host, settings.control_port);
        impl::listen(inner.service);
        impl::listen(inner.control);
    }
    catch (boost::system::system_error const& failed)
    {
        return error{error_code::unavailable, failed.what()};
    }
    inner.accept(inner.service);
    inner.accept(inner.control);
    inner.arm_leases();
    inner.thread = std::thread(
        [&inner]()
        {
            inner.loop.run();
        });
    return this->port();
}

void standin_store::stop()
{
    impl& inner = *this->self;
    if (!inner.thread.joinable())
    {
        return;
    }
    asio::post(inner.loop,
               [&inner]()
               {
                   inner.close_all();
               });
    inner.thread.join();
}

std::uint16_t standin_store::port() const
{
    return this->self->service.where.port();
}

std::uint16_t standin_store::control_port() const
{
    return this->self->control.where.port();
}

void standin_store::set_instances(std::string const& json)
{
    impl& inner = *this->self;
    inner.run_there(
        [&inner, &json]()
        {
            replace_list(inner.platform, inner.now(), json);
        });
}

void standin_store::set_faults(standin_faults const& faults)
{
    impl& inner = *this->self;
    inner.run_there(
        [&inner, &faults]()
        {
            apply_faults(inner.platform, faults);
            inner.faults_changed(faults.silent);
        });
}

void standin_store::compact()
{
    impl& inner = *this->self;
    inner.run_there(
        [&inner]()
        {
            standin::kv_state& keys = inner.platform.keys;
            standin::compact(keys, keys.revision);
        });
}

standin_calls standin_store::calls() const
{
    impl& inner = *this->self;
    standin_calls seen;
    inner.run_there(
        [&inner, &seen]()
        {
            seen = inner.platform.calls;
        });
    return seen;
}

} // namespace cicada
