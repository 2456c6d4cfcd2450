#include "serve.hpp"

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <xxhash.h>

#include <array>
#include <charconv>

namespace cicada::standin
{

namespace asio = boost::asio;

namespace
{

using run_parser = http::request_parser<http::buffer_body>;

std::uint64_t
read_number(run_parser const& parser, char const* name, std::uint64_t otherwise)
{
    boost::beast::string_view const text = parser.get()[name];
    std::uint64_t value = otherwise;
    std::from_chars(text.data(), text.data() + text.size(), value);
    return value;
}

/** How much came in. */
struct received
{
    std::uint64_t bytes = 0;
    std::uint64_t digest = 0; //!< XXH64, seed 0
};

/** Reads the body as it comes; throws if it ends early. */
asio::awaitable<received> receive(connection& from, run_parser& parser)
{
    std::array<char, 16384> piece{};
    received out;
    std::unique_ptr<XXH64_state_t, XXH_errorcode (*)(XXH64_state_t*)> const
        hash(XXH64_createState(), XXH64_freeState);
    XXH64_reset(hash.get(), 0);
    while (!parser.is_done())
    {
        parser.get().body().data = piece.data();
        parser.get().body().size = piece.size();
        boost::system::error_code failure;
        co_await http::async_read_some(
            from.stream,
            from.buffer,
            parser,
            asio::redirect_error(asio::use_awaitable, failure));
        if (failure && failure != http::error::need_buffer)
        {
            throw boost::system::system_error(failure);
        }
        std::size_t const count = piece.size() - parser.get().body().size;
        XXH64_update(hash.get(), piece.data(), count);
        out.bytes += count;
    }
    out.digest = XXH64_digest(hash.get());
    co_return out;
}

milliseconds service_time(server_state const& server,
                          agent_host const& agent,
                          run_parser const& parser)
{
    std::map<pool_id, milliseconds>::const_iterator const found =
        server.settings.service_times.find(agent.state.info.pool);
    milliseconds const usual = found == server.settings.service_times.end()
                                   ? server.settings.service_time
                                   : found->second;
    return milliseconds(read_number(parser,
                                    "Cicada-Standin-Service-Ms",
                                    static_cast<std::uint64_t>(usual.count())));
}

/** Leaves a tombstone if the body doesn't come whole. */
class receiving
{
public:
    receiving(agent_host& agent, std::string const& attempt)
        : agent(agent), attempt(attempt)
    {
    }

    ~receiving()
    {
        if (!this->whole)
        {
            ++this->agent.state.counts.cut_off;
            end_attempt(this->agent.state,
                        this->attempt,
                        run_state::never_started,
                        now());
            wake(this->agent);
        }
    }

    receiving(receiving const&) = delete;
    receiving& operator=(receiving const&) = delete;

    bool whole = false;

private:
    agent_host& agent;
    std::string const& attempt;
};

/** Counts a key that runs, and whether it ran before. */
void note_key(server_state& server, run_parser const& parser)
{
    std::string const key(parser.get()["Idempotency-Key"]);
    if (!key.empty() && ++server.ran[key] > 1)
    {
        ++server.key_ran_twice;
    }
}

/** Reads on until the sender has read our answer and closes. */
task drain(connection& from)
{
    constexpr std::chrono::seconds limit{1};
    std::array<char, 16384> piece{};
    boost::system::error_code over;
    from.stream.socket().shutdown(tcp::socket::shutdown_send, over);
    from.stream.expires_after(limit);
    while (!over)
    {
        co_await from.stream.async_read_some(
            asio::buffer(piece),
            asio::redirect_error(asio::use_awaitable, over));
    }
}

asio::awaitable<bool> write(agent_host const& agent,
                            connection& from,
                            http_answer answer,
                            bool keep_alive)
{
    co_await wait_for(agent.delay);
    co_await wait_while_stuck(agent, from);
    if (agent.lose_answers)
    {
        co_return false;
    }
    answer.keep_alive(keep_alive);
    co_await http::async_write(from.stream, answer, asio::use_awaitable);
    co_return keep_alive;
}

/**
 * Refuses an attempt. A refusal says "not run" of this attempt and so bears
 * its id; a duplicate doesn't, because the first may have run.
 */
asio::awaitable<bool> refuse(agent_host const& agent,
                             connection& from,
                             std::string const& attempt,
                             agent_refusal const& refusal)
{
    http_answer answer = make_refusal(refusal);
    if (refusal.reason != "duplicate")
    {
        answer.set("Cicada-Attempt", attempt);
    }
    co_await write(agent, from, std::move(answer), false);
    co_await drain(from);
    co_return false;
}

} // namespace

asio::awaitable<bool> serve_run(server_state& server,
                                agent_host& agent,
                                connection& from,
                                run_parser& parser)
{
    std::string const attempt(parser.get()["Cicada-Attempt"]);
    attempt_start const start{attempt,
                              epoch{read_number(parser, "Cicada-Epoch", 0)}};
    if (attempt.empty())
    {
        co_return co_await write(
            agent, from, make_answer(http::status::bad_request, "{}"), false);
    }
    std::optional<agent_refusal> refusal =
        begin_attempt(agent.state, start, now());
    wake(agent);
    if (refusal.has_value())
    {
        co_return co_await refuse(agent, from, attempt, *refusal);
    }
    received body;
    {
        receiving guard(agent, attempt);
        body = co_await receive(from, parser);
        guard.whole = true;
    }
    refusal = run_attempt(agent.state, attempt, now());
    if (refusal.has_value())
    {
        co_return co_await refuse(agent, from, attempt, *refusal);
    }
    note_key(server, parser);
    co_await wait_for(service_time(server, agent, parser));
    bool const fails = agent.state.fail_all;
    end_attempt(agent.state,
                attempt,
                fails ? run_state::failed : run_state::finished,
                now());
    wake(agent);
    http_answer answer = make_answer(
        fails ? http::status::internal_server_error : http::status::ok,
        run_body(attempt,
                 body.bytes,
                 body.digest,
                 read_number(parser,
                             "Cicada-Standin-Answer-Bytes",
                             server.settings.answer_bytes)));
    answer.set("Cicada-Attempt", attempt);
    co_return co_await write(
        agent, from, std::move(answer), parser.keep_alive());
}

} // namespace cicada::standin
