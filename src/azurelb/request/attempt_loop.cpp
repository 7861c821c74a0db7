#include <azurelb/activity/activity_recorder.hpp>
#include <azurelb/config/document_source.hpp>
#include <azurelb/core/await_callback.hpp>
#include <azurelb/core/clock_source.hpp>
#include <azurelb/http/problem_response.hpp>
#include <azurelb/metrics/metrics.hpp>
#include <azurelb/request/attempt_loop.hpp>
#include <azurelb/request/attempt_policy.hpp>
#include <azurelb/share/slot_service.hpp>
#include <azurelb/upstream/attempt_outcome.hpp>
#include <azurelb/upstream/connection_need.hpp>
#include <azurelb/upstream/connection_pool.hpp>
#include <azurelb/upstream/upstream_connection.hpp>

#include <prometheus/counter.h>

#include <algorithm>
#include <charconv>
#include <iterator>
#include <optional>

namespace azurelb {

namespace asio = boost::asio;
namespace http = boost::beast::http;

namespace {

constexpr std::string_view deadlineField{"Azurelb-Timeout-Ms"};

/**
 * Longest time from a grant to the sending of its request. Together with the longest age of a
 * confirmed view at the grant it bounds how long a change of the fleet can go unnoticed, also by a
 * process that is paused in between.
 */
constexpr std::chrono::milliseconds longestStart{1000};

/** Ends the use of a slot when the attempt ends, also by cancellation. */
class lease_guard
{
public:
    lease_guard(slot_service &slots, lease_id lease) noexcept
        : m_slots{slots}
        , m_lease{lease}
    { }
    lease_guard(const lease_guard &) = delete;
    lease_guard &operator=(const lease_guard &) = delete;
    ~lease_guard() { m_slots.release(m_lease, m_outcome); }

    void set(attempt_outcome outcome) noexcept { m_outcome = outcome; }

private:
    slot_service &m_slots;
    lease_id m_lease;
    attempt_outcome m_outcome{attempt_outcome::cancelled};
};

/** Ends the wait for a slot when the waiting request is cancelled. */
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

/** Gives a connection back when the attempt ends, also by cancellation. */
class connection_guard
{
public:
    connection_guard(connection_pool &pool, upstream_connection_ptr connection) noexcept
        : m_pool{pool}
        , m_connection{std::move(connection)}
    { }
    connection_guard(const connection_guard &) = delete;
    connection_guard &operator=(const connection_guard &) = delete;
    ~connection_guard()
    {
        if (m_connection)
            m_pool.release(std::move(m_connection));
    }

    [[nodiscard]] explicit operator bool() const noexcept { return m_connection != nullptr; }
    [[nodiscard]] upstream_connection *operator->() const noexcept { return m_connection.get(); }

private:
    connection_pool &m_pool;
    upstream_connection_ptr m_connection;
};

/** Counts the use of a slot for the planner. */
class activity_guard
{
public:
    activity_guard(activity_recorder &activity, const clock_source &clock, const queue_name &queue,
                   const vm_id &vm, time_point asked)
        : m_activity{activity}
        , m_clock{clock}
        , m_queue{queue}
        , m_vm{vm}
        , m_started{clock.now()}
    {
        m_activity.start(m_queue, m_vm, m_started - asked);
    }
    activity_guard(const activity_guard &) = delete;
    activity_guard &operator=(const activity_guard &) = delete;
    ~activity_guard() { m_activity.end(m_queue, m_vm, m_clock.now() - m_started); }

private:
    activity_recorder &m_activity;
    const clock_source &m_clock;
    const queue_name &m_queue;
    const vm_id &m_vm;
    time_point m_started;
};

attempt_outcome outcomeOf(const exchange_result &result)
{
    switch (result.state) {
    case attempt_state::withheld:
        return attempt_outcome::cancelled;
    case attempt_state::refused:
        return attempt_outcome::refused;
    case attempt_state::answered: {
        const bool serverFault =
            http::to_status_class(result.response.result()) == http::status_class::server_error;
        return serverFault ? attempt_outcome::failed : attempt_outcome::answered;
    }
    case attempt_state::not_sent:
    case attempt_state::unknown:
        return attempt_outcome::failed;
    }
    return attempt_outcome::failed;
}

struct refusal_entry
{
    slot_refusal refusal;
    http::status status;
    std::string_view kind;
    std::string_view detail;
};

constexpr refusal_entry refusals[]{
    {slot_refusal::full, http::status::too_many_requests, "queue-full",
     "too many requests of this team wait already"},
    {slot_refusal::late, http::status::service_unavailable, "deadline",
     "the request cannot be served before its deadline"},
    {slot_refusal::unconfirmed, http::status::service_unavailable, "unconfirmed",
     "this daemon cannot prove its view of the fleet recent enough to start work"},
    {slot_refusal::no_upstream, http::status::service_unavailable, "no-upstream",
     "the queue has no upstream that may take work"},
    {slot_refusal::stopping, http::status::service_unavailable, "stopping",
     "this daemon is shutting down"},
};

attempt_end refusedBySlots(const slot_grant &grant)
{
    for (const refusal_entry &each : refusals) {
        if (each.refusal == grant.refusal)
            return {run_state::not_run, false,
                    problemResponse({each.status, run_state::not_run, each.kind,
                                     std::string{each.detail}, grant.retryAfter})};
    }
    return {run_state::not_run, false, problemResponse({})};
}

attempt_end givenUp(const exchange_result &last)
{
    const bool notRun = last.state != attempt_state::unknown;
    const run_state run = notRun ? run_state::not_run : run_state::unknown;
    const auto status = notRun ? http::status::service_unavailable : http::status::bad_gateway;
    constexpr std::chrono::seconds pause{1};
    const auto retryAfter = notRun ? pause : std::chrono::seconds{0};
    const std::string_view kind = notRun ? "upstream-unavailable" : "upstream-answer";
    return {run, false, problemResponse({status, run, kind, last.detail, retryAfter})};
}

} // namespace

attempt_loop::attempt_loop(asio::io_context &loop, const clock_source &clock, slot_service &slots,
                           connection_pool &connections, activity_recorder &activity,
                           const document_source &documents, metrics &counters)
    : m_loop{loop}
    , m_clock{clock}
    , m_slots{slots}
    , m_connections{connections}
    , m_activity{activity}
    , m_documents{documents}
    , m_random{std::random_device{}()}
    , m_retriesRefused{counters.counter("azurelb_retries_refused_total",
                                        "Retries not made because the budget was spent")}
{
    constexpr std::string_view states[]{"not_sent", "withheld", "refused", "answered", "unknown"};
    for (std::size_t index = 0; index < std::size(states); ++index)
        m_attempts[index] = &counters.counter("azurelb_attempts_total", "Attempts by their end",
                                              {{"state", std::string{states[index]}}});
}

asio::awaitable<attempt_end> attempt_loop::run(const caller_request &request)
{
    slot_request wanted{request.queue, request.team, request.deadline, {}};
    m_budgets[request.queue].deposit();
    m_activity.arrive(request.queue);
    for (unsigned attempts = 1;; ++attempts) {
        const time_point asked = m_clock.now();
        const auto [grant, startBy] = co_await awaitSlot(wanted);
        if (grant.refusal != slot_refusal::none)
            co_return refusedBySlots(grant);
        lease_guard lease{m_slots, grant.lease};
        const activity_guard counted{m_activity, m_clock, request.queue, grant.upstream.vm, asked};
        exchange_result ended = co_await attempt(request, grant.upstream, startBy);
        lease.set(outcomeOf(ended));
        count(ended.state);
        if (ended.state == attempt_state::answered)
            co_return attempt_end{run_state::ran, true, std::move(ended.response)};
        if (!mayRetry(request, ended, attempts))
            co_return givenUp(ended);
        if (ended.state != attempt_state::withheld)
            wanted.avoid.insert(grant.upstream.vm);
    }
}

asio::awaitable<attempt_loop::timed_grant> attempt_loop::awaitSlot(const slot_request &wanted)
{
    std::optional<ticket_guard> waiting;
    const auto grant = co_await awaitCallback<timed_grant>(m_loop, [&](auto done) {
        const auto granted = [&clock = m_clock, done](const slot_grant &given) {
            done(timed_grant{given, clock.now() + longestStart});
        };
        waiting.emplace(m_slots, m_slots.request(wanted, granted));
    });
    if (!grant)
        throw boost::system::system_error{asio::error::operation_aborted};
    co_return *grant;
}

asio::awaitable<exchange_result> attempt_loop::attempt(const caller_request &request,
                                                       const upstream_vm &upstream,
                                                       time_point startBy)
{
    const auto need = request.idempotent ? connection_need::any : connection_need::proved;
    const connection_guard connection{m_connections,
                                      co_await m_connections.acquire(upstream.address, need)};
    if (!connection)
        co_return exchange_result{attempt_state::not_sent, {}, "no connection to the upstream"};
    if (!maySend(request, startBy))
        co_return exchange_result{attempt_state::withheld, {}, "the request was not sent in time"};
    co_return co_await connection->exchange(messageFor(request), request.deadline);
}

bool attempt_loop::maySend(const caller_request &request, time_point startBy) const
{
    const time_point now = m_clock.now();
    return now < request.deadline && now <= startBy && m_documents.isConfirmed();
}

bool attempt_loop::mayRetry(const caller_request &request, const exchange_result &ended,
                            unsigned attempts)
{
    if (!isRetryable(ended.state, {request.idempotent, attempts}))
        return false;
    if (m_clock.now() >= request.deadline)
        return false;
    if (!needsBudget(ended.state) || m_budgets[request.queue].withdraw())
        return true;
    m_retriesRefused.Increment();
    return false;
}

http_request attempt_loop::messageFor(const caller_request &request)
{
    constexpr int hexadecimal = 16;
    char id[2 * sizeof(std::uint64_t)];
    const auto end = std::to_chars(std::begin(id), std::end(id), m_random(), hexadecimal).ptr;
    const auto left =
        std::chrono::duration_cast<std::chrono::milliseconds>(request.deadline - m_clock.now());
    http_request message{request.message};
    // Its own id for each attempt, so that an answer to another one is recognised.
    message.set("X-Request-Id", std::string_view{id, static_cast<std::size_t>(end - id)});
    message.set(deadlineField, std::to_string(std::max<std::int64_t>(left.count(), 1)));
    return message;
}

void attempt_loop::count(attempt_state state)
{
    m_attempts[static_cast<std::size_t>(state)]->Increment();
}

} // namespace azurelb
