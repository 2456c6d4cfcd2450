#include "cell_impl.hpp"

#include <boost/asio/post.hpp>

namespace cicada::cell
{

namespace
{

constexpr milliseconds advisor_slack{800};

} // namespace

bool cell_daemon::impl::send(std::string const& daemon, message const& m)
{
    if (daemon == this->shared.settings.name)
    {
        boost::asio::post(this->shared.loop,
                          [this, daemon, m]
                          {
                              std::visit(
                                  [this, &daemon](auto const& each)
                                  {
                                      this->take(daemon, each);
                                  },
                                  m);
                          });
        return true;
    }
    if (this->up.count(daemon) == 0)
    {
        return false;
    }
    this->link.send(daemon, encode(m), std::to_string(m.index()));
    return true;
}

void cell_daemon::impl::send_all(message const& m)
{
    std::string const bytes = encode(m);
    for (std::string const& peer : this->up)
    {
        this->link.send(peer, bytes, std::to_string(m.index()));
    }
    if (std::holds_alternative<load_message>(m))
    {
        this->take(this->shared.settings.name, std::get<load_message>(m));
    }
}

bool cell_daemon::impl::send_to_placer(message const& m)
{
    if (this->placing)
    {
        return this->send(this->shared.settings.name, m);
    }
    std::string const name = this->placer_name();
    return !name.empty() && this->send(name, m);
}

void cell_daemon::impl::take_message(std::string const& peer,
                                     std::string const& bytes)
{
    result<message> const read = decode_message(bytes);
    if (!read.has_value())
    {
        this->shared.write(
            700, "peer=" + peer + " " + describe(read.assume_error()));
        return;
    }
    std::visit(
        [this, &peer](auto const& each)
        {
            this->take(peer, each);
        },
        read.assume_value());
}

void cell_daemon::impl::take(std::string const&, job_message const& m)
{
    if (this->placing)
    {
        this->placing->take_job(m);
    }
}

void cell_daemon::impl::take(std::string const&, cancel_message const& m)
{
    if (this->placing)
    {
        this->placing->take_cancel(m.job);
    }
}

void cell_daemon::impl::take(std::string const& peer, state_query const& m)
{
    this->send(peer,
               state_reply{m.query,
                           this->placing ? this->placing->state_of(m.job)
                                         : std::nullopt});
}

void cell_daemon::impl::take(std::string const&, state_reply const& m)
{
    this->callers->take_state(m);
}

void cell_daemon::impl::take(std::string const&, advice_result const& m)
{
    if (this->placing)
    {
        this->placing->take_advice(m.answer);
    }
}

void cell_daemon::impl::take(std::string const& peer, relay_request const& m)
{
    this->callers->serve_relay(peer, m);
}

void cell_daemon::impl::take(std::string const&, relay_reply const& m)
{
    this->callers->take_relay(m);
}

void cell_daemon::impl::take(std::string const& peer, load_message const& m)
{
    if (m.epoch >= this->heard_epoch)
    {
        this->heard_epoch = m.epoch;
        this->heard_placer = peer;
        this->heard_at = this->shared.now();
    }
    this->member_step(membership::placer_heard{});
    this->callers->take_load(m);
}

void cell_daemon::impl::take(std::string const&, leaving_message const&)
{
    this->member_step(membership::placer_leaving{});
}

void cell_daemon::impl::take(std::string const& peer, advice_request const& m)
{
    batch::advice_answered answer;
    answer.call = m.call.call;
    answer.requester = m.call.requester;
    answer.job = m.call.job;
    answer.step = m.call.step;
    answer.requested = m.call.workers;
    if (!this->advisor)
    {
        this->send(peer, advice_result{answer});
        return;
    }
    this->advisor->call(
        platform::encode_advice(m.call),
        m.call.expected + advisor_slack,
        [this, peer, answer](result<http_reply> const& reply)
        {
            batch::advice_answered told = answer;
            result<platform::advice_reply> const read =
                platform::decode_advice(reply);
            if (read.has_value())
            {
                told.answered = true;
                told.allowed = read.assume_value().allowed;
                told.validity =
                    read.assume_value().validity.value_or(milliseconds{0});
            }
            else
            {
                this->shared.write(614,
                                   "job=" + told.job + " " +
                                       describe(read.assume_error()));
            }
            this->send(peer, advice_result{told});
        });
}

} // namespace cicada::cell
