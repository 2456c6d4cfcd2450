#pragma once

#include "batch/batch.hpp"

#include <optional>
#include <string>
#include <variant>
#include <vector>

/** Messages between the daemons of a cell, sent over the link as CBOR. */
namespace cicada::cell
{

/** Notifies the placer of a stored job. */
struct job_message
{
    std::string record;        //!< result of batch::encode_job()
    std::int64_t revision = 0; //!< of the store's write

    bool operator==(job_message const&) const = default;
};

/** Notifies the placer of a stored cancellation. */
struct cancel_message
{
    std::string job;

    bool operator==(cancel_message const&) const = default;
};

/** Asks the placer for a job's state. */
struct state_query
{
    std::uint64_t query = 0;
    std::string job;

    bool operator==(state_query const&) const = default;
};

struct state_reply
{
    std::uint64_t query = 0;
    std::optional<batch::job_state> state; //!< none: not known to the placer

    bool operator==(state_reply const&) const = default;
};

/** The placer's load, sent to all daemons several times a second. */
struct load_message
{
    std::uint64_t epoch = 0;
    batch::load_report load;
};

/** The placer is stopping; another daemon may claim its role at once. */
struct leaving_message
{
    bool operator==(leaving_message const&) const = default;
};

struct advice_request
{
    batch::request_advice call;
};

struct advice_result
{
    batch::advice_answered answer;
};

/** A request that a daemon relays to a peer while the store fails. */
enum class relay_verb
{
    submit,
    cancel,
    query
};

struct relay_request
{
    std::uint64_t query = 0;
    relay_verb verb = relay_verb::submit;
    std::string job;
    std::string record; //!< of a submission

    bool operator==(relay_request const&) const = default;
};

/** The outcome of a relayed request. */
enum class relay_outcome
{
    done,    //!< stored, or the state was read
    absent,  //!< no such job; of a submission: it was cancelled before
    refused, //!< not executed
    unknown  //!< may be executed, even later
};

struct relay_reply
{
    std::uint64_t query = 0;
    relay_outcome outcome = relay_outcome::refused;
    batch::job_state state = batch::job_state::queued; //!< of a query

    bool operator==(relay_reply const&) const = default;
};

using message = std::variant<job_message,
                             cancel_message,
                             state_query,
                             state_reply,
                             load_message,
                             leaving_message,
                             advice_request,
                             advice_result,
                             relay_request,
                             relay_reply>;

std::string encode(message const& value);

/** Errors: invalid_input. */
result<message> decode_message(std::string const& bytes);

} // namespace cicada::cell
