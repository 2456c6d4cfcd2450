#include "codec.hpp"

#include "base64/base64.hpp"

#include <nlohmann/json.hpp>

namespace cicada::store_detail
{

using json = nlohmann::json;

namespace
{

constexpr std::size_t message_bytes = 200; //!< kept of an error's text

// ---- fields --------------------------------------------------------------

/** Throws what the caller turns into an error. */
std::int64_t number_field(json const& text, char const* name)
{
    if (!text.contains(name))
    {
        return 0;
    }
    json const& field = text.at(name);
    return field.is_string() ? std::stoll(field.get<std::string>())
                             : field.get<std::int64_t>();
}

std::string bytes_field(json const& text, char const* name)
{
    result<std::string> const bytes =
        from_base64(text.value(name, std::string()));
    if (!bytes.has_value())
    {
        throw std::invalid_argument(std::string(name) + ": not base64");
    }
    return bytes.assume_value();
}

json list_field(json const& text, char const* name)
{
    return text.contains(name) ? text.at(name) : json::array();
}

std::int64_t revision_of(json const& text)
{
    return text.contains("header") ? number_field(text.at("header"), "revision")
                                   : 0;
}

/** Of a whole answer, which always has one. */
std::int64_t required_revision(json const& text)
{
    std::int64_t const revision = number_field(text.at("header"), "revision");
    if (revision <= 0)
    {
        throw std::invalid_argument("header: no revision");
    }
    return revision;
}

/** Calls `decode` on the text as JSON; what it throws becomes an error. */
template <class T>
result<T> guarded(std::string const& text, T (*decode)(json const&))
{
    try
    {
        return decode(json::parse(text));
    }
    catch (std::exception const& broken)
    {
        return error{error_code::invalid_input, broken.what()};
    }
}

// ---- requests ------------------------------------------------------------

json range_body(range_request const& request)
{
    std::string const from =
        request.after.empty() ? request.key : request.after + '\0';
    json body = {{"key", to_base64(from)}};
    if (request.prefix)
    {
        body["key"] = to_base64(from.empty() ? std::string(1, '\0') : from);
        body["range_end"] = to_base64(prefix_end(request.key));
    }
    if (request.limit != 0)
    {
        body["limit"] = std::to_string(request.limit);
    }
    return body;
}

json compare_body(key_compare const& compare)
{
    json body = {{"key", to_base64(compare.key)}, {"result", "EQUAL"}};
    if (compare.mod_revision == 0)
    {
        body["target"] = "VERSION";
        body["version"] = "0";
        return body;
    }
    body["target"] = "MOD";
    body["mod_revision"] = std::to_string(compare.mod_revision);
    return body;
}

json put_body(key_put const& put)
{
    json body = {{"key", to_base64(put.key)}, {"value", to_base64(put.value)}};
    if (put.lease.value != 0)
    {
        body["lease"] = std::to_string(put.lease.value);
    }
    return body;
}

/** One operation of a txn, under its name. */
json named(char const* name, json const& body)
{
    json made = json::object();
    made[name] = body;
    return made;
}

json txn_body(txn const& request)
{
    json body = {{"compare", json::array()},
                 {"success", json::array()},
                 {"failure", json::array()}};
    for (key_compare const& each : request.compares)
    {
        body["compare"].push_back(compare_body(each));
    }
    for (key_put const& each : request.puts)
    {
        body["success"].push_back(named("request_put", put_body(each)));
    }
    for (std::string const& each : request.deletes)
    {
        json const gone = {{"key", to_base64(each)}};
        body["success"].push_back(named("request_delete_range", gone));
    }
    for (range_request const& each : request.otherwise)
    {
        body["failure"].push_back(named("request_range", range_body(each)));
    }
    return body;
}

// ---- answers -------------------------------------------------------------

key_value read_key_value(json const& text)
{
    key_value made;
    made.key = bytes_field(text, "key");
    made.value = bytes_field(text, "value");
    made.mod_revision = number_field(text, "mod_revision");
    made.lease = {number_field(text, "lease")};
    return made;
}

/** Within a txn's answer its revision may be missing. */
range_answer read_range(json const& text)
{
    range_answer made;
    made.revision = revision_of(text);
    for (json const& each : list_field(text, "kvs"))
    {
        made.values.push_back(read_key_value(each));
    }
    made.more = text.value("more", false);
    return made;
}

range_answer read_whole_range(json const& text)
{
    range_answer made = read_range(text);
    made.revision = required_revision(text);
    return made;
}

txn_answer read_txn(json const& text, std::int64_t revision)
{
    txn_answer made;
    made.revision = revision;
    made.outcome = text.value("succeeded", false) ? txn_outcome::done
                                                  : txn_outcome::refused;
    for (json const& each : list_field(text, "responses"))
    {
        if (!each.contains("response_range"))
        {
            continue;
        }
        range_answer const found = read_range(each.at("response_range"));
        made.existing.insert(
            made.existing.end(), found.values.begin(), found.values.end());
    }
    return made;
}

std::vector<txn_answer> read_txns(json const& text)
{
    std::int64_t const revision = required_revision(text);
    std::vector<txn_answer> made;
    for (json const& each : list_field(text, "responses"))
    {
        made.push_back(read_txn(each.at("response_txn"), revision));
    }
    return made;
}

txn_answer read_single(json const& text)
{
    return read_txn(text, required_revision(text));
}

lease_answer read_lease(json const& text)
{
    lease_id const lease{number_field(text, "ID")};
    if (lease.value == 0)
    {
        throw std::invalid_argument("ID: missing");
    }
    return {lease, seconds(number_field(text, "TTL"))};
}

lease_answer read_renewed(json const& text)
{
    return read_lease(text.contains("result") ? text.at("result") : text);
}

key_change read_change(json const& text)
{
    key_change made;
    made.now = read_key_value(text.at("kv"));
    made.deleted = text.value("type", std::string("PUT")) == "DELETE";
    return made;
}

watch_line read_watch_line(json const& whole)
{
    if (whole.contains("error"))
    {
        throw std::invalid_argument(whole.at("error").dump());
    }
    json const& text = whole.at("result");
    watch_line made;
    made.revision = revision_of(text);
    made.created = text.value("created", false);
    made.canceled = text.value("canceled", false);
    made.compacted = number_field(text, "compact_revision");
    made.message = text.value("cancel_reason", std::string());
    for (json const& each : list_field(text, "events"))
    {
        made.changes.push_back(read_change(each));
    }
    return made;
}

std::string read_message(json const& text)
{
    return text.at("message").get<std::string>();
}

} // namespace

std::string prefix_end(std::string const& prefix)
{
    std::string end = prefix;
    while (!end.empty() && static_cast<unsigned char>(end.back()) == 0xff)
    {
        end.pop_back();
    }
    if (end.empty())
    {
        return std::string(1, '\0');
    }
    end.back() = static_cast<char>(end.back() + 1);
    return end;
}

std::string encode_range(range_request const& request)
{
    return range_body(request).dump();
}

result<range_answer> decode_range(std::string const& text)
{
    return guarded<range_answer>(text, read_whole_range);
}

std::string encode_txns(std::vector<txn> const& requests)
{
    if (requests.size() == 1)
    {
        return txn_body(requests.front()).dump();
    }
    json body = {{"success", json::array()}};
    for (txn const& each : requests)
    {
        body["success"].push_back(named("request_txn", txn_body(each)));
    }
    return body.dump();
}

result<std::vector<txn_answer>> decode_txns(std::string const& text,
                                            std::size_t count)
{
    if (count == 1)
    {
        result<txn_answer> const single =
            guarded<txn_answer>(text, read_single);
        if (!single.has_value())
        {
            return single.assume_error();
        }
        return std::vector<txn_answer>{single.assume_value()};
    }
    result<std::vector<txn_answer>> answers =
        guarded<std::vector<txn_answer>>(text, read_txns);
    if (answers.has_value() && answers.assume_value().size() != count)
    {
        return error{error_code::invalid_input, "responses: wrong number"};
    }
    return answers;
}

std::string encode_grant(milliseconds ttl)
{
    seconds const whole = std::chrono::ceil<seconds>(ttl);
    return json{{"TTL", std::to_string(whole.count())}}.dump();
}

result<lease_answer> decode_grant(std::string const& text)
{
    return guarded<lease_answer>(text, read_lease);
}

std::string encode_lease(lease_id lease)
{
    return json{{"ID", std::to_string(lease.value)}}.dump();
}

result<lease_answer> decode_keep_alive(std::string const& text)
{
    result<lease_answer> renewed = guarded<lease_answer>(text, read_renewed);
    if (renewed.has_value() && renewed.assume_value().ttl <= milliseconds(0))
    {
        return error{error_code::refused, "the lease has lapsed"};
    }
    return renewed;
}

std::string encode_watch(std::string const& prefix, std::int64_t from_revision)
{
    json call = range_body({prefix, true, 0, ""});
    call["progress_notify"] = true;
    if (from_revision != 0)
    {
        call["start_revision"] = std::to_string(from_revision);
    }
    return named("create_request", call).dump();
}

result<watch_line> decode_watch_line(std::string const& text)
{
    return guarded<watch_line>(text, read_watch_line);
}

std::string decode_message(std::string const& text)
{
    result<std::string> const message =
        guarded<std::string>(text, read_message);
    return message.has_value() ? message.assume_value()
                               : text.substr(0, message_bytes);
}

} // namespace cicada::store_detail
