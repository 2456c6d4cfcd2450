#include "head.hpp"

#include "problem.hpp"

#include <algorithm>
#include <array>
#include <charconv>
#include <optional>
#include <string_view>

namespace cicada
{
namespace
{

namespace http = boost::beast::http;

constexpr std::string_view requests_path = "/v1/requests/";
constexpr std::string_view jobs_path = "/v1/jobs";
constexpr std::string_view job_path = "/v1/jobs/";
constexpr std::string_view health_path = "/v1/healthz";
constexpr std::string_view standin_prefix = "cicada-standin-";
constexpr std::size_t name_limit_bytes = 200;
constexpr std::size_t key_limit_bytes = 200;
constexpr std::size_t digest_digits = 16;
constexpr std::int64_t deadline_limit_ms = 3'600'000;
constexpr unsigned http_1_1 = 11;

std::string_view view(boost::beast::string_view text)
{
    return {text.data(), text.size()};
}

std::string lower(std::string_view text)
{
    std::string changed(text);
    std::transform(changed.begin(),
                   changed.end(),
                   changed.begin(),
                   [](unsigned char letter)
                   {
                       return static_cast<char>(std::tolower(letter));
                   });
    return changed;
}

bool is_name(std::string_view text)
{
    auto const allowed = [](unsigned char letter)
    {
        return std::isalnum(letter) != 0 || letter == '.' || letter == '_' ||
               letter == '-';
    };
    return !text.empty() && text.size() <= name_limit_bytes &&
           std::all_of(text.begin(), text.end(), allowed);
}

bool is_digest(std::string_view text)
{
    auto const digit = [](unsigned char letter)
    {
        return std::isxdigit(letter) != 0;
    };
    return text.size() == digest_digits &&
           std::all_of(text.begin(), text.end(), digit);
}

bool is_visible(std::string_view text)
{
    return std::all_of(text.begin(),
                       text.end(),
                       [](unsigned char letter)
                       {
                           return letter >= ' ' && letter <= '~';
                       });
}

/** Reads one header after the other; keeps the first problem. */
class field_reader
{
public:
    explicit field_reader(request_fields const& head) : head(head) {}

    /** The value, or nothing if the header is absent or wrong. */
    template <class Check>
    std::optional<std::string>
    read(char const* name, char const* code, Check valid)
    {
        if (this->head.count(name) == 0)
        {
            return std::nullopt;
        }
        std::string value(view(this->head[name]));
        if (this->head.count(name) > 1 || !valid(value))
        {
            this->fail(code, std::string(name) + " is not valid");
            return std::nullopt;
        }
        return value;
    }

    void fail(char const* code, std::string detail)
    {
        if (!this->problem)
        {
            this->problem = make_problem(400, code, std::move(detail));
        }
    }

    std::optional<answer_problem> problem;

private:
    request_fields const& head;
};

std::optional<milliseconds> parse_deadline(std::string const& text)
{
    std::int64_t count = 0;
    char const* const end = text.data() + text.size();
    std::from_chars_result const read =
        std::from_chars(text.data(), end, count);
    if (read.ec != std::errc() || read.ptr != end || count < 1 ||
        count > deadline_limit_ms)
    {
        return std::nullopt;
    }
    return milliseconds(count);
}

void read_tenant(field_reader& fields, request_arrived& arrival)
{
    std::optional<std::string> const tenant =
        fields.read("Cicada-Tenant", "bad_tenant", is_name);
    if (!tenant)
    {
        fields.fail("missing_tenant", "Cicada-Tenant is required");
        return;
    }
    arrival.tenant.value = *tenant;
}

void read_policy(field_reader& fields, request_arrived& arrival)
{
    std::optional<std::string> const urgency =
        fields.read("Cicada-Class",
                    "bad_class",
                    [](std::string const& text)
                    {
                        return parse_work_class(text).has_value();
                    });
    if (urgency)
    {
        arrival.urgency = parse_work_class(*urgency);
    }
    std::optional<std::string> const deadline =
        fields.read("Cicada-Deadline-Ms",
                    "bad_deadline",
                    [](std::string const& text)
                    {
                        return parse_deadline(text).has_value();
                    });
    if (deadline)
    {
        arrival.deadline = parse_deadline(*deadline);
    }
    std::optional<std::string> const idempotent =
        fields.read("Cicada-Idempotent",
                    "bad_idempotent",
                    [](std::string const& text)
                    {
                        return text == "no";
                    });
    if (idempotent)
    {
        arrival.idempotent = false;
    }
}

bool is_key(std::string const& text)
{
    return !text.empty() && text.size() <= key_limit_bytes && is_visible(text);
}

std::vector<header_field> forwarded_fields(request_fields const& head)
{
    std::vector<header_field> forwarded;
    for (http::fields::value_type const& field : head)
    {
        std::string const name(view(field.name_string()));
        bool const wanted = field.name() == http::field::content_type ||
                            lower(name).starts_with(standin_prefix);
        if (wanted)
        {
            forwarded.push_back({name, std::string(view(field.value()))});
        }
    }
    return forwarded;
}

checked_head check_run(request_fields const& head, std::string_view workload)
{
    field_reader fields(head);
    run_head checked;
    if (!is_name(workload))
    {
        fields.fail("bad_workload", "the workload's name is not valid");
    }
    checked.arrival.workload.value = workload;
    read_tenant(fields, checked.arrival);
    read_policy(fields, checked.arrival);
    checked.arrival.key =
        fields.read("Idempotency-Key", "bad_idempotency_key", is_key)
            .value_or("");
    checked.body_digest =
        lower(fields.read("Cicada-Body-Digest", "bad_body_digest", is_digest)
                  .value_or(""));
    checked.forwarded = forwarded_fields(head);
    if (fields.problem)
    {
        return *fields.problem;
    }
    return checked;
}

checked_head check_other(request_fields const& head,
                         std::string_view path,
                         std::string_view query)
{
    field_reader fields(head);
    other_request other;
    other.method = view(head.method_string());
    other.path = path;
    other.query = query;
    other.tenant.value =
        fields.read("Cicada-Tenant", "bad_tenant", is_name).value_or("");
    other.key = fields.read("Idempotency-Key", "bad_idempotency_key", is_key)
                    .value_or("");
    if (fields.problem)
    {
        return *fields.problem;
    }
    return other;
}

/** A path and the methods that it takes. */
struct route
{
    std::string_view path;
    bool prefix; //!< a name follows
    std::array<http::verb, 2> methods;
};

constexpr std::array<route, 4> routes{{
    {requests_path, true, {http::verb::post, http::verb::post}},
    {jobs_path, false, {http::verb::post, http::verb::post}},
    {job_path, true, {http::verb::get, http::verb::delete_}},
    {health_path, false, {http::verb::get, http::verb::get}},
}};

bool matches(route const& known, std::string_view path)
{
    return known.prefix
               ? path.starts_with(known.path) && path.size() > known.path.size()
               : path == known.path;
}

std::optional<answer_problem> check_route(http::verb method,
                                          std::string_view path)
{
    for (route const& known : routes)
    {
        if (!matches(known, path))
        {
            continue;
        }
        if (method == known.methods[0] || method == known.methods[1])
        {
            return std::nullopt;
        }
        return make_problem(
            405, "method_not_allowed", "this path takes another method");
    }
    return make_problem(404, "no_such_path", "no such path");
}

std::optional<answer_problem> check_framing(request_fields const& head,
                                            bool chunked)
{
    if (head.version() != http_1_1)
    {
        return make_problem(
            505, "bad_http_version", "only HTTP/1.1 is spoken here");
    }
    std::string_view const coding = view(head[http::field::transfer_encoding]);
    if (!coding.empty() && (!chunked || lower(coding) != "chunked"))
    {
        return make_problem(400,
                            "bad_transfer_encoding",
                            "Transfer-Encoding may only be chunked");
    }
    return std::nullopt;
}

} // namespace

checked_head check_head(request_fields const& head, bool chunked)
{
    std::optional<answer_problem> problem = check_framing(head, chunked);
    if (problem)
    {
        return *problem;
    }
    std::string_view const target = view(head.target());
    std::string_view const path = target.substr(0, target.find('?'));
    std::string_view const query =
        path.size() < target.size() ? target.substr(path.size() + 1) : "";
    problem = check_route(head.method(), path);
    if (problem)
    {
        return *problem;
    }
    if (path.starts_with(requests_path))
    {
        return check_run(head, path.substr(requests_path.size()));
    }
    return check_other(head, path, query);
}

} // namespace cicada
