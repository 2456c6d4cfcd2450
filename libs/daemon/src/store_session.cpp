#include "store_session.hpp"

#include "keys.hpp"

namespace cicada
{
namespace
{

constexpr milliseconds record_kept_for{std::chrono::hours{25}};
constexpr milliseconds record_lease_period{std::chrono::hours{1}};
constexpr int store_down_event = 500;
constexpr int store_up_event = 501;

} // namespace

store_session::store_session(loop& run,
                             store_client& client,
                             daemon_settings const& settings)
    : run(run), client(client), settings(settings), self(settings.self)
{
}

void store_session::start()
{
    this->join();
    this->keep_record_lease();
}

void store_session::join()
{
    if (this->leaving)
    {
        return;
    }
    instant const asked = clock_now();
    this->client.grant(this->settings.member_lease,
                       this->settings.store_timeout,
                       [this, asked](result<lease_answer> const& answer)
                       {
                           this->run.post(
                               [this, asked, answer]
                               {
                                   this->take_lease(answer, asked);
                               });
                       });
}

void store_session::take_lease(result<lease_answer> const& answer,
                               instant asked)
{
    this->heard(answer.has_value());
    if (!answer.has_value())
    {
        this->run.after(rejoin_delay,
                        [this]
                        {
                            this->join();
                        });
        return;
    }
    this->lease = answer.assume_value().lease;
    this->lease_end = asked + answer.assume_value().ttl;
    this->put_member();
    this->schedule_renewal();
}

void store_session::put_member()
{
    txn request;
    request.puts.push_back(key_put{keys::member_key(this->self.name),
                                   encode_member(this->self),
                                   this->lease});
    this->client.commit(request,
                        this->settings.store_timeout,
                        [this](txn_answer const& answer)
                        {
                            this->run.post(
                                [this, answer]
                                {
                                    if (answer.outcome != txn_outcome::done)
                                    {
                                        this->run.after(rejoin_delay,
                                                        [this]
                                                        {
                                                            this->put_member();
                                                        });
                                        return;
                                    }
                                    if (!this->watching)
                                    {
                                        this->read_cell();
                                    }
                                });
                        });
}

void store_session::schedule_renewal()
{
    this->run.after(this->settings.member_lease / 3,
                    [this]
                    {
                        this->renew();
                    });
}

void store_session::renew()
{
    if (this->leaving)
    {
        return;
    }
    this->check_expiry();
    instant const asked = clock_now();
    this->client.keep_alive(
        this->lease,
        this->settings.member_lease / 2,
        [this, asked](result<lease_answer> const& answer)
        {
            this->run.post(
                [this, asked, answer]
                {
                    this->heard(answer.has_value());
                    if (answer.has_value())
                    {
                        this->lease_end = asked + answer.assume_value().ttl;
                        this->check_expiry();
                        this->schedule_renewal();
                        return;
                    }
                    this->check_expiry();
                    bool const lapsed =
                        answer.assume_error().code == error_code::refused;
                    lapsed ? this->join() : this->schedule_renewal();
                });
        });
}

void store_session::check_expiry()
{
    bool const held = clock_now() < this->lease_end;
    if (held != this->lease_told)
    {
        this->lease_told = held;
        this->run.feed(own_lease_seen{held, this->lease_end - clock_now()});
    }
}

void store_session::keep_record_lease()
{
    this->client.grant(
        record_kept_for,
        this->settings.store_timeout,
        [this](result<lease_answer> const& answer)
        {
            this->run.post(
                [this, answer]
                {
                    if (answer.has_value())
                    {
                        this->record_lease = answer.assume_value().lease;
                    }
                    milliseconds const next =
                        answer.has_value() ? record_lease_period : rejoin_delay;
                    this->run.after(next,
                                    [this]
                                    {
                                        this->keep_record_lease();
                                    });
                });
        });
}

void store_session::heard(bool answered)
{
    if (answered == this->up)
    {
        return;
    }
    this->up = answered;
    this->run.log(answered ? store_up_event : store_down_event, "");
}

bool store_session::reachable() const
{
    return this->up;
}

void store_session::leave(std::function<void()> const& done)
{
    this->leaving = true;
    this->client.revoke(this->lease,
                        this->settings.store_timeout,
                        [this, done](result<lease_answer> const&)
                        {
                            this->run.post(done);
                        });
}

void store_session::carry_out(write_member const& effect)
{
    this->self = effect.self;
    this->put_member();
}

} // namespace cicada
