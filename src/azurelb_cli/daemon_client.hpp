#pragma once

#include <azurelb_cli/call_result.hpp>

#include <boost/beast/http/verb.hpp>

#include <chrono>
#include <string>
#include <string_view>
#include <vector>

namespace azurelb::cli {

/** Calls the first daemon of a list that answers. */
class daemon_client
{
public:
    using milliseconds = std::chrono::milliseconds;

    /** The servers are "IP:PORT"; the token goes as a bearer token and is never printed. */
    daemon_client(std::vector<std::string> servers, std::string token, milliseconds timeout);

    /** Reads a path. Throws command_error with unreachable if no server answers. */
    [[nodiscard]] call_result get(std::string_view path) const;

    /**
     * Posts a body that may be sent more than once with the effect of once: every server is asked
     * in turn until one answers. Throws command_error with unreachable if none was reached, with
     * unknown if one was but gave no answer.
     */
    [[nodiscard]] call_result postIdempotent(std::string_view path, const std::string &body) const;

    /** Posts a body that may run at most once: another server is asked only if nothing was sent. */
    [[nodiscard]] call_result postAtMostOnce(std::string_view path, const std::string &body,
                                             const std::string &idempotencyKey) const;

private:
    std::vector<std::string> m_servers;
    std::string m_token;
    milliseconds m_timeout;
};

} // namespace azurelb::cli
