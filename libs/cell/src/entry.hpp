#pragma once

#include "context.hpp"

#include <deque>
#include <map>
#include <memory>
#include <set>

namespace cicada::cell
{

/** What an entry needs of the daemon around it. */
struct entry_ports
{
    /** False if no placer is known or its link is down. */
    std::function<bool(message const&)> send_to_placer;
    /** The placer's answer, if this daemon is the placer. */
    std::function<std::optional<batch::job_state>(std::string const&)>
        own_state;
    /** The connected peer to try next; empty: none is left. */
    std::function<std::string(std::set<std::string> const& tried)> next_peer;
    std::function<bool(std::string const& peer, message const&)> send;
};

/** Takes callers' requests: stores jobs and cancellations, answers states. */
class entry : public std::enable_shared_from_this<entry>
{
public:
    entry(context& shared, entry_ports ports);

    void handle(http_request const& request, http_responder answer);

    void take_load(load_message const& told);
    void take_state(state_reply const& told);
    /** Does for a peer what its own path to the store can't. */
    void serve_relay(std::string const& peer, relay_request const& asked);
    void take_relay(relay_reply const& told);

private:
    struct submission
    {
        batch::job job;
        std::string record;
        instant arrived;
        instant give_up;       //!< answered by then
        bool doubtful = false; //!< a write may have taken effect
        bool relayed = false;  //!< for a peer: not handed to another
        http_responder answer;
    };

    struct open_query
    {
        std::string job;
        http_responder answer;
    };

    /** What the store has of a job. */
    struct stored_record
    {
        bool known = false;
        batch::job_state state = batch::job_state::queued;
    };

    using record_handler = std::function<void(result<stored_record> const&)>;

    void find_record(std::string const& job, record_handler const& then);
    void find_record_from(std::vector<std::string> const& order,
                          std::size_t at,
                          record_handler const& then);
    using relay_handler = std::function<void(relay_reply const&)>;

    /** A request that peers are asked for in turn. */
    struct open_relay
    {
        relay_request request;
        std::set<std::string> tried;
        bool doubtful = false; //!< a peer may have done it
        relay_handler then;
    };

    void relay(relay_request request, relay_handler then);
    void relay_to_next(std::uint64_t number);
    void relay_submission(submission given, error const& why);
    void submit(platform::caller_call const& call,
                http_request const& request,
                http_responder answer);
    void refuse_unless_stored(submission given, milliseconds retry_after);
    void enqueue(submission given);
    void commit_batch();
    void take_commit(std::vector<submission> sent,
                     result<platform::kv_commit_result> const& done);
    void retry(submission given, error const& why);
    void accept(submission const& given, std::int64_t revision);
    void query(std::string const& job, http_responder const& answer);
    void query_store(std::string const& job, http_responder const& answer);
    void cancel(platform::caller_call const& call,
                http_responder const& answer);
    void cancel_here(std::string const& job,
                     http_responder const& answer,
                     instant give_up);
    void retry_cancel(std::string const& job,
                      http_responder const& answer,
                      instant give_up,
                      error const& why);
    void relay_cancel(std::string const& job,
                      http_responder const& answer,
                      instant give_up);
    void relay_query(std::string const& job, http_responder const& answer);
    void give_up_or_wait(submission given, error const& why);
    void store_cancel(std::string const& job,
                      http_responder const& answer,
                      instant give_up);
    void count(platform::caller_call const& call, http_responder const& answer);
    bool load_is_fresh() const;

    context& shared;
    entry_ports ports;
    std::deque<submission> queue;
    int committing = 0; //!< transactions on their way
    bool flush_set = false;
    std::map<std::uint64_t, open_query> queries;
    std::map<std::uint64_t, open_relay> relays;
    std::uint64_t next_query = 1;
    std::optional<batch::load_report> load;
    instant load_at;
    std::uint64_t placer_epoch = 0; //!< the highest that was heard of
};

} // namespace cicada::cell
