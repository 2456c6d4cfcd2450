#pragma once

#include "agent_state.hpp"

#include <utility>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http.hpp>

#include <atomic>
#include <list>
#include <mutex>
#include <thread>

namespace cicada::standin
{

namespace http = boost::beast::http;
using tcp = boost::asio::ip::tcp;
using http_answer = http::response<http::string_body>;

/** A faulty or healthy agent behind its listening socket. */
struct agent_host
{
    explicit agent_host(boost::asio::io_context& io)
        : acceptor(std::in_place, io)
    {
    }

    agent_state state;
    std::optional<tcp::acceptor> acceptor; //!< none once stopped
    milliseconds delay{0};
    bool drop = false;
    bool pause = false;
    bool lose_answers = false;
    std::uint64_t silent_below = 0; //!< connections with lower numbers
    std::uint64_t last_connection = 0;
    std::uint64_t shown_version = 0; //!< what waiting syncs were told of
    std::list<boost::asio::steady_timer*> waiting;
};

/** Wakes all that wait for a change of an agent. */
void wake(agent_host& agent);

/** One connection of an agent or of the control port. */
struct connection
{
    explicit connection(tcp::socket socket) : stream(std::move(socket)) {}

    boost::beast::tcp_stream stream;
    boost::beast::flat_buffer buffer;
    std::uint64_t number = 0;
};

/** What all the agents share; one thread. */
struct server_state
{
    /** Freed before the rest, which its coroutines refer to. */
    std::unique_ptr<boost::asio::io_context> io =
        std::make_unique<boost::asio::io_context>();
    standin_agents_settings settings;
    std::list<agent_host> agents;
    std::map<std::string, std::uint64_t> ran; //!< by Idempotency-Key
    std::uint64_t key_ran_twice = 0;
    std::list<boost::beast::tcp_stream*> open;
};

instant now();

/** Ends the others' faults, or sets one; see agent_fault. */
void set_fault(server_state& server,
               std::string const& agent,
               agent_fault fault,
               milliseconds length);

standin_agent_counts count_all(server_state const& server);

/** Answers a request to the control port. */
http_answer answer_control(server_state& server,
                           http::request<http::string_body> const& request);

/** An answer with a JSON body. */
http_answer make_answer(http::status status, std::string const& body);

/** The answer for a refusal of an agent. */
http_answer make_refusal(agent_refusal const& refusal);

/** The body of a run's answer. */
std::string run_body(std::string const& attempt,
                     std::uint64_t bytes,
                     std::uint64_t digest,
                     std::size_t padded_to);

/** Accepts connections to an agent until its acceptor closes. */
void start_agent(server_state& server, agent_host& agent);

/** As start_agent(), for the control port. */
void start_control(server_state& server, tcp::acceptor& acceptor);

} // namespace cicada::standin
