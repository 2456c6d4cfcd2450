#include "watcher.hpp"

#include "backoff.hpp"

#include <boost/asio/post.hpp>

#include <algorithm>

namespace cicada::store_detail
{

watcher::watcher(client_context& given, watch_wanted const& what)
    : context(given), wanted(what), cursor{what.from_revision}
{
}

void watcher::start()
{
    this->open_after(milliseconds(0));
}

void watcher::stop()
{
    this->stopped = true;
    this->close();
    if (this->opening != nullptr)
    {
        this->opening->cancel();
    }
}

void watcher::open_after(milliseconds delay)
{
    milliseconds const budget = reserve(this->context,
                                        call_kind::watch,
                                        budget_use::waits,
                                        milliseconds::max())
                                    .value_or(milliseconds(0));
    std::shared_ptr<watcher> const kept = this->shared_from_this();
    this->opening = run_after(this->context,
                              std::max(delay, budget),
                              [kept]()
                              {
                                  kept->open();
                              });
}

void watcher::open()
{
    if (this->stopped)
    {
        return;
    }
    count_call(this->context, call_kind::watch, 0);
    this->stream += 1;
    this->where = current_endpoint(this->context);
    outgoing what;
    what.where = this->where;
    what.path = watch_path;
    what.body = encode_watch(this->wanted.prefix, this->cursor.next_revision);
    what.use = connection_use::fresh;
    this->arm_silence();
    this->cancel = this->context.wire.stream(
        what, this->lines_onto_loop(), this->end_onto_loop());
}

line_handler watcher::lines_onto_loop()
{
    std::weak_ptr<client_context> const weak = this->context.weak_from_this();
    std::weak_ptr<watcher> const self = this->weak_from_this();
    std::uint64_t const current = this->stream;
    return [weak, self, current](std::string const& line)
    {
        context_ptr const kept = weak.lock();
        if (kept == nullptr)
        {
            return;
        }
        boost::asio::post(kept->loop,
                          [self, current, line]()
                          {
                              std::shared_ptr<watcher> const there =
                                  self.lock();
                              if (there != nullptr)
                              {
                                  there->hear(current, line);
                              }
                          });
    };
}

end_handler watcher::end_onto_loop()
{
    std::weak_ptr<client_context> const weak = this->context.weak_from_this();
    std::weak_ptr<watcher> const self = this->weak_from_this();
    std::uint64_t const current = this->stream;
    return [weak, self, current](std::string const& message)
    {
        context_ptr const kept = weak.lock();
        if (kept == nullptr)
        {
            return;
        }
        boost::asio::post(kept->loop,
                          [self, current, message]()
                          {
                              std::shared_ptr<watcher> const there =
                                  self.lock();
                              if (there != nullptr)
                              {
                                  there->lost(current, message);
                              }
                          });
    };
}

void watcher::hear(std::uint64_t from, std::string const& line)
{
    if (this->stopped || from != this->stream)
    {
        return;
    }
    result<watch_line> const decoded = decode_watch_line(line);
    if (!decoded.has_value())
    {
        this->lost(from, decoded.assume_error().message);
        return;
    }
    this->arm_silence();
    watch_step const step = take_line(this->cursor, decoded.assume_value());
    this->cursor = step.cursor;
    bool const created = decoded.assume_value().created;
    this->failures = created ? this->failures : 0;
    this->told_down = created ? false : this->told_down;
    for (watch_event const& each : step.events)
    {
        this->emit(each);
    }
    if (step.ended)
    {
        this->lost(from, "ended by the service");
    }
}

void watcher::lost(std::uint64_t from, std::string const& message)
{
    if (this->stopped || from != this->stream)
    {
        return;
    }
    this->close();
    leave_endpoint(this->context, this->where);
    if (!this->told_down)
    {
        this->told_down = true;
        this->emit(watch_disconnected{message});
    }
    this->reopen();
}

void watcher::reopen()
{
    this->failures += 1;
    this->open_after(backoff_delay(this->context.settings.backoff,
                                   this->failures,
                                   random_share(this->context)));
}

void watcher::emit(watch_event const& what)
{
    if (!this->stopped)
    {
        this->wanted.handler(what);
    }
}

void watcher::arm_silence()
{
    if (this->silence != nullptr)
    {
        this->silence->cancel();
    }
    std::weak_ptr<watcher> const self = this->weak_from_this();
    std::uint64_t const current = this->stream;
    this->silence = run_after(this->context,
                              this->context.settings.watch_silence,
                              [self, current]()
                              {
                                  std::shared_ptr<watcher> const there =
                                      self.lock();
                                  if (there != nullptr)
                                  {
                                      there->lost(current, "went silent");
                                  }
                              });
}

/** Lets go of the stream; what it still says doesn't count. */
void watcher::close()
{
    this->stream += 1;
    if (this->silence != nullptr)
    {
        this->silence->cancel();
    }
    cancel_function const once = std::move(this->cancel);
    this->cancel = nullptr;
    if (once)
    {
        once();
    }
}

} // namespace cicada::store_detail
