#pragma once

#include <azurelb/control/fwd.hpp>
#include <azurelb/scheduling/executor_report.hpp>
#include <azurelb/scheduling/orders.hpp>
#include <azurelb/scheduling/start_outcome.hpp>

#include <chrono>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>

namespace azurelb {

/** How a request for a report ended. */
enum class report_outcome {
    reported,
    /** A newer owner has ordered on the executor. */
    fenced,
    /** Another life of the executor answered. */
    other_incarnation,
    /** No usable answer. */
    no_answer
};

/** Asks for a report, renews the lease of all runs and acknowledges ends. */
struct report_request
{
    executor_id executor{};
    /** IP:PORT. */
    std::string address{};
    /** Ends up to this number may be forgotten. */
    std::int64_t acknowledged{0};
    /** New end of the lease by the executor's clock; nothing leaves it as it is. */
    std::optional<std::chrono::milliseconds> leaseEnd{};
    /** The answer waits this long for an end. */
    std::chrono::milliseconds wait{0};
};

/** Answer to a report_request. */
struct executor_reply
{
    report_outcome outcome{report_outcome::no_answer};
    executor_report report{};
};

/**
 * Orders to executors, each under the owner's fencing token. Handlers run on the event loop,
 * once, never inside the call. A call without an answer may be carried out seconds later.
 */
class executor_gateway
{
public:
    using report_handler = std::function<void(executor_reply &&)>;
    using start_handler = std::function<void(start_outcome)>;
    using stop_handler = std::function<void(start_outcome)>;

    executor_gateway() = default;
    executor_gateway(const executor_gateway &) = delete;
    executor_gateway &operator=(const executor_gateway &) = delete;
    virtual ~executor_gateway() = default;

    /** Fencing token of all later calls. */
    virtual void setToken(std::int64_t token) = 0;

    virtual void report(const report_request &request, report_handler done) = 0;
    virtual void start(const std::string &address, const start_order &order,
                       start_handler done) = 0;
    virtual void stop(const std::string &address, const stop_order &order, stop_handler done) = 0;
    virtual void pace(const std::string &address, const pace_order &order, stop_handler done) = 0;

    /** Closes the connections to an executor. Handlers of calls under way are dropped. */
    virtual void disconnect(const executor_id &executor) = 0;
};

} // namespace azurelb
