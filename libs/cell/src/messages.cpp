#include "messages.hpp"

#include <nlohmann/json.hpp>

namespace cicada::cell
{

namespace
{

using nlohmann::json;

/** Numbers of the messages on the wire; they never change. */
enum message_kind : int
{
    kind_job = 1,
    kind_cancel,
    kind_state_query,
    kind_state_reply,
    kind_load,
    kind_leaving,
    kind_advice_request,
    kind_advice_result,
    kind_relay_request,
    kind_relay_reply
};

json to_binary(std::string const& bytes)
{
    return json::binary(std::vector<std::uint8_t>(bytes.begin(), bytes.end()));
}

std::string from_binary(json const& value)
{
    json::binary_t const& bytes = value.get_binary();
    return {bytes.begin(), bytes.end()};
}

struct encoder
{
    json operator()(job_message const& m) const
    {
        return json::array({kind_job, to_binary(m.record), m.revision});
    }

    json operator()(cancel_message const& m) const
    {
        return json::array({kind_cancel, m.job});
    }

    json operator()(state_query const& m) const
    {
        return json::array({kind_state_query, m.query, m.job});
    }

    json operator()(state_reply const& m) const
    {
        int const state = m.state ? static_cast<int>(*m.state) : -1;
        return json::array({kind_state_reply, m.query, state});
    }

    json operator()(load_message const& m) const
    {
        json wait = json::array();
        for (milliseconds each : m.load.wait)
        {
            wait.push_back(each.count());
        }
        json customers = json::object();
        for (auto const& entry : m.load.customers)
        {
            json own = json::array();
            for (milliseconds each : entry.second.wait)
            {
                own.push_back(each.count());
            }
            customers[entry.first] =
                json::array({entry.second.until_share.count(), std::move(own)});
        }
        return json::array({kind_load,
                            m.epoch,
                            m.load.pending,
                            wait,
                            m.load.settled,
                            std::move(customers),
                            m.load.lag.count()});
    }

    json operator()(leaving_message const&) const
    {
        return json::array({kind_leaving});
    }

    json operator()(advice_request const& m) const
    {
        return json::array({kind_advice_request,
                            m.call.call,
                            m.call.requester,
                            m.call.job,
                            m.call.step,
                            m.call.workers,
                            m.call.expected.count()});
    }

    json operator()(advice_result const& m) const
    {
        json allowed = json::array();
        for (batch::advised_worker const& each : m.answer.allowed)
        {
            allowed.push_back(json::array({each.worker, each.ticket}));
        }
        return json::array({kind_advice_result,
                            m.answer.call,
                            m.answer.requester,
                            m.answer.job,
                            m.answer.step,
                            m.answer.requested,
                            std::move(allowed),
                            m.answer.validity.count(),
                            m.answer.answered});
    }

    json operator()(relay_request const& m) const
    {
        return json::array({kind_relay_request,
                            m.query,
                            static_cast<int>(m.verb),
                            m.job,
                            to_binary(m.record)});
    }

    json operator()(relay_reply const& m) const
    {
        return json::array({kind_relay_reply,
                            m.query,
                            static_cast<int>(m.outcome),
                            static_cast<int>(m.state)});
    }
};

load_message decode_load(json const& from)
{
    load_message m;
    from.at(1).get_to(m.epoch);
    from.at(2).get_to(m.load.pending);
    for (json const& each : from.at(3))
    {
        m.load.wait.emplace_back(each.get<std::int64_t>());
    }
    from.at(4).get_to(m.load.settled);
    // A daemon of an earlier version sends no customers and no lag.
    if (from.size() > 6)
    {
        m.load.lag = milliseconds(from.at(6).get<std::int64_t>());
    }
    if (from.size() > 5)
    {
        for (auto const& entry : from.at(5).items())
        {
            batch::customer_load& load = m.load.customers[entry.key()];
            load.until_share =
                milliseconds(entry.value().at(0).get<std::int64_t>());
            for (json const& each : entry.value().at(1))
            {
                load.wait.emplace_back(each.get<std::int64_t>());
            }
        }
    }
    return m;
}

advice_request decode_advice_request(json const& from)
{
    advice_request m;
    from.at(1).get_to(m.call.call);
    from.at(2).get_to(m.call.requester);
    from.at(3).get_to(m.call.job);
    from.at(4).get_to(m.call.step);
    from.at(5).get_to(m.call.workers);
    m.call.expected = milliseconds(from.at(6).get<std::int64_t>());
    return m;
}

advice_result decode_advice_result(json const& from)
{
    advice_result m;
    from.at(1).get_to(m.answer.call);
    from.at(2).get_to(m.answer.requester);
    from.at(3).get_to(m.answer.job);
    from.at(4).get_to(m.answer.step);
    from.at(5).get_to(m.answer.requested);
    for (json const& row : from.at(6))
    {
        m.answer.allowed.push_back(
            {row.at(0).get<std::string>(), row.at(1).get<std::string>()});
    }
    m.answer.validity = milliseconds(from.at(7).get<std::int64_t>());
    from.at(8).get_to(m.answer.answered);
    return m;
}

state_reply decode_state_reply(json const& from)
{
    state_reply m;
    from.at(1).get_to(m.query);
    int const state = from.at(2).get<int>();
    if (state >= 0 && state <= static_cast<int>(batch::job_state::cancelled))
    {
        m.state = static_cast<batch::job_state>(state);
    }
    return m;
}

/** Errors: invalid_input if the value isn't in 0..last. */
template <class Enum>
result<Enum> decode_enum(json const& from, Enum last)
{
    int const value = from.get<int>();
    if (value < 0 || value > static_cast<int>(last))
    {
        return error{error_code::invalid_input,
                     "enumeration value " + std::to_string(value) +
                         " is not in 0.." +
                         std::to_string(static_cast<int>(last))};
    }
    return static_cast<Enum>(value);
}

result<message> decode_relay_request(json const& from)
{
    relay_request m;
    from.at(1).get_to(m.query);
    result<relay_verb> const verb = decode_enum(from.at(2), relay_verb::query);
    if (!verb.has_value())
    {
        return verb.assume_error();
    }
    m.verb = verb.assume_value();
    from.at(3).get_to(m.job);
    m.record = from_binary(from.at(4));
    return message(m);
}

result<message> decode_relay_reply(json const& from)
{
    relay_reply m;
    from.at(1).get_to(m.query);
    result<relay_outcome> const outcome =
        decode_enum(from.at(2), relay_outcome::unknown);
    result<batch::job_state> const state =
        decode_enum(from.at(3), batch::job_state::cancelled);
    if (!outcome.has_value() || !state.has_value())
    {
        return error{error_code::invalid_input,
                     "relay reply: outcome " + from.at(2).dump() +
                         " or state " + from.at(3).dump() + " is out of range"};
    }
    m.outcome = outcome.assume_value();
    m.state = state.assume_value();
    return message(m);
}

result<message> decode_kind(json const& from)
{
    switch (from.at(0).get<int>())
    {
    case kind_job:
        return message(job_message{from_binary(from.at(1)),
                                   from.at(2).get<std::int64_t>()});
    case kind_cancel:
        return message(cancel_message{from.at(1).get<std::string>()});
    case kind_state_query:
        return message(state_query{from.at(1).get<std::uint64_t>(),
                                   from.at(2).get<std::string>()});
    case kind_state_reply:
        return message(decode_state_reply(from));
    case kind_load:
        return message(decode_load(from));
    case kind_leaving:
        return message(leaving_message{});
    case kind_advice_request:
        return message(decode_advice_request(from));
    case kind_advice_result:
        return message(decode_advice_result(from));
    case kind_relay_request:
        return decode_relay_request(from);
    case kind_relay_reply:
        return decode_relay_reply(from);
    default:
        return error{error_code::invalid_input,
                     "unknown message kind " + from.at(0).dump()};
    }
}

} // namespace

std::string encode(message const& value)
{
    std::vector<std::uint8_t> const bytes =
        json::to_cbor(std::visit(encoder{}, value));
    return {bytes.begin(), bytes.end()};
}

result<message> decode_message(std::string const& bytes)
{
    try
    {
        return decode_kind(json::from_cbor(bytes));
    }
    catch (json::exception const& problem)
    {
        return error{error_code::invalid_input, problem.what()};
    }
}

} // namespace cicada::cell
