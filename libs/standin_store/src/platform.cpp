#include "platform.hpp"

#include "json_fields.hpp"

namespace cicada::standin
{

namespace
{

constexpr int status_not_modified = 304;
constexpr int status_bad_request = 400;
constexpr int status_not_found = 404;
constexpr std::size_t kept_changes = 100'000; //!< of the keys' history

/** The list that is shown now; forgets older ones. */
listed const& shown_list(platform_state& state, instant now)
{
    while (state.lists.size() > 1 && state.lists[1].shown_from <= now)
    {
        state.lists.erase(state.lists.begin());
    }
    return state.lists.front();
}

template <class T>
std::optional<T> optional_field(json const& call, char const* name)
{
    if (!call.contains(name))
    {
        return std::nullopt;
    }
    return call.at(name).get<T>();
}

std::optional<milliseconds> optional_time(json const& call, char const* name)
{
    std::optional<std::int64_t> const count =
        optional_field<std::int64_t>(call, name);
    if (!count.has_value())
    {
        return std::nullopt;
    }
    return milliseconds(*count);
}

result<standin_faults> decode_faults(std::string const& text)
{
    try
    {
        json const call = json::parse(text);
        standin_faults faults;
        faults.down = optional_field<bool>(call, "down");
        faults.slow = optional_time(call, "slow_ms");
        faults.lose_answers = optional_field<int>(call, "lose_answers");
        faults.lose_probability =
            optional_field<double>(call, "lose_probability");
        faults.seed = optional_field<std::uint64_t>(call, "seed");
        faults.instance_lag = optional_time(call, "instance_lag_ms");
        faults.silent = optional_field<bool>(call, "silent").value_or(false);
        return faults;
    }
    catch (std::exception const& broken)
    {
        return error{error_code::invalid_input, broken.what()};
    }
}

platform_plan answer(int status, std::string const& body)
{
    platform_plan plan;
    plan.reply = {status, body};
    return plan;
}

platform_plan
get_list(platform_state& state, instant now, platform_call const& call)
{
    state.calls.instances += 1;
    listed const& list = shown_list(state, now);
    std::string const etag = "\"" + std::to_string(list.version) + "\"";
    bool const same = call.if_none_match == etag;
    platform_plan plan =
        same ? answer(status_not_modified, "") : answer(200, list.json);
    plan.etag = etag;
    return plan;
}

platform_plan post_fault(platform_state& state, platform_call const& call)
{
    result<standin_faults> const faults = decode_faults(call.body);
    if (!faults.has_value())
    {
        return answer(status_bad_request, faults.assume_error().message);
    }
    apply_faults(state, faults.assume_value());
    platform_plan plan = answer(200, "{}");
    plan.silence = faults.assume_value().silent;
    return plan;
}

platform_plan get_calls(platform_state const& state)
{
    json const text = {{"reads", state.calls.reads},
                       {"writes", state.calls.writes},
                       {"leases", state.calls.leases},
                       {"watches", state.calls.watches},
                       {"instances", state.calls.instances}};
    return answer(200, text.dump());
}

void count(platform_state& state, std::string const& path)
{
    switch (kind_of(path))
    {
    case call_kind::read:
        state.calls.reads += 1;
        break;
    case call_kind::write:
        state.calls.writes += 1;
        break;
    case call_kind::lease:
        state.calls.leases += 1;
        break;
    case call_kind::other:
        break;
    }
}

bool loses_answer(platform_state& state)
{
    if (state.lose_answers > 0)
    {
        state.lose_answers -= 1;
        return true;
    }
    std::bernoulli_distribution lost(state.lose_probability);
    return state.lose_probability > 0.0 && lost(state.random);
}

void forget_history(platform_state& state)
{
    if (state.keys.history.size() > kept_changes)
    {
        std::size_t const middle = kept_changes / 2;
        compact(state.keys, state.keys.history[middle].now.stored.mod_revision);
    }
}

platform_plan
service_call(platform_state& state, instant now, platform_call const& call)
{
    count(state, call.path);
    expire_leases(state.keys, now);
    platform_plan plan;
    plan.reply = answer_call(state.keys, now, call.path, call.body);
    plan.delay = state.slow;
    bool const write = kind_of(call.path) == call_kind::write;
    plan.lose = write && loses_answer(state);
    forget_history(state);
    return plan;
}

} // namespace

void apply_faults(platform_state& state, standin_faults const& faults)
{
    state.down = faults.down.value_or(state.down);
    state.slow = faults.slow.value_or(state.slow);
    state.lose_answers = faults.lose_answers.value_or(state.lose_answers);
    state.lose_probability =
        faults.lose_probability.value_or(state.lose_probability);
    state.instance_lag = faults.instance_lag.value_or(state.instance_lag);
    if (faults.seed.has_value())
    {
        state.random.seed(*faults.seed);
    }
}

void replace_list(platform_state& state, instant now, std::string const& json)
{
    std::int64_t const version = state.lists.back().version + 1;
    state.lists.push_back({now + state.instance_lag, json, version});
}

platform_plan
take_call(platform_state& state, instant now, platform_call const& call)
{
    std::string const what = call.method + " " + call.path;
    if (what == "GET /instances")
    {
        return get_list(state, now, call);
    }
    if (what == "PUT /instances")
    {
        replace_list(state, now, call.body);
        return answer(200, "{}");
    }
    if (what == "POST /fault")
    {
        return post_fault(state, call);
    }
    if (what == "GET /calls")
    {
        return get_calls(state);
    }
    if (call.control || call.method != "POST")
    {
        return answer(status_not_found, "{}");
    }
    if (call.path == "/v3/watch")
    {
        state.calls.watches += 1;
        platform_plan plan;
        plan.watch = true;
        return plan;
    }
    return service_call(state, now, call);
}

} // namespace cicada::standin
