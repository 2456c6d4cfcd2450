#include "operators/operators.hpp"

#include <cpprest/http_client.h>

namespace cicada
{

result<operators_answer> call_operators(address const& where,
                                        std::string const& token,
                                        std::string const& method,
                                        std::string const& path,
                                        std::string const& body,
                                        milliseconds limit)
{
    namespace http = web::http;
    error_code const lost =
        method == "GET" ? error_code::unavailable : error_code::unknown;
    try
    {
        http::client::http_client_config config;
        config.set_timeout(limit);
        http::client::http_client client("http://" + to_string(where), config);
        http::http_request request(method);
        request.set_request_uri(path);
        request.headers().add("Authorization", "Bearer " + token);
        if (method != "GET")
        {
            request.set_body(body, "text/plain; charset=utf-8");
        }
        http::http_response const response = client.request(request).get();
        std::vector<unsigned char> const bytes =
            response.extract_vector().get();
        return operators_answer{static_cast<int>(response.status_code()),
                                std::string(bytes.begin(), bytes.end())};
    }
    catch (http::http_exception const& fault)
    {
        bool const refused =
            fault.error_code() == std::errc::connection_refused ||
            fault.error_code() == std::errc::host_unreachable;
        return error{refused ? error_code::unavailable : lost, fault.what()};
    }
    catch (std::exception const& fault)
    {
        return error{lost, fault.what()};
    }
}

} // namespace cicada
