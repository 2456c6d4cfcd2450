#include "site.hpp"

#include <csignal>
#include <fstream>
#include <unistd.h>

namespace cicada::soak
{

namespace
{

constexpr std::uint16_t first_port = 7001; //!< of four, on its own host
constexpr milliseconds probe_limit{900};
constexpr milliseconds restart_pause{200}; //!< after an end that was wanted
constexpr milliseconds stop_limit{6000};   //!< from SIGTERM to the end
constexpr milliseconds stop_slack{3000};   //!< a busy machine, the reaping

/** A loopback address of this soak's own, where no outgoing connection and no
 * other soak takes the ports. */
std::string own_host(std::size_t daemon)
{
    int const pid = static_cast<int>(::getpid());
    return "127." + std::to_string(1 + pid / 250 % 250) + "." +
           std::to_string(1 + pid % 250) + "." + std::to_string(daemon + 1);
}

} // namespace

crew::crew(bench& given, address const& to_store, address const& to_advisor)
    : shared(given), store(to_store), advisor(to_advisor)
{
}

result<void> crew::start()
{
    std::size_t const count =
        static_cast<std::size_t>(this->shared.settings.daemons);
    for (std::size_t k = 0; k < count; ++k)
    {
        auto seat = std::make_unique<daemon_seat>();
        seat->name = "d" + std::to_string(k + 1);
        seat->to_store =
            std::make_shared<relay>(this->shared.loop, this->store);
        result<address> const way = seat->to_store->listen();
        if (!way.has_value())
        {
            return way.assume_error();
        }
        result<void> const written =
            this->write_settings(*seat, own_host(k), way.assume_value());
        if (!written.has_value())
        {
            return written.assume_error();
        }
        seat->client = std::make_unique<http_client>(
            this->shared.loop, seat->callers, http_client_settings{16});
        result<void> const started = seat->running.start(
            this->shared.settings.program, seat->settings_file, seat->log_file);
        if (!started.has_value())
        {
            return started.assume_error();
        }
        this->seats.push_back(std::move(seat));
    }
    return BOOST_OUTCOME_V2_NAMESPACE::success();
}

result<void> crew::write_settings(daemon_seat& seat,
                                  std::string const& host,
                                  address const& way) const
{
    seat.settings_file =
        this->shared.settings.folder + "/" + seat.name + ".ini";
    seat.log_file = this->shared.settings.folder + "/" + seat.name + ".log";
    seat.callers = {host, first_port};
    std::ofstream file(seat.settings_file);
    file << "[daemon]\nname = " << seat.name << "\nzone = z\n"
         << "descriptors = 1024\nstop-limit = " << stop_limit.count() << "ms\n"
         << "[listen]\ncallers = " << to_string(seat.callers)
         << "\nreadiness = " << host << ":" << first_port + 1
         << "\nlink = " << host << ":" << first_port + 2
         << "\nmetrics = " << host << ":" << first_port + 3
         << "\n[store]\naddress = " << to_string(way)
         << "\n[advisor]\naddress = " << to_string(this->advisor)
         << "\n[workers]\nlease-limit = 10000ms\n";
    file.close();
    if (!file)
    {
        return error{error_code::unavailable,
                     seat.settings_file + " can't be written"};
    }
    return BOOST_OUTCOME_V2_NAMESPACE::success();
}

void crew::start_process(daemon_seat& seat)
{
    seat.killed = false;
    seat.paused = false;
    seat.stop_sent.reset();
    result<void> const started = seat.running.start(
        this->shared.settings.program, seat.settings_file, seat.log_file);
    if (!started.has_value())
    {
        this->shared.breach(started.assume_error().message);
    }
}

void crew::judge_end(daemon_seat& seat, process_end const& end)
{
    std::string const how = end.signal != 0
                                ? "signal " + std::to_string(end.signal)
                                : "status " + std::to_string(end.exit_code);
    bool const by_us = seat.killed && end.signal == SIGKILL;
    bool const stopped = seat.stop_sent && end == process_end{};
    if (!by_us && !stopped)
    {
        this->shared.breach(seat.name + " ended by itself: " + how);
    }
}

void crew::watch_over()
{
    instant const now = steady_now();
    for (std::unique_ptr<daemon_seat>& each : this->seats)
    {
        std::optional<process_end> const end = each->running.reap();
        if (end)
        {
            this->judge_end(*each, *end);
            each->start_at = std::max(each->start_at, now + restart_pause);
        }
        if (!each->running.is_running())
        {
            if (each->wanted && now >= each->start_at)
            {
                this->start_process(*each);
            }
            continue;
        }
        bool const late = each->stop_sent && !each->paused && !each->killed &&
                          now > *each->stop_sent + stop_limit + stop_slack &&
                          now > each->hurt_at + stop_limit + stop_slack;
        if (late)
        {
            this->shared.breach(each->name + " did not end after SIGTERM");
            each->killed = true;
            each->running.signal(SIGKILL);
        }
    }
}

void crew::probe()
{
    for (std::unique_ptr<daemon_seat>& each : this->seats)
    {
        daemon_seat* const seat = each.get();
        if (!seat->running.is_running())
        {
            seat->in_rotation = false;
            continue;
        }
        seat->client->call(platform::standin::readiness_request(),
                           probe_limit,
                           [seat](result<http_reply> const& reply)
                           {
                               seat->in_rotation =
                                   reply.has_value() &&
                                   reply.assume_value().status == 200;
                           });
    }
}

void crew::end_all()
{
    for (std::unique_ptr<daemon_seat>& each : this->seats)
    {
        each->wanted = false;
        if (each->running.is_running() && !each->stop_sent)
        {
            each->stop_sent = steady_now();
            each->running.signal(SIGTERM);
        }
    }
}

void crew::kill(std::size_t which, milliseconds away)
{
    daemon_seat& seat = *this->seats[which];
    seat.killed = true;
    seat.in_rotation = false;
    seat.hurt_at = steady_now();
    seat.start_at = steady_now() + away;
    seat.running.signal(SIGKILL);
    seat.running.signal(SIGCONT);
}

void crew::stop(std::size_t which)
{
    daemon_seat& seat = *this->seats[which];
    if (seat.running.is_running() && !seat.stop_sent)
    {
        seat.stop_sent = steady_now();
        seat.running.signal(SIGTERM);
    }
}

void crew::pause(std::size_t which, milliseconds span)
{
    daemon_seat& seat = *this->seats[which];
    seat.paused = true;
    seat.hurt_at = steady_now();
    seat.running.signal(SIGSTOP);
    this->shared.after(span,
                       [this, which]
                       {
                           this->wake(which);
                       });
}

void crew::wake(std::size_t which)
{
    daemon_seat& seat = *this->seats[which];
    seat.paused = false;
    seat.hurt_at = steady_now();
    seat.running.signal(SIGCONT);
}

void crew::hang_up(std::size_t which)
{
    this->seats[which]->running.signal(SIGHUP);
}

std::optional<std::size_t> crew::placer(platform::standin::store const& list)
{
    std::string const claim = list.value("cell/placer");
    for (std::size_t k = 0; k < this->seats.size(); ++k)
    {
        daemon_seat const& seat = *this->seats[k];
        if (claim.find("\"name\":\"" + seat.name + "\"") != std::string::npos &&
            seat.running.is_running() && !seat.paused)
        {
            return k;
        }
    }
    return std::nullopt;
}

std::size_t crew::choose(bool also_leaving)
{
    std::vector<std::size_t> able;
    for (std::size_t k = 0; k < this->seats.size(); ++k)
    {
        daemon_seat const& seat = *this->seats[k];
        if (seat.in_rotation || (also_leaving && seat.running.is_running()))
        {
            able.push_back(k);
        }
    }
    if (able.empty())
    {
        return static_cast<std::size_t>(
            this->shared.draw_int(0, static_cast<int>(this->seats.size()) - 1));
    }
    return able[static_cast<std::size_t>(
        this->shared.draw_int(0, static_cast<int>(able.size()) - 1))];
}

} // namespace cicada::soak
