#pragma once

#include "client_context.hpp"
#include "watch_cursor.hpp"

/** One watch over all its streams. On the loop's thread. */
namespace cicada::store_detail
{

/** What a watch is asked for. */
struct watch_wanted
{
    std::string prefix;
    std::int64_t from_revision = 0;
    watch_handler handler;
};

/** See above. */
class watcher : public std::enable_shared_from_this<watcher>
{
public:
    /** The context outlives it, and what the loop runs. */
    watcher(client_context& given, watch_wanted const& what);

    /** Opens the first stream. */
    void start();

    /** Ends the watch; its handler isn't called again. */
    void stop();

private:
    void open_after(milliseconds delay);
    void open();
    void hear(std::uint64_t stream, std::string const& line);
    void lost(std::uint64_t stream, std::string const& message);
    void emit(watch_event const& what);
    void arm_silence();
    void close();
    void reopen();

    line_handler lines_onto_loop();
    end_handler end_onto_loop();

    client_context& context;
    watch_wanted wanted;
    watch_cursor cursor;
    std::uint64_t stream = 0; //!< the one that counts; older ones don't
    address where;            //!< of the stream
    cancel_function cancel;
    timer_ptr silence;
    timer_ptr opening;
    int failures = 0; //!< in a row
    bool stopped = false;
    bool told_down = false;
};

} // namespace cicada::store_detail
