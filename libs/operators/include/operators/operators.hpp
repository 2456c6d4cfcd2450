#pragma once

#include "core/core.hpp"
#include "publishing/publishing.hpp"

#include <memory>

/**
 * The operators' HTTP interface of a daemon, and its client. JSON, on an
 * address of its own, with a bearer token:
 *
 *   GET  /v1/status, /v1/workers, /v1/endpoints, /v1/jobs
 *   GET  /v1/explain/{id}, /v1/metrics
 *   GET  /v1/notes?after=N
 *   POST /v1/notes/preview, /v1/notes (the note's text; ?head=N)
 *   POST /v1/drain
 */
namespace cicada
{

/** A live daemon, as the answering one sees it. */
struct daemon_row
{
    member who;
    std::uint64_t note_number = 0; //!< as last heard from it
    bool reachable = false;        //!< over the link

    bool operator==(daemon_row const&) const = default;
};

/** All that the read routes show; one consistent reading of the daemon. */
struct operators_view
{
    member self;
    bool store_up = false;
    state_view state;
    cell_config config;
    std::vector<daemon_row> daemons; //!< the answering one too

    bool operator==(operators_view const&) const = default;
};

/**
 * What the daemon does for its operators. Called from the server's threads,
 * several at once; may block for a moment, must not throw.
 */
struct operators_callbacks
{
    std::function<operators_view()> view;
    std::function<std::string(std::string const& id)> explain;
    std::function<std::string()> metrics; //!< text exposition
    std::function<void()> drain;          //!< begins a planned stop
    std::function<void(int number, std::string const& detail)> log;
};

/** The server; listens from its making to its end. */
class operators_server
{
public:
    /** Listens. Errors: unavailable, if the address can't be had. */
    static result<std::unique_ptr<operators_server>>
    open(address const& where,
         std::string const& token,
         operators_callbacks const& callbacks,
         note_publisher publisher);

    operators_server(operators_server const&) = delete;
    operators_server& operator=(operators_server const&) = delete;

    /** Stops listening. */
    ~operators_server();

private:
    struct impl;
    explicit operators_server(std::unique_ptr<impl> made);
    std::unique_ptr<impl> self;
};

/** What a daemon answered. */
struct operators_answer
{
    int status = 0;
    std::string body;

    bool operator==(operators_answer const&) const = default;
};

/**
 * Calls a daemon and waits. Errors: unavailable if it can't be reached,
 * unknown if the answer was lost.
 *
 * @param method "GET" or "POST"
 */
result<operators_answer> call_operators(address const& where,
                                        std::string const& token,
                                        std::string const& method,
                                        std::string const& path,
                                        std::string const& body,
                                        milliseconds limit);

} // namespace cicada
