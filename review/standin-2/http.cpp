#include "http.hpp"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <chrono>
#include <cstdlib>
#include <random>
#include <set>
#include <stdexcept>
#include <thread>

namespace standin {

namespace {

using steady = std::chrono::steady_clock;

sockaddr_in loopback(std::uint16_t port)
{
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(port);
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    return address;
}

std::string lower(std::string text)
{
    std::transform(text.begin(), text.end(), text.begin(),
                   [](unsigned char each) { return static_cast<char>(std::tolower(each)); });
    return text;
}

bool sendAll(int socket, const std::string &text)
{
    for (std::size_t sent = 0; sent < text.size();) {
        const ssize_t count = send(socket, text.data() + sent, text.size() - sent, MSG_NOSIGNAL);
        if (count <= 0)
            return false;
        sent += static_cast<std::size_t>(count);
    }
    return true;
}

/** Reads more bytes into the buffer; false at the end of the stream, on errors and time-outs. */
bool receive(int socket, std::string &buffer, std::optional<steady::time_point> deadline)
{
    if (deadline) {
        const auto left =
            std::chrono::duration_cast<std::chrono::milliseconds>(*deadline - steady::now());
        pollfd waiting{socket, POLLIN, 0};
        if (left.count() <= 0 || poll(&waiting, 1, static_cast<int>(left.count())) <= 0)
            return false;
    }
    char chunk[16384];
    const ssize_t count = recv(socket, chunk, sizeof chunk, 0);
    if (count > 0)
        buffer.append(chunk, static_cast<std::size_t>(count));
    return count > 0;
}

/** A message: its first line, headers and body. */
struct message
{
    std::string firstLine;
    std::map<std::string, std::string> headers;
    std::string body;
};

std::optional<message> readMessage(int socket, std::string &buffer,
                                   std::optional<steady::time_point> deadline)
{
    std::size_t end = 0;
    while ((end = buffer.find("\r\n\r\n")) == std::string::npos) {
        if (!receive(socket, buffer, deadline))
            return std::nullopt;
    }
    message read;
    std::size_t begin = buffer.find("\r\n");
    read.firstLine = buffer.substr(0, begin);
    while (begin < end) {
        begin += 2;
        const std::size_t lineEnd = buffer.find("\r\n", begin);
        const std::string line = buffer.substr(begin, lineEnd - begin);
        const std::size_t colon = line.find(':');
        if (colon != std::string::npos) {
            const std::size_t value = line.find_first_not_of(' ', colon + 1);
            read.headers[lower(line.substr(0, colon))] =
                value == std::string::npos ? std::string{} : line.substr(value);
        }
        begin = lineEnd;
    }
    const auto length = read.headers.find("content-length");
    const std::size_t bytes =
        length == read.headers.end() ? 0 : std::strtoul(length->second.c_str(), nullptr, 10);
    while (buffer.size() < end + 4 + bytes) {
        if (!receive(socket, buffer, deadline))
            return std::nullopt;
    }
    read.body = buffer.substr(end + 4, bytes);
    buffer.erase(0, end + 4 + bytes);
    return read;
}

void serveConnection(int socket, const http_handler &handler)
{
    const int on = 1;
    setsockopt(socket, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
    std::string buffer;
    while (auto read = readMessage(socket, buffer, std::nullopt)) {
        http_request request;
        const std::size_t first = read->firstLine.find(' ');
        const std::size_t second = read->firstLine.find(' ', first + 1);
        request.method = read->firstLine.substr(0, first);
        request.target = read->firstLine.substr(first + 1, second - first - 1);
        request.headers = std::move(read->headers);
        request.body = std::move(read->body);
        const auto response = handler(request);
        if (!response)
            break;
        const std::string head = "HTTP/1.1 " + std::to_string(response->status)
            + " X\r\nContent-Type: application/json\r\nContent-Length: "
            + std::to_string(response->body.size()) + "\r\n\r\n";
        if (!sendAll(socket, head + response->body))
            break;
    }
    close(socket);
}

} // namespace

std::string http_request::header(const std::string &name) const
{
    const auto found = headers.find(name);
    return found == headers.end() ? std::string{} : found->second;
}

std::string http_request::parameter(const std::string &name) const
{
    std::size_t begin = target.find('?');
    while (begin != std::string::npos) {
        ++begin;
        const std::size_t end = std::min(target.find('&', begin), target.size());
        const std::string pair = target.substr(begin, end - begin);
        if (pair.starts_with(name + '=')) {
            std::string value;
            for (std::size_t at = name.size() + 1; at < pair.size(); ++at) {
                if (pair[at] == '%' && at + 2 < pair.size()) {
                    value += static_cast<char>(
                        std::strtol(pair.substr(at + 1, 2).c_str(), nullptr, 16));
                    at += 2;
                } else {
                    value += pair[at];
                }
            }
            return value;
        }
        begin = end == target.size() ? std::string::npos : end;
    }
    return {};
}

std::uint16_t serve(http_handler handler)
{
    const int listener = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    sockaddr_in address = loopback(0);
    socklen_t length = sizeof address;
    if (bind(listener, reinterpret_cast<sockaddr *>(&address), sizeof address) != 0
        || listen(listener, 512) != 0
        || getsockname(listener, reinterpret_cast<sockaddr *>(&address), &length) != 0)
        throw std::runtime_error{"no port for a stand-in"};
    std::thread{[listener, handler = std::move(handler)] {
        while (true) {
            const int connection = accept4(listener, nullptr, nullptr, SOCK_CLOEXEC);
            if (connection >= 0)
                std::thread{serveConnection, connection, handler}.detach();
        }
    }}.detach();
    return ntohs(address.sin_port);
}

std::uint16_t freePort()
{
    // Below the range from which outgoing connections take their ports.
    static std::mt19937 random{std::random_device{}()};
    static std::set<std::uint16_t> taken;
    std::uniform_int_distribution<int> ports{12'000, 31'999};
    while (true) {
        const auto port = static_cast<std::uint16_t>(ports(random));
        if (!taken.insert(port).second)
            continue;
        const int probe = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        const sockaddr_in address = loopback(port);
        const int bound = bind(probe, reinterpret_cast<const sockaddr *>(&address), sizeof address);
        close(probe);
        if (bound == 0)
            return port;
    }
}

http_response call(std::uint16_t port, const std::string &method, const std::string &target,
                   const std::map<std::string, std::string> &headers, const std::string &body,
                   int timeoutMs)
{
    http_response failed{0, {}};
    const auto deadline = steady::now() + std::chrono::milliseconds{timeoutMs};
    const int connection = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    sockaddr_in address = loopback(port);
    if (connect(connection, reinterpret_cast<sockaddr *>(&address), sizeof address) != 0) {
        close(connection);
        return failed;
    }
    std::string text = method + ' ' + target + " HTTP/1.1\r\n";
    for (const auto &[name, value] : headers)
        text += name + ": " + value + "\r\n";
    if (!body.empty())
        text += "Content-Type: application/json\r\n";
    text += "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
    std::string buffer;
    std::optional<message> read;
    if (sendAll(connection, text))
        read = readMessage(connection, buffer, deadline);
    close(connection);
    if (!read || read->firstLine.size() < 12)
        return failed;
    return {std::atoi(read->firstLine.substr(9, 3).c_str()), read->body};
}

} // namespace standin
