#pragma once

#include <azurelb/control/fwd.hpp>
#include <azurelb/control/start_reply.hpp>
#include <azurelb/scheduling/executor_report.hpp>
#include <azurelb/scheduling/orders.hpp>

#include <chrono>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>

namespace azurelb {

/** Outcome of a report request. */
enum class report_outcome {
    reported,
    /** The executor has accepted orders from a newer owner. */
    fenced,
    /** Another incarnation of the executor answered. */
    other_incarnation,
    /** No usable answer. */
    no_answer
};

/** Requests a report, renews the lease of all runs and acknowledges ended runs. */
struct report_request
{
    executor_id executor{};
    /** IP:PORT. */
    std::string address{};
    /** Incarnation for which acknowledged and leaseEnd are meant: its start time in Unix
        milliseconds; 0 if unknown. */
    std::int64_t startedUnixMs{0};
    /** Sequence number up to which the executor may discard ended runs. */
    std::int64_t acknowledged{0};
    /** New end of the lease on the executor's clock; unchanged if empty. */
    std::optional<std::chrono::milliseconds> leaseEnd{};
    /** Longest time the executor waits for a run to end before it answers. */
    std::chrono::milliseconds wait{0};
};

/** Answer to a report_request. */
struct executor_reply
{
    report_outcome outcome{report_outcome::no_answer};
    executor_report report{};
    /** The answered request was sent without acknowledgement and lease. */
    bool reduced{false};
};

/**
 * Sends orders to executors, each with the owner's fencing token. Each handler runs exactly once,
 * on the event loop and never inside the call, unless disconnect() drops it. A call without an
 * answer may still be carried out seconds later.
 */
class executor_gateway
{
public:
    using report_handler = std::function<void(executor_reply &&)>;
    using start_handler = std::function<void(start_reply)>;
    using stop_handler = std::function<void(start_outcome)>;
    /** Returns whether an order may still be sent. */
    using send_permission = std::function<bool()>;

    executor_gateway() = default;
    executor_gateway(const executor_gateway &) = delete;
    executor_gateway &operator=(const executor_gateway &) = delete;
    virtual ~executor_gateway() = default;

    /** Sets the fencing token of all later calls. */
    virtual void setToken(std::int64_t token) = 0;

    /** Sends acknowledgement and lease only to the incarnation that the request names. The report
        of another one, which has got neither, is the reply; it comes without a wait. */
    virtual void report(const report_request &request, report_handler done) = 0;
    /** Sends the order only to the incarnation that it names; if another one answers, the outcome
        is start_outcome::restarted. Asks for the permission right before the order is sent; without
        it, the outcome is start_outcome::withheld. */
    virtual void start(const std::string &address, const start_order &order,
                       send_permission maySend, start_handler done) = 0;
    virtual void stop(const std::string &address, const stop_order &order, stop_handler done) = 0;
    virtual void pace(const std::string &address, const cpu_share_order &order,
                      stop_handler done) = 0;

    /** Closes the connections to an executor. Handlers of pending calls are dropped. */
    virtual void disconnect(const executor_id &executor) = 0;
};

} // namespace azurelb
