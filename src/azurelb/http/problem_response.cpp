#include <azurelb/http/problem_response.hpp>
#include <azurelb/wire/platform.pb.h>

#include <google/protobuf/util/json_util.h>

namespace azurelb {

namespace http = boost::beast::http;

http_response jsonResponse(http::status status, std::string body)
{
    constexpr unsigned http11 = 11;
    http_response response{status, http11};
    response.set(http::field::content_type, "application/json");
    response.body() = std::move(body);
    response.prepare_payload();
    return response;
}

http_response problemResponse(const problem &error)
{
    wire::problem document;
    document.set_type("urn:azurelb:problem:" + std::string{error.kind});
    document.set_title(std::string{http::obsolete_reason(error.status)});
    document.set_status(static_cast<unsigned>(error.status));
    document.set_detail(error.detail);
    document.set_run(std::string{toString(error.run)});
    std::string body;
    (void)google::protobuf::util::MessageToJsonString(document, &body);

    http_response response = jsonResponse(error.status, std::move(body));
    response.set(http::field::content_type, "application/problem+json");
    if (error.retryAfter.count() > 0) {
        const auto seconds = std::chrono::ceil<std::chrono::seconds>(error.retryAfter);
        response.set(http::field::retry_after, std::to_string(seconds.count()));
    }
    return response;
}

} // namespace azurelb
