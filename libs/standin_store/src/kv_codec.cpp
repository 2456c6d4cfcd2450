#include "kv_codec.hpp"

#include "json_fields.hpp"

#include <map>

namespace cicada::standin
{

namespace
{

constexpr int status_bad_request = 400;
constexpr int status_not_found = 404;

struct call_name
{
    char const* path;
    call_kind kind;
    http_reply (*run)(kv_state&, instant, json const&);
};

// ---- reading -------------------------------------------------------------

key_range range_of(json const& call)
{
    return {bytes_field(call, "key"), bytes_field(call, "range_end")};
}

range_op decode_range(json const& call)
{
    return {range_of(call), number_field(call, "limit")};
}

put_op decode_put(json const& call)
{
    return {bytes_field(call, "key"),
            bytes_field(call, "value"),
            number_field(call, "lease")};
}

delete_op decode_delete(json const& call)
{
    return {range_of(call)};
}

compare_target decode_target(std::string const& name)
{
    static std::map<std::string, compare_target> const names = {
        {"", compare_target::version},
        {"VERSION", compare_target::version},
        {"CREATE", compare_target::create_revision},
        {"MOD", compare_target::mod_revision},
        {"VALUE", compare_target::value},
        {"LEASE", compare_target::lease}};
    return names.at(name);
}

compare_result decode_result(std::string const& name)
{
    static std::map<std::string, compare_result> const names = {
        {"", compare_result::equal},
        {"EQUAL", compare_result::equal},
        {"GREATER", compare_result::greater},
        {"LESS", compare_result::less},
        {"NOT_EQUAL", compare_result::not_equal}};
    return names.at(name);
}

char const* number_name(compare_target target)
{
    switch (target)
    {
    case compare_target::version:
        return "version";
    case compare_target::create_revision:
        return "create_revision";
    case compare_target::mod_revision:
        return "mod_revision";
    case compare_target::lease:
        return "lease";
    case compare_target::value:
        break;
    }
    return "";
}

compare_op decode_compare(json const& call)
{
    compare_op op;
    op.key = bytes_field(call, "key");
    op.target = decode_target(text_field(call, "target"));
    op.wanted = decode_result(text_field(call, "result"));
    if (op.target == compare_target::value)
    {
        op.text = bytes_field(call, "value");
        return op;
    }
    op.number = number_field(call, number_name(op.target));
    return op;
}

txn_op decode_txn(json const& call);

request_op decode_op(json const& call)
{
    if (json const* const found = find_field(call, "request_range"))
    {
        return decode_range(*found);
    }
    if (json const* const found = find_field(call, "request_put"))
    {
        return decode_put(*found);
    }
    if (json const* const found = find_field(call, "request_delete_range"))
    {
        return decode_delete(*found);
    }
    return decode_txn(required_field(call, "request_txn"));
}

txn_op decode_txn(json const& call)
{
    txn_op op;
    for (json const& each : list_field(call, "compare"))
    {
        op.compares.push_back(decode_compare(each));
    }
    for (json const& each : list_field(call, "success"))
    {
        op.success.push_back(decode_op(each));
    }
    for (json const& each : list_field(call, "failure"))
    {
        op.failure.push_back(decode_op(each));
    }
    return op;
}

// ---- writing -------------------------------------------------------------

json header_of(std::int64_t revision)
{
    return {{"cluster_id", "1"},
            {"member_id", "1"},
            {"revision", std::to_string(revision)},
            {"raft_term", "1"}};
}

void set_number(json& target, char const* name, std::int64_t value)
{
    if (value != 0)
    {
        target[name] = std::to_string(value);
    }
}

json encode_entry(entry const& each)
{
    json text = {{"key", to_base64(each.key)}};
    if (!each.stored.value.empty())
    {
        text["value"] = to_base64(each.stored.value);
    }
    set_number(text, "create_revision", each.stored.create_revision);
    set_number(text, "mod_revision", each.stored.mod_revision);
    set_number(text, "version", each.stored.version);
    set_number(text, "lease", each.stored.lease);
    return text;
}

json encode_range(range_reply const& reply, std::int64_t revision)
{
    json text = {{"header", header_of(revision)}};
    for (entry const& each : reply.entries)
    {
        text["kvs"].push_back(encode_entry(each));
    }
    if (reply.more)
    {
        text["more"] = true;
    }
    set_number(text, "count", reply.count);
    return text;
}

json encode_txn(txn_reply const& reply, std::int64_t revision);

struct reply_encoder
{
    std::int64_t revision;

    json operator()(range_reply const& reply) const
    {
        return {{"response_range", encode_range(reply, this->revision)}};
    }

    json operator()(put_reply const&) const
    {
        return {{"response_put", {{"header", header_of(this->revision)}}}};
    }

    json operator()(delete_reply const& reply) const
    {
        json text = {{"header", header_of(this->revision)}};
        set_number(text, "deleted", reply.deleted);
        return {{"response_delete_range", text}};
    }

    json operator()(txn_reply const& reply) const
    {
        return {{"response_txn", encode_txn(reply, this->revision)}};
    }
};

json encode_txn(txn_reply const& reply, std::int64_t revision)
{
    json text = {{"header", header_of(revision)}};
    if (reply.succeeded)
    {
        text["succeeded"] = true;
    }
    for (reply_op const& each : reply.replies)
    {
        text["responses"].push_back(std::visit(reply_encoder{revision}, each));
    }
    return text;
}

http_reply ok(json const& text)
{
    return {200, text.dump()};
}

http_reply failed(int status, int grpc_code, std::string const& message)
{
    json const text = {
        {"error", message}, {"code", grpc_code}, {"message", message}};
    return {status, text.dump()};
}

http_reply bad_request(std::string const& message)
{
    return failed(status_bad_request, 3, message);
}

http_reply no_such_lease()
{
    return failed(status_not_found, 5, "etcdserver: requested lease not found");
}

// ---- calls ---------------------------------------------------------------

http_reply call_range(kv_state& state, instant /*now*/, json const& call)
{
    range_reply const reply = read_range(state, decode_range(call));
    return ok(encode_range(reply, state.revision));
}

/** Runs one write outside a txn; `name` is that of its answer. */
http_reply call_single(kv_state& state, request_op const& op, char const* name)
{
    result<txn_reply> const reply = run_txn(state, txn_op{{}, {op}, {}});
    if (!reply.has_value())
    {
        return bad_request(reply.assume_error().message);
    }
    json const text = std::visit(reply_encoder{state.revision},
                                 reply.assume_value().replies.front());
    return ok(text.at(name));
}

http_reply call_put(kv_state& state, instant /*now*/, json const& call)
{
    return call_single(state, decode_put(call), "response_put");
}

http_reply call_delete(kv_state& state, instant /*now*/, json const& call)
{
    return call_single(state, decode_delete(call), "response_delete_range");
}

http_reply call_txn(kv_state& state, instant /*now*/, json const& call)
{
    result<txn_reply> const reply = run_txn(state, decode_txn(call));
    if (!reply.has_value())
    {
        error const& why = reply.assume_error();
        return why.code == error_code::refused ? no_such_lease()
                                               : bad_request(why.message);
    }
    return ok(encode_txn(reply.assume_value(), state.revision));
}

http_reply call_compact(kv_state& state, instant /*now*/, json const& call)
{
    if (!compact(state, number_field(call, "revision")))
    {
        return bad_request("etcdserver: mvcc: required revision has been "
                           "compacted");
    }
    return ok({{"header", header_of(state.revision)}});
}

http_reply call_grant(kv_state& state, instant now, json const& call)
{
    std::int64_t const ttl = number_field(call, "TTL");
    std::int64_t const lease = grant_lease(state, seconds(ttl), now);
    return ok({{"header", header_of(state.revision)},
               {"ID", std::to_string(lease)},
               {"TTL", std::to_string(ttl)}});
}

http_reply call_keep_alive(kv_state& state, instant now, json const& call)
{
    std::int64_t const lease = number_field(call, "ID");
    json reply = {{"header", header_of(state.revision)},
                  {"ID", std::to_string(lease)}};
    if (renew_lease(state, lease, now))
    {
        reply["TTL"] = std::to_string(state.leases.at(lease).ttl.count());
    }
    return ok({{"result", reply}});
}

http_reply call_revoke(kv_state& state, instant /*now*/, json const& call)
{
    if (!end_lease(state, number_field(call, "ID")))
    {
        return no_such_lease();
    }
    return ok({{"header", header_of(state.revision)}});
}

constexpr call_name call_names[] = {
    {"/v3/kv/range", call_kind::read, call_range},
    {"/v3/kv/put", call_kind::write, call_put},
    {"/v3/kv/deleterange", call_kind::write, call_delete},
    {"/v3/kv/txn", call_kind::write, call_txn},
    {"/v3/kv/compaction", call_kind::write, call_compact},
    {"/v3/lease/grant", call_kind::lease, call_grant},
    {"/v3/lease/keepalive", call_kind::lease, call_keep_alive},
    {"/v3/lease/revoke", call_kind::lease, call_revoke},
    {"/v3/kv/lease/revoke", call_kind::lease, call_revoke}};

call_name const* find_call(std::string const& path)
{
    for (call_name const& each : call_names)
    {
        if (path == each.path)
        {
            return &each;
        }
    }
    return nullptr;
}

} // namespace

call_kind kind_of(std::string const& path)
{
    call_name const* const found = find_call(path);
    return found == nullptr ? call_kind::other : found->kind;
}

bool is_call(std::string const& path)
{
    return find_call(path) != nullptr;
}

http_reply answer_call(kv_state& state,
                       instant now,
                       std::string const& path,
                       std::string const& body)
{
    call_name const* const found = find_call(path);
    if (found == nullptr)
    {
        return failed(status_not_found, 5, "Not Found");
    }
    try
    {
        return found->run(state, now, json::parse(body));
    }
    catch (std::exception const& broken)
    {
        return bad_request(broken.what());
    }
}

result<watch_call> decode_watch(std::string const& body)
{
    try
    {
        json const whole = json::parse(body);
        json const& call = required_field(whole, "create_request");
        return watch_call{range_of(call), number_field(call, "start_revision")};
    }
    catch (std::exception const& broken)
    {
        return error{error_code::invalid_input, broken.what()};
    }
}

std::string encode_created(std::int64_t revision)
{
    json const line = {
        {"result", {{"header", header_of(revision)}, {"created", true}}}};
    return line.dump() + "\n";
}

std::string encode_changes(std::int64_t revision,
                           std::vector<change> const& changes)
{
    json reply = {{"header", header_of(revision)}};
    for (change const& each : changes)
    {
        json event = {{"kv", encode_entry(each.now)}};
        if (each.deleted)
        {
            event["type"] = "DELETE";
        }
        reply["events"].push_back(event);
    }
    return json{{"result", reply}}.dump() + "\n";
}

std::string encode_compacted(std::int64_t revision, std::int64_t compacted)
{
    json const reply = {{"header", header_of(revision)},
                        {"canceled", true},
                        {"compact_revision", std::to_string(compacted)}};
    return json{{"result", reply}}.dump() + "\n";
}

} // namespace cicada::standin
