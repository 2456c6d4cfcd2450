#include "instances/instances.hpp"

#include <cpprest/http_client.h>

#include <mutex>

namespace cicada
{
namespace
{

namespace http = web::http;

using list_result = result<std::optional<std::vector<instance>>>;

constexpr char list_path[] = "/instances";

http::client::http_client_config make_config(milliseconds time_limit)
{
    http::client::http_client_config config;
    config.set_timeout(time_limit);
    return config;
}

error make_unavailable(std::string const& message)
{
    return error{error_code::unavailable, message};
}

} // namespace

struct instances_client::impl
{
    impl(address const& where, milliseconds time_limit)
        : base_url("http://" + to_string(where)),
          config(make_config(time_limit)),
          client(std::make_unique<http::client::http_client>(base_url, config))
    {
    }

    /**
     * Replaces the HTTP client, because a connection that failed may be dead.
     * The next call opens a new one.
     */
    void replace_client()
    {
        std::lock_guard<std::mutex> const lock(this->mutex);
        this->client = std::make_unique<http::client::http_client>(
            this->base_url, this->config);
    }

    list_result read_response(http::http_response const& response)
    {
        if (response.status_code() == http::status_codes::NotModified)
        {
            return std::optional<std::vector<instance>>{};
        }
        if (response.status_code() != http::status_codes::OK)
        {
            return make_unavailable("status " +
                                    std::to_string(response.status_code()));
        }
        std::string const body = response.extract_utf8string(true).get();
        result<std::vector<instance>> const list = decode_instances(body);
        if (!list.has_value())
        {
            return list.assume_error();
        }
        std::lock_guard<std::mutex> const lock(this->mutex);
        response.headers().match("ETag", this->etag);
        return std::optional<std::vector<instance>>(list.assume_value());
    }

    std::string const base_url;
    http::client::http_client_config const config;
    std::mutex mutex; //!< guards the members below
    std::unique_ptr<http::client::http_client> client;
    std::string etag; //!< of the last list read; empty: none
};

instances_client::instances_client(address const& where,
                                   milliseconds time_limit)
    : implementation(std::make_shared<impl>(where, time_limit))
{
}

instances_client::~instances_client() = default;

void instances_client::read(instances_handler const& handler)
{
    std::shared_ptr<impl> const shared = this->implementation;
    http::http_request request(http::methods::GET);
    request.set_request_uri(list_path);
    pplx::task<http::http_response> response_task;
    {
        std::lock_guard<std::mutex> const lock(shared->mutex);
        if (!shared->etag.empty())
        {
            request.headers().add("If-None-Match", shared->etag);
        }
        response_task = shared->client->request(request);
    }
    response_task.then(
        [shared, handler](pplx::task<http::http_response> const& completed_task)
        {
            try
            {
                handler(shared->read_response(completed_task.get()));
            }
            catch (std::exception const& failure)
            {
                shared->replace_client();
                handler(make_unavailable(failure.what()));
            }
        });
}

} // namespace cicada
