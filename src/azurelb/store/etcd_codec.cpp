#include <azurelb/store/etcd_codec.hpp>

#include <google/protobuf/util/json_util.h>

namespace azurelb::internal {

namespace {

namespace http = boost::beast::http;

/** Maps an HTTP status other than 200 to an error. */
store_error errorOfStatus(http::status status)
{
    constexpr unsigned clientClosedRequest = 499;
    // The gateway returns these two for calls that timed out or were cancelled while running.
    const bool interrupted = status == http::status::request_timeout
        || static_cast<unsigned>(status) == clientClosedRequest;
    const bool refused = http::to_status_class(status) == http::status_class::client_error;
    return refused && !interrupted ? store_error::refused : store_error::unknown;
}

bool isComplete(const etcd_call &call, const wire::etcd::txn_response &response)
{
    const int expected =
        response.succeeded() ? call.expectedSuccessResponses : call.expectedFailureResponses;
    return response.header().revision() > 0 && response.responses_size() == expected;
}

} // namespace

std::string encodeTransaction(const wire::etcd::txn_request &transaction)
{
    std::string body;
    (void)google::protobuf::util::MessageToJsonString(transaction, &body);
    return body;
}

store_reply decodeReply(const etcd_call &call, const http_outcome &outcome)
{
    if (outcome.progress == http_progress::not_sent)
        return {store_error::refused, {}};
    if (outcome.progress == http_progress::sent)
        return {store_error::unknown, {}};
    if (outcome.response.result() != http::status::ok)
        return {errorOfStatus(outcome.response.result()), {}};
    google::protobuf::util::JsonParseOptions options;
    options.ignore_unknown_fields = true;
    store_reply reply;
    const auto parsed = google::protobuf::util::JsonStringToMessage(outcome.response.body(),
                                                                    &reply.response, options);
    if (!parsed.ok() || !isComplete(call, reply.response))
        return {store_error::malformed, {}};
    return reply;
}

} // namespace azurelb::internal
