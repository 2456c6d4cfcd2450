#pragma once

#include "batch/batch.hpp"

#include <optional>
#include <string>
#include <variant>
#include <vector>

/** What daemons of a cell say to each other over the link, as CBOR. */
namespace cicada::cell
{

/** A job that was just stored, to the placer. */
struct job_message
{
    std::string record;        //!< as encode_job() made it
    std::int64_t revision = 0; //!< of the store, when it was written

    bool operator==(job_message const&) const = default;
};

/** A stored cancellation, to the placer. */
struct cancel_message
{
    std::string job;

    bool operator==(cancel_message const&) const = default;
};

struct state_query
{
    std::uint64_t query = 0;
    std::string job;

    bool operator==(state_query const&) const = default;
};

struct state_reply
{
    std::uint64_t query = 0;
    std::optional<batch::job_state> state; //!< none: the job isn't known

    bool operator==(state_reply const&) const = default;
};

/** The placer's load, to all, several times a second. */
struct load_message
{
    std::uint64_t epoch = 0;
    batch::load_report load;
};

/** The placer is stopping; the next one needn't wait for it. */
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

/** What a daemon whose own path to the store fails asks of a peer. */
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

/** What became of it. */
enum class relay_outcome
{
    done,    //!< stored, or the state was read
    absent,  //!< there is no such job
    refused, //!< nothing was done
    unknown  //!< it may be done, now or later
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
