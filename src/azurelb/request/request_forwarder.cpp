#include <azurelb/activity/activity_recorder.hpp>
#include <azurelb/core/await_callback.hpp>
#include <azurelb/core/clock_source.hpp>
#include <azurelb/http/problem_response.hpp>
#include <azurelb/metrics/metrics.hpp>
#include <azurelb/request/request_forwarder.hpp>
#include <azurelb/request/retry_policy.hpp>
#include <azurelb/request/running_attempt.hpp>
#include <azurelb/share/slot_service.hpp>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <prometheus/counter.h>

#include <charconv>
#include <iterator>
#include <optional>

namespace azurelb {

namespace asio = boost::asio;
namespace http = boost::beast::http;

namespace {

/**
 * Maximum time from the grant of a slot to sending the request. Together with the maximum age of a
 * confirmed view at the grant it bounds how long a change of the fleet can go unnoticed, also by a
 * process that is paused in between.
 */
constexpr std::chrono::milliseconds maxSendDelay{1000};

/** Cancels the ticket on destruction, so that a cancelled request no longer waits for a slot. */
class ticket_guard
{
public:
    ticket_guard(slot_service &slots, ticket_id ticket) noexcept
        : m_slots{slots}
        , m_ticket{ticket}
    { }
    ticket_guard(const ticket_guard &) = delete;
    ticket_guard &operator=(const ticket_guard &) = delete;
    ~ticket_guard() { m_slots.cancel(m_ticket); }

private:
    slot_service &m_slots;
    ticket_id m_ticket;
};

/** Abandons the attempt on destruction; has no effect if the attempt has ended. */
class abandon_guard
{
public:
    explicit abandon_guard(running_attempt &attempt) noexcept
        : m_attempt{attempt}
    { }
    abandon_guard(const abandon_guard &) = delete;
    abandon_guard &operator=(const abandon_guard &) = delete;
    ~abandon_guard() { m_attempt.abandon(); }

private:
    running_attempt &m_attempt;
};

struct refusal_entry
{
    slot_refusal refusal;
    http::status status;
    std::string_view kind;
    std::string_view detail;
};

constexpr refusal_entry refusals[]{
    {slot_refusal::full, http::status::too_many_requests, "queue-full",
     "too many requests of this team are already waiting"},
    {slot_refusal::late, http::status::service_unavailable, "deadline",
     "the request cannot be served before its deadline"},
    {slot_refusal::unconfirmed, http::status::service_unavailable, "unconfirmed",
     "this daemon cannot confirm that its view of the fleet is recent enough to start work"},
    {slot_refusal::no_upstream, http::status::service_unavailable, "no-upstream",
     "the queue has no eligible upstream"},
    {slot_refusal::stopping, http::status::service_unavailable, "stopping",
     "this daemon is shutting down"},
};

request_result refusalResult(const slot_grant &grant)
{
    for (const refusal_entry &each : refusals) {
        if (each.refusal == grant.refusal)
            return {run_state::not_run, false,
                    problemResponse({each.status, run_state::not_run, each.kind,
                                     std::string{each.detail}, grant.retryAfter})};
    }
    return {run_state::not_run, false, problemResponse({})};
}

request_result failureResult(const exchange_result &last)
{
    const bool notRun = last.state != attempt_state::unknown;
    const run_state run = notRun ? run_state::not_run : run_state::unknown;
    const auto status = notRun ? http::status::service_unavailable : http::status::bad_gateway;
    constexpr std::chrono::seconds retryDelay{1};
    const auto retryAfter = notRun ? retryDelay : std::chrono::seconds{0};
    const std::string_view kind = notRun ? "upstream-unavailable" : "upstream-answer";
    return {run, false, problemResponse({status, run, kind, last.detail, retryAfter})};
}

} // namespace

request_forwarder::request_forwarder(const attempt_services &services, metrics &counters)
    : m_services{services}
    , m_random{std::random_device{}()}
    , m_retriesRefused{counters.counter("azurelb_retries_refused_total",
                                        "Retries not made because the retry budget was exhausted")}
{
    constexpr std::string_view states[]{"not_sent", "withheld", "refused", "answered", "unknown"};
    for (std::size_t index = 0; index < std::size(states); ++index)
        m_attemptsByState[index] =
            &counters.counter("azurelb_attempts_total", "Attempts by final state",
                              {{"state", std::string{states[index]}}});
}

asio::awaitable<request_result> request_forwarder::forward(const caller_request &request)
{
    slot_request wanted{request.queue, request.team, request.deadline, {}};
    m_budgets[request.queue].deposit();
    m_services.activity.recordArrival(request.queue);
    for (unsigned attempts = 1;; ++attempts) {
        const timed_grant granted = co_await awaitSlot(wanted);
        if (granted.grant.refusal != slot_refusal::none)
            co_return refusalResult(granted.grant);
        exchange_result result = co_await runAttempt(request, granted);
        countAttempt(result.state);
        if (result.state == attempt_state::answered)
            co_return request_result{run_state::ran, true, std::move(result.response)};
        if (!mayRetry(request, result, attempts))
            co_return failureResult(result);
        if (result.state != attempt_state::withheld)
            wanted.avoid.insert(granted.grant.upstream.vm);
    }
}

asio::awaitable<request_forwarder::timed_grant>
request_forwarder::awaitSlot(const slot_request &wanted)
{
    std::optional<ticket_guard> waiting;
    const time_point requestedAt = m_services.clock.now();
    const auto granted = co_await awaitCallback<timed_grant>(m_services.loop, [&](auto done) {
        const auto handler = [&clock = m_services.clock, requestedAt,
                              done](const slot_grant &grant) {
            const time_point now = clock.now();
            done(timed_grant{grant, now - requestedAt, now + maxSendDelay});
        };
        waiting.emplace(m_services.slots, m_services.slots.request(wanted, handler));
    });
    if (!granted)
        throw boost::system::system_error{asio::error::operation_aborted};
    co_return *granted;
}

asio::awaitable<exchange_result> request_forwarder::runAttempt(const caller_request &request,
                                                               const timed_grant &granted)
{
    const auto running = std::make_shared<running_attempt>(m_services, request, granted.grant,
                                                           granted.waitTime, granted.sendDeadline);
    const abandon_guard abandonGuard{*running};
    asio::co_spawn(m_services.loop, running->execute(nextAttemptId()), asio::detached);
    co_return co_await running->wait();
}

std::string request_forwarder::nextAttemptId()
{
    constexpr int hexadecimal = 16;
    char id[2 * sizeof(std::uint64_t)];
    const auto end = std::to_chars(std::begin(id), std::end(id), m_random(), hexadecimal).ptr;
    return {id, static_cast<std::size_t>(end - id)};
}

bool request_forwarder::mayRetry(const caller_request &request, const exchange_result &result,
                                 unsigned attempts)
{
    if (!isRetryable(result.state, {request.idempotent, attempts}))
        return false;
    if (m_services.clock.now() >= request.deadline)
        return false;
    if (!needsBudget(result.state) || m_budgets[request.queue].withdraw())
        return true;
    m_retriesRefused.Increment();
    return false;
}

void request_forwarder::countAttempt(attempt_state state)
{
    m_attemptsByState[static_cast<std::size_t>(state)]->Increment();
}

} // namespace azurelb
