#include "standin_process.hpp"

#include <azurelb/http/endpoint.hpp>

#include <boost/asio/io_context.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http.hpp>
#include <google/protobuf/util/json_util.h>

#include <stdexcept>

namespace azurelb::test {

namespace {

namespace http = boost::beast::http;

std::vector<std::string> allFlags(const std::string &mode, std::vector<std::string> flags)
{
    flags.push_back("--mode=" + mode);
    flags.emplace_back("--control=127.0.0.1:0");
    return flags;
}

/** The address at the end of a line such as "listening 127.0.0.1:80". */
standin_process::endpoint addressIn(const std::string &line)
{
    const auto parsed = parseEndpoint(std::string_view{line}.substr(line.find(' ') + 1));
    if (!parsed)
        throw std::runtime_error{"no address in line: " + line};
    return *parsed;
}

template <typename Message>
Message parse(const std::string &text)
{
    Message message;
    if (!google::protobuf::util::JsonStringToMessage(text, &message).ok())
        throw std::runtime_error{"unexpected answer: " + text};
    return message;
}

} // namespace

standin_process::standin_process(const std::string &mode, std::vector<std::string> flags)
    : m_process{builtProgram("azurelb_standin"), allFlags(mode, std::move(flags))}
{
    std::string line = m_process.waitForLine("127.0.0.1:");
    for (; line.starts_with("listening "); line = m_process.waitForLine("127.0.0.1:"))
        m_addresses.push_back(addressIn(line));
    m_control = addressIn(line);
}

const standin_process::endpoint &standin_process::address(std::size_t index) const
{
    return m_addresses.at(index);
}

void standin_process::setFault(const wire::standin::fault &wanted, std::size_t index)
{
    std::string body;
    (void)google::protobuf::util::MessageToJsonString(wanted, &body);
    control("fault/" + std::to_string(index), body);
}

wire::standin::status standin_process::status(std::size_t index)
{
    return parse<wire::standin::status>(control("status/" + std::to_string(index)));
}

wire::standin::run_counts standin_process::runs(std::size_t index)
{
    return parse<wire::standin::run_counts>(control("runs/" + std::to_string(index)));
}

std::string standin_process::control(const std::string &path, const std::string &body)
{
    constexpr unsigned httpVersion = 11;
    boost::asio::io_context loop;
    boost::beast::tcp_stream stream{loop};
    stream.connect(m_control);
    http::request<http::string_body> request{body.empty() ? http::verb::get : http::verb::post,
                                             "/_standin/" + path, httpVersion, body};
    request.prepare_payload();
    http::write(stream, request);
    boost::beast::flat_buffer buffer;
    http::response<http::string_body> response;
    http::read(stream, buffer, response);
    if (response.result() != http::status::ok)
        throw std::runtime_error{"control request failed: " + response.body()};
    return response.body();
}

} // namespace azurelb::test
