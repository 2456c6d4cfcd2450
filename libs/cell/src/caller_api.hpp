#pragma once

#include "context.hpp"

#include <deque>
#include <map>
#include <memory>
#include <set>

namespace cicada::cell
{

/** Calls from the API into the daemon. */
struct caller_api_ports
{
    /** Returns false if no placer is known or connected. */
    std::function<bool(message const&)> send_to_placer;
    /** A job's state, if this daemon is the placer and knows the job. */
    std::function<std::optional<batch::job_state>(std::string const&)>
        local_state;
    /** A connected peer that wasn't tried yet; empty if there is none. */
    std::function<std::string(std::set<std::string> const& tried)> next_peer;
    std::function<bool(std::string const& peer, message const&)> send;
};

/**
 * The HTTP API for callers: submits jobs and cancellations to the store and
 * answers queries. While the store fails, requests are relayed to peers.
 */
class caller_api : public std::enable_shared_from_this<caller_api>
{
public:
    caller_api(context& shared, caller_api_ports ports);

    void handle(http_request const& request, http_responder answer);

    /** Calls refused because of a missing or unknown key. */
    std::uint64_t unauthorized_calls() const
    {
        return this->unauthorized;
    }

    void handle_load(load_message const& received);
    void handle_state_reply(state_reply const& reply);
    /** Executes a request for a peer that can't reach the store. */
    void serve_relay(std::string const& peer, relay_request const& request);
    void handle_relay_reply(relay_reply const& reply);

private:
    /** An answer to a job that wasn't accepted. */
    struct refusal
    {
        int status = 0;
        std::string cause; //!< one word, for the log
        std::string text;  //!< for the caller
        milliseconds retry_after{0};
    };

    struct submission
    {
        batch::job job;
        std::string record;
        instant arrived;
        instant deadline;             //!< the answer is sent by then
        bool outcome_unknown = false; //!< a write may have succeeded
        bool from_peer = false;       //!< such a request isn't relayed again
        http_responder answer;
    };

    struct pending_query
    {
        std::string job;
        http_responder answer;
    };

    /** A job as recorded in the store. */
    struct stored_record
    {
        bool known = false;
        bool cancelled_early = false; //!< cancelled before it was stored
        batch::job_state state = batch::job_state::queued;
    };

    using record_handler = std::function<void(result<stored_record> const&)>;

    void find_record(std::string const& job, record_handler const& then);
    void find_record_from(std::vector<std::string> const& record_keys,
                          std::size_t index,
                          record_handler const& then);
    using relay_handler = std::function<void(relay_reply const&)>;

    /** A request that is relayed to one peer after another. */
    struct pending_relay
    {
        relay_request request;
        std::set<std::string> tried;
        bool outcome_unknown = false; //!< a peer may have executed it
        relay_handler then;
    };

    void relay(relay_request request, relay_handler then);
    void relay_to_next(std::uint64_t query_id);
    void relay_submission(submission submitted, error const& why);
    void submit(platform::caller_call const& call,
                http_request const& request,
                http_responder answer);
    /** Returns why the customer's cap never lets the job run; empty: it may. */
    std::string check_customer(batch::job const& given) const;
    void refuse_unless_stored(submission submitted, refusal const& why);
    void enqueue(submission submitted);
    void commit_batch();
    void handle_commit_reply(std::vector<submission> sent,
                             result<platform::kv_commit_result> const& reply);
    void handle_write_failure(submission submitted, error const& why);
    /** `stored`: the job's record in the store; none: the job has ended. */
    void accept(submission const& submitted,
                std::optional<job_message> const& stored);
    void query(std::string const& job, http_responder const& answer);
    void query_store(std::string const& job, http_responder const& answer);
    void cancel(platform::caller_call const& call,
                http_responder const& answer);
    void cancel_locally(std::string const& job,
                        http_responder const& answer,
                        instant deadline);
    void handle_cancel_failure(std::string const& job,
                               http_responder const& answer,
                               instant deadline,
                               error const& why);
    void relay_cancel(std::string const& job,
                      http_responder const& answer,
                      instant deadline);
    void relay_query(std::string const& job, http_responder const& answer);
    /** Stores an end record that keeps the job from being stored later, then
     * answers "no such job". */
    void mark_cancelled(std::string const& job,
                        http_responder const& answer,
                        instant deadline);
    void handle_mark_conflict(std::vector<platform::kv_item> const& found,
                              std::string const& job,
                              http_responder const& answer,
                              instant deadline);
    /** Answers a submission of a job that was cancelled before. */
    void reject_cancelled(submission const& submitted);
    void retry_or_give_up(submission submitted, error const& why);
    /** Stores the cancellation of a job, unless it has ended. */
    void store_cancel(std::string const& job,
                      http_responder const& answer,
                      instant deadline);
    using commit_handler =
        std::function<void(platform::kv_commit_result const&)>;
    /** Calls back with the store's answer; without one, the cancellation is
     * relayed to peers until its deadline. */
    void commit_cancel(platform::kv_transaction const& change,
                       std::string const& job,
                       http_responder const& answer,
                       instant deadline,
                       commit_handler const& then);
    void count(platform::caller_call const& call, http_responder const& answer);
    bool load_is_fresh() const;

    context& shared;
    caller_api_ports ports;
    std::deque<submission> queue;
    int commits_in_progress = 0; //!< transactions without an answer
    bool commit_scheduled = false;
    std::map<std::uint64_t, pending_query> queries;
    std::map<std::uint64_t, pending_relay> relays;
    std::uint64_t next_query = 1;
    std::optional<batch::load_report> load;
    instant load_received_at;
    std::uint64_t unauthorized = 0;
    std::uint64_t placer_epoch = 0; //!< the highest received
};

} // namespace cicada::cell
