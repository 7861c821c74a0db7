#include <azurelb/config/config_view.hpp>
#include <azurelb/config/secret_digest.hpp>
#include <azurelb/request/request_check.hpp>

#include <algorithm>
#include <charconv>
#include <iterator>

namespace azurelb {

namespace http = boost::beast::http;

namespace {

constexpr std::string_view queuesPath{"/v1/queues/"};
constexpr std::string_view bearerPrefix{"Bearer "};
constexpr std::string_view timeoutHeader{"Azurelb-Timeout-Ms"};
constexpr std::string_view idempotencyKeyHeader{"Idempotency-Key"};
constexpr std::size_t maxIdempotencyKeyLength = 255;

struct split_target
{
    std::string_view queue{};
    /** Path and query for the upstream, starting with a slash. */
    std::string upstreamTarget{};
};

std::string_view toView(boost::core::string_view text)
{
    return {text.data(), text.size()};
}

bool splitTarget(std::string_view target, split_target &parts)
{
    if (!target.starts_with(queuesPath))
        return false;
    const std::string_view tail = target.substr(queuesPath.size());
    const auto end = std::min(tail.find_first_of("/?"), tail.size());
    parts.queue = tail.substr(0, end);
    parts.upstreamTarget = std::string{tail.substr(end)};
    if (!parts.upstreamTarget.starts_with('/'))
        parts.upstreamTarget.insert(0, 1, '/');
    return !parts.queue.empty();
}

checked_request reject(http::status status, std::string_view kind, std::string detail)
{
    return {problem{status, run_state::not_run, kind, std::move(detail), {}}, {}};
}

std::string_view secretOf(const http_request &message)
{
    const std::string_view value = toView(message[http::field::authorization]);
    return value.starts_with(bearerPrefix) ? value.substr(bearerPrefix.size()) : std::string_view{};
}

/** The request's timeout, the default if it names none, nullopt if the value is invalid. */
std::optional<std::chrono::milliseconds> timeoutOf(const http_request &message,
                                                   const caller_options &options)
{
    const auto found = message.find(timeoutHeader);
    if (found == message.end())
        return options.defaultTimeout;
    const std::string_view text = toView(found->value());
    std::int64_t count = 0;
    const auto [end, failure] = std::from_chars(text.data(), text.data() + text.size(), count);
    const bool whole = failure == std::errc{} && end == text.data() + text.size();
    if (!whole || count < 1 || count > options.maxTimeout.count())
        return std::nullopt;
    return std::chrono::milliseconds{count};
}

bool isIdempotentMethod(http::verb method)
{
    // RFC 9110, section 9.2.2.
    constexpr http::verb methods[]{http::verb::get,   http::verb::head, http::verb::options,
                                   http::verb::trace, http::verb::put,  http::verb::delete_};
    return std::find(std::begin(methods), std::end(methods), method) != std::end(methods);
}

/**
 * The caller's message without hop-by-hop fields (RFC 9110, section 7.6.1), API key and idempotency
 * key.
 */
http_request requestForUpstream(const http_request &message, std::string target)
{
    constexpr http::field removed[]{http::field::authorization,
                                    http::field::connection,
                                    http::field::keep_alive,
                                    http::field::te,
                                    http::field::transfer_encoding,
                                    http::field::upgrade,
                                    http::field::expect,
                                    http::field::proxy_authorization,
                                    http::field::proxy_connection,
                                    http::field::trailer};
    http_request copy{message};
    for (const http::field each : removed)
        copy.erase(each);
    copy.erase(idempotencyKeyHeader);
    copy.target(target);
    copy.keep_alive(true);
    copy.prepare_payload();
    return copy;
}

} // namespace

checked_request checkRequest(const http_request &message, const config_view &config,
                             const caller_options &options, time_point now)
{
    split_target target;
    if (!splitTarget(toView(message.target()), target))
        return reject(http::status::not_found, "unknown-path",
                      "unknown path; requests go to /v1/queues/{queue}");
    const wire::queue *queue = config.findQueue(queue_name{std::string{target.queue}});
    const wire::team *team = config.authenticate(secretOf(message));
    if (!team && (!queue || !queue->open()))
        return reject(http::status::unauthorized, "unknown-key",
                      "a valid key is required as Authorization: Bearer KEY");
    if (!queue)
        return reject(http::status::not_found, "unknown-queue",
                      "there is no queue with this name: " + std::string{target.queue});

    const auto timeout = timeoutOf(message, options);
    if (!timeout)
        return reject(http::status::bad_request, "bad-timeout",
                      "Azurelb-Timeout-Ms must be a whole number from 1 to "
                          + std::to_string(options.maxTimeout.count()));
    const std::string_view key = toView(message[idempotencyKeyHeader]);
    if (key.size() > maxIdempotencyKeyLength)
        return reject(http::status::bad_request, "bad-idempotency-key",
                      "Idempotency-Key is longer than 255 characters");

    checked_request checked;
    checked.request.queue = queue_name{queue->name()};
    checked.request.team = team ? team_name{team->name()} : team_name{};
    checked.request.keyDigest = team ? secretDigest(secretOf(message)) : std::string{};
    checked.request.deadline = now + *timeout;
    checked.request.idempotent = queue->idempotent() || isIdempotentMethod(message.method());
    checked.request.idempotencyKey = std::string{key};
    checked.request.message = requestForUpstream(message, std::move(target.upstreamTarget));
    return checked;
}

} // namespace azurelb
