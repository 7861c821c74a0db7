#include "caller_client.hpp"
#include "child_process.hpp"

#include <azurelb/wire/platform.pb.h>

#include <boost/beast/http/read.hpp>
#include <boost/beast/http/write.hpp>
#include <google/protobuf/util/json_util.h>

namespace azurelb::test {

namespace {

namespace http = boost::beast::http;

constexpr unsigned http11{11};

caller_client::request messageOf(const call &callerRequest)
{
    caller_client::request message{http::verb::post, "/v1/queues/" + callerRequest.queue, http11,
                                   callerRequest.body};
    message.set(http::field::content_type, "application/json");
    if (!callerRequest.key.empty())
        message.set(http::field::authorization, "Bearer " + callerRequest.key);
    if (!callerRequest.id.empty())
        message.set("X-Test-Id", callerRequest.id);
    if (callerRequest.runDuration)
        message.set("X-Run-Ms", std::to_string(callerRequest.runDuration->count()));
    if (callerRequest.timeout)
        message.set("Azurelb-Timeout-Ms", std::to_string(callerRequest.timeout->count()));
    if (!callerRequest.idempotencyKey.empty())
        message.set("Idempotency-Key", callerRequest.idempotencyKey);
    return message;
}

} // namespace

std::string call_answer::runStatus() const
{
    if (response[http::field::content_type] != "application/problem+json")
        return {};
    wire::problem document;
    (void)google::protobuf::util::JsonStringToMessage(response.body(), &document);
    return document.run();
}

call_answer caller_client::send(const call &callerRequest)
{
    return send(messageOf(callerRequest));
}

call_answer caller_client::send(request message)
{
    call_answer answer;
    if (!connect())
        return answer;
    answer.progress = call_progress::connection_lost;
    if (!write(message) || !read(answer)) {
        close();
        return answer;
    }
    answer.progress = call_progress::answered;
    if (!answer.response.keep_alive())
        close();
    return answer;
}

bool caller_client::sendWithoutWaiting(const call &callerRequest)
{
    request message = messageOf(callerRequest);
    return connect() && write(message);
}

void caller_client::close()
{
    m_stream.close();
    m_buffer.clear();
    m_open = false;
}

bool caller_client::connect()
{
    if (m_open)
        return true;
    boost::system::error_code failure;
    m_stream.expires_never();
    m_stream.socket().close(failure);
    m_stream.socket().connect(m_server, failure);
    m_open = !failure;
    return m_open;
}

bool caller_client::write(request &message)
{
    message.prepare_payload();
    boost::system::error_code result;
    m_stream.expires_after(defaultWaitLimit);
    http::async_write(m_stream, message, [&result](boost::system::error_code failure, std::size_t) {
        result = failure;
    });
    m_loop.restart();
    m_loop.run();
    // The server may respond and close before it has read the whole request.
    return !result || result == boost::asio::error::broken_pipe
        || result == boost::asio::error::connection_reset;
}

bool caller_client::read(call_answer &answer)
{
    boost::system::error_code result;
    m_stream.expires_after(defaultWaitLimit);
    http::async_read(
        m_stream, m_buffer, answer.response,
        [&result](boost::system::error_code failure, std::size_t) { result = failure; });
    m_loop.restart();
    m_loop.run();
    return !result;
}

} // namespace azurelb::test
