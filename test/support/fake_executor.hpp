#pragma once

#include <azurelb/core/boot_clock.hpp>
#include <azurelb/scheduling/executor_registration.hpp>
#include <azurelb/scheduling/executor_report.hpp>
#include <azurelb/scheduling/orders.hpp>
#include <azurelb/scheduling/start_outcome.hpp>

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace azurelb::test {

/** Duration and result of a simulated run. */
struct run_plan
{
    std::chrono::milliseconds duration{800};
    run_end end{run_end::done};
};

/** In-memory executor with fencing tokens, leases on its own clock and a list of ended runs. */
class fake_executor
{
public:
    struct active_run
    {
        run_number run{0};
        boot_time startedAt{};
        run_plan plan{};
    };

    fake_executor(const executor_registration &info, double clockRate, boot_time now);

    [[nodiscard]] start_outcome start(const start_order &order, std::int64_t token,
                                      const run_plan &plan, boot_time now);
    [[nodiscard]] start_outcome stop(const stop_order &order, std::int64_t token, boot_time now);
    /** Renews the lease, drops acknowledged ends and reports; no value if the token is outdated. */
    [[nodiscard]] std::optional<executor_report>
    hold(std::int64_t token, std::int64_t acknowledged,
         std::optional<std::chrono::milliseconds> leaseEnd, boot_time now);

    /** Ends the runs that are finished or whose lease has expired. */
    void advance(boot_time now);

    /** Simulates a crash: drops all state and restarts under the same identifier. */
    void crash(boot_time now);

    /** Number of ended runs in one report. */
    std::size_t listedEnds{500};
    /** Longest lease that it grants. */
    std::chrono::milliseconds maxLease{6000};

    [[nodiscard]] const executor_registration &info() const noexcept { return m_info; }
    [[nodiscard]] const std::map<task_id, active_run> &running() const noexcept
    {
        return m_running;
    }
    /** Ended runs that have not been acknowledged. */
    [[nodiscard]] const std::vector<ended_run> &ended() const noexcept { return m_ended; }
    /** Number of the present incarnation's latest ended run. */
    [[nodiscard]] std::int64_t lastSequence() const noexcept { return m_sequence; }
    [[nodiscard]] std::chrono::milliseconds clock(boot_time now) const;
    /** Returns and clears the ended runs that were acknowledged since the last call, apart from
       those that ended before a lease expired: their acknowledgement does not count. */
    [[nodiscard]] std::vector<ended_run> takeAcknowledged();

private:
    void end(const task_id &task, run_end how, boot_time now);
    void extendLease(std::chrono::milliseconds leaseEnd, boot_time now);

    executor_registration m_info;
    double m_clockRate;
    boot_time m_clockStart;
    std::chrono::milliseconds m_clockBase{std::chrono::hours{24}};
    std::int64_t m_token{0};
    std::chrono::milliseconds m_leaseEnd{0};
    std::int64_t m_sequence{0};
    std::map<task_id, active_run> m_running{};
    std::map<task_id, run_number> m_highestEnded{};
    std::vector<ended_run> m_ended{};
    std::map<std::int64_t, boot_time> m_endTimes{};
    /** When a lease last expired. */
    boot_time m_leaseExpiredAt{};
    bool m_leaseHeld{false};
    std::vector<ended_run> m_acknowledged{};
};

} // namespace azurelb::test
