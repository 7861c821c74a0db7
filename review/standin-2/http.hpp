#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>

/** A small HTTP/1.1 server and client for the stand-ins: one thread for each connection. */
namespace standin {

struct http_request
{
    std::string method;
    std::string target;
    /** Names in lower case. */
    std::map<std::string, std::string> headers;
    std::string body;

    [[nodiscard]] std::string header(const std::string &name) const;
    /** Returns a decoded parameter of the query; empty if it is absent. */
    [[nodiscard]] std::string parameter(const std::string &name) const;
    [[nodiscard]] std::string path() const { return target.substr(0, target.find('?')); }
};

struct http_response
{
    int status{200};
    std::string body{"{}"};
};

/** Without a response, the connection is closed. */
using http_handler = std::function<std::optional<http_response>(const http_request &)>;

/** Serves a free port of 127.0.0.1 until the process ends; returns the port. */
std::uint16_t serve(http_handler handler);

/** Returns a port of 127.0.0.1 that is free now. */
std::uint16_t freePort();

/** Status 0: no complete answer. */
http_response call(std::uint16_t port, const std::string &method, const std::string &target,
                   const std::map<std::string, std::string> &headers, const std::string &body,
                   int timeoutMs);

} // namespace standin
