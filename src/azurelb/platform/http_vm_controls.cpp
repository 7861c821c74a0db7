#include <azurelb/http/endpoint.hpp>
#include <azurelb/platform/http_vm_controls.hpp>

#include <cctype>
#include <cstdio>
#include <utility>

namespace azurelb {

namespace {

namespace http = boost::beast::http;

constexpr unsigned httpVersion{11};

/** Percent-encodes the text as one path segment (RFC 3986). */
std::string percentEncode(const std::string &text)
{
    constexpr std::string_view unreserved{"-._~"};
    std::string encoded;
    for (const char character : text) {
        const auto byte = static_cast<unsigned char>(character);
        if (std::isalnum(byte) || unreserved.find(character) != std::string_view::npos) {
            encoded += character;
        } else {
            char code[4];
            std::snprintf(code, sizeof code, "%%%02X", static_cast<unsigned>(byte));
            encoded += code;
        }
    }
    return encoded;
}

control_outcome decodeOutcome(const http_outcome &outcome)
{
    if (outcome.progress == http_progress::not_sent)
        return control_outcome::refused;
    if (outcome.progress == http_progress::sent)
        return control_outcome::unknown;
    if (outcome.response.result() == http::status::not_found)
        return control_outcome::unknown_vm;
    switch (http::to_status_class(outcome.response.result())) {
    case http::status_class::successful:
        return control_outcome::accepted;
    case http::status_class::client_error:
        return control_outcome::refused;
    default:
        return control_outcome::unknown;
    }
}

} // namespace

http_vm_controls::http_vm_controls(boost::asio::io_context &loop, const platform_options &options)
    : m_options{options}
    , m_client{loop, options.endpoint}
{ }

void http_vm_controls::stop() noexcept
{
    m_client.close();
    m_requests.clear();
}

void http_vm_controls::drain(const vm_id &vm, control_handler done)
{
    enqueue(vm, "drain", std::move(done));
}

void http_vm_controls::reboot(const vm_id &vm, control_handler done)
{
    enqueue(vm, "reboot", std::move(done));
}

void http_vm_controls::enqueue(const vm_id &vm, std::string_view verb, control_handler done)
{
    std::string path = "/v1/vms/" + percentEncode(vm.value()) + '/' + std::string{verb};
    m_requests.push_back({std::move(path), std::move(done)});
    if (m_requests.size() == 1)
        sendNext();
}

void http_vm_controls::sendNext()
{
    http_request request{http::verb::post, m_requests.front().path, httpVersion};
    request.set(http::field::host, toString(m_options.endpoint));
    request.prepare_payload();
    m_client.call(std::move(request), {m_options.timeout, m_options.timeout},
                  [this](http_outcome &&outcome) { handleOutcome(outcome); });
}

void http_vm_controls::handleOutcome(const http_outcome &outcome)
{
    const pending_request finished = std::move(m_requests.front());
    m_requests.pop_front();
    if (!m_requests.empty())
        sendNext();
    finished.done(decodeOutcome(outcome));
}

} // namespace azurelb
