#pragma once

#include <azurelb_cli/call_result.hpp>

#include <boost/beast/http/verb.hpp>

#include <chrono>
#include <string>
#include <string_view>
#include <vector>

namespace azurelb::cli {

/** HTTP client with failover: tries the daemons of a list in turn. */
class daemon_client
{
public:
    using milliseconds = std::chrono::milliseconds;

    /**
     * servers: "IP:PORT" each. token: sent as a bearer token, never printed. timeout: for each
     * server.
     */
    daemon_client(std::vector<std::string> servers, std::string token, milliseconds timeout);

    /** Sends a GET. Throws command_error with exit_code::unreachable if no server answers. */
    [[nodiscard]] call_result get(std::string_view path) const;

    /**
     * Sends an idempotent POST: tries every server in turn until one answers. Throws command_error
     * with exit_code::unreachable if no server was reached, with exit_code::unknown if a server was
     * reached but did not answer.
     */
    [[nodiscard]] call_result postIdempotent(std::string_view path, const std::string &body) const;

    /**
     * Sends a POST that must take effect at most once. Without an idempotency key, the next server
     * is tried only if nothing was sent to the previous one. Throws as postIdempotent does.
     */
    [[nodiscard]] call_result postAtMostOnce(std::string_view path, const std::string &body,
                                             const std::string &idempotencyKey) const;

private:
    std::vector<std::string> m_servers;
    std::string m_token;
    milliseconds m_timeout;
};

} // namespace azurelb::cli
