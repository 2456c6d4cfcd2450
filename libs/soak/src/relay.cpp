#include "relay.hpp"
#include "platform_standin/platform_standin.hpp"

#include <boost/asio/buffer.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>

#include <array>

namespace cicada::soak
{

namespace asio = boost::asio;
using asio::ip::tcp;
using failure = boost::system::error_code;

namespace
{

constexpr std::size_t chunk_bytes = std::size_t{16} << 10;
constexpr std::uint64_t tokens_per_epoch = 1024;

void reset(tcp::socket& socket)
{
    failure ignored;
    socket.set_option(asio::socket_base::linger(true, 0), ignored);
    socket.close(ignored);
}

bool holds(epoch_range const& range, std::uint64_t epoch)
{
    return range.lowest <= epoch && epoch <= range.highest;
}

} // namespace

std::uint64_t epoch_of(std::uint64_t token)
{
    return token / tokens_per_epoch;
}

/** One connection and its other half. */
class relay::pipe : public std::enable_shared_from_this<pipe>
{
public:
    pipe(std::shared_ptr<relay> made, tcp::socket accepted)
        : owner(std::move(made)), near{std::move(accepted), {}, false},
          far{tcp::socket(this->owner->loop), {}, false}
    {
    }

    void open()
    {
        failure problem;
        tcp::endpoint const to(
            asio::ip::make_address(this->owner->target.host, problem),
            this->owner->target.port);
        this->far.socket.async_connect(
            to,
            [self = this->shared_from_this()](failure const& failed)
            {
                if (failed)
                {
                    self->close();
                    return;
                }
                self->pump(self->near, self->far);
                self->pump(self->far, self->near);
            });
    }

    void close()
    {
        if (this->near.socket.is_open() || this->far.socket.is_open())
        {
            reset(this->near.socket);
            reset(this->far.socket);
            this->owner->pipes.erase(this->shared_from_this());
        }
    }

    void silence()
    {
        this->near.mute = true;
        this->far.mute = true;
    }

private:
    /** One end; `mute`: what it sends is swallowed from now on. */
    struct end
    {
        tcp::socket socket;
        std::array<char, chunk_bytes> chunk;
        bool mute = false;
    };

    bool swallows(end& from, std::size_t size)
    {
        relay_mode const mode = this->owner->mode;
        bool const request = &from == &this->near;
        if (request)
        {
            std::optional<std::uint64_t> const token =
                platform::standin::read_token({from.chunk.data(), size});
            this->epoch = token ? epoch_of(*token) : this->epoch;
        }
        if (this->epoch && !holds(this->owner->epochs, *this->epoch))
        {
            this->silence();
        }
        from.mute = from.mute || this->owner->cut ||
                    (request ? mode == relay_mode::mute_requests
                             : mode == relay_mode::mute_answers);
        return from.mute;
    }

    void pump(end& from, end& to)
    {
        from.socket.async_read_some(
            asio::buffer(from.chunk),
            [self = this->shared_from_this(), &from, &to](failure const& failed,
                                                          std::size_t size)
            {
                if (failed)
                {
                    self->close();
                    return;
                }
                if (self->swallows(from, size))
                {
                    self->pump(from, to);
                    return;
                }
                self->pass_on(from, to, size);
            });
    }

    void pass_on(end& from, end& to, std::size_t size)
    {
        auto timer = std::make_shared<asio::steady_timer>(this->owner->loop,
                                                          this->owner->delay);
        timer->async_wait(
            [self = this->shared_from_this(), timer, &from, &to, size](
                failure const&)
            {
                asio::async_write(
                    to.socket,
                    asio::buffer(from.chunk.data(), size),
                    [self, &from, &to](failure const& failed, std::size_t)
                    {
                        if (failed)
                        {
                            self->close();
                            return;
                        }
                        self->pump(from, to);
                    });
            });
    }

    std::shared_ptr<relay> owner;
    end near;                           //!< the caller's
    end far;                            //!< the server's
    std::optional<std::uint64_t> epoch; //!< of the last token
};

relay::relay(asio::io_context& given, address const& to)
    : loop(given), target(to), acceptor(given)
{
}

result<address> relay::listen()
{
    failure problem;
    tcp::endpoint const here(asio::ip::make_address("127.0.0.1", problem), 0);
    this->acceptor.open(here.protocol(), problem);
    if (!problem)
    {
        this->acceptor.bind(here, problem);
    }
    if (!problem)
    {
        this->acceptor.listen(128, problem);
    }
    if (problem)
    {
        return error{error_code::unavailable, problem.message()};
    }
    this->accept();
    return address{"127.0.0.1", this->acceptor.local_endpoint(problem).port()};
}

void relay::accept()
{
    this->acceptor.async_accept(
        [self = this->shared_from_this()](failure const& problem,
                                          tcp::socket socket)
        {
            if (problem)
            {
                return; // closed: the only way to stop
            }
            if (self->mode == relay_mode::refuse)
            {
                reset(socket);
            }
            else
            {
                auto const made =
                    std::make_shared<pipe>(self, std::move(socket));
                self->pipes.insert(made);
                made->open();
            }
            self->accept();
        });
}

void relay::stop()
{
    failure ignored;
    this->acceptor.close(ignored);
    this->reset_all();
}

void relay::set_mode(relay_mode wanted)
{
    this->mode = wanted;
}

void relay::set_cut(bool wanted)
{
    this->cut = wanted;
}

void relay::set_epochs(epoch_range const& wanted)
{
    this->epochs = wanted;
}

void relay::set_delay(milliseconds wanted)
{
    this->delay = wanted;
}

void relay::reset_all()
{
    std::set<std::shared_ptr<pipe>> const all = this->pipes;
    for (std::shared_ptr<pipe> const& each : all)
    {
        each->close();
    }
}

void relay::silence_all()
{
    for (std::shared_ptr<pipe> const& each : this->pipes)
    {
        each->silence();
    }
}

} // namespace cicada::soak
