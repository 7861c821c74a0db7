#pragma once

#include <azurelb/admission/drain_forecast.hpp>
#include <azurelb/capacity/burst_predictor.hpp>
#include <azurelb/capacity/pool_planner.hpp>
#include <azurelb/capacity/wave_planner.hpp>
#include <azurelb/catalogue/pool_entry.hpp>
#include <azurelb/catalogue/wave_entry.hpp>
#include <azurelb/control/vm_service.hpp>
#include <azurelb/core/boot_clock.hpp>
#include <azurelb/scheduling/fwd.hpp>

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

namespace azurelb {

struct desired_state;

/**
 * Plans and orders moves of VMs between pools and maintenance waves. It gives orders only for VMs
 * whose executor has no runs, so that no run is interrupted, and resolves orders of unknown outcome
 * from the platform's list of VMs.
 */
class vm_manager
{
public:
    /** Planner options and times that depend on the deployment. */
    struct options
    {
        pool_planner_options pools{};
        wave_options waves{};
        /** Time after the owner's start without orders, as an earlier owner may have given some. */
        std::chrono::milliseconds vmLease{3000};
        /** Usual duration of a move. */
        std::chrono::milliseconds moveTime{1500};
    };

    /** Time after the first arrival of work in which no VM moves to the standby pool: the first
       burst usually begins with the traffic. */
    static constexpr std::chrono::milliseconds firstBurstTime{4000};

    /** Called whenever a wave has advanced. */
    using wave_handler = std::function<void(const wave_entry &, const wave_progress &)>;
    using lost_handler = std::function<void(std::string_view reason)>;
    using order_permission = std::function<bool()>;

    /** @param mayOrder  returns whether the owner's lease is confirmed within its term */
    vm_manager(boost::asio::io_context &loop, vm_service &service, scheduler &runs,
               const options &with, order_permission mayOrder, wave_handler onWave,
               lost_handler onLost);

    void start();
    void apply(const desired_state &desired);

    /** Restores the progress of a wave that an earlier owner has stored; the number 0 stands for a
        damaged value. */
    void restore(const numbered_wave_progress &stored);

    /** Records that work, in core-milliseconds, arrived for a pool. An owner also records the work
        that arrived before its election, so that it expects the bursts that follow. */
    void noteArrival(const std::string &pool, double work, boot_time at);

    /** Returns the work of the pools that are not on standby, and the cores that they have or can
        get. While the platform's list can't be read, no VM is expected to arrive. */
    [[nodiscard]] std::vector<pool_room>
    poolRooms(const std::unordered_map<std::string, pool_load> &loads) const;

    /** Schedules another report of a wave's progress after a report had no effect. */
    void reportAgain(std::int64_t wave);

private:
    /** An order whose effect the platform's list does not show yet. */
    struct pending_order
    {
        std::string pool{};
        executor_id executor{};
        boot_time orderedAt{};
        /** The platform has confirmed the order. */
        bool answered{false};
        /** 0 for a move. */
        std::int64_t wave{0};
        /** An earlier order may have been carried out already. The platform then confirms this one
            although it ends no executor. */
        bool mayBeRepeated{false};
    };

    /** Work that the predictor does not have yet. */
    struct arrival
    {
        std::string pool{};
        double coreMs{0};
        boot_time at{};
    };

    void tick();
    /** Applies another request under the number of a known wave. Maintenance that is finished
       counts for it too. */
    void changeWave(wave_entry &wave, const wave_entry &requested);
    void shareDeadline(std::int64_t number);
    void recordArrivals();
    void readList();
    void handleList(vm_listing &&listing);
    void settle(const vm_entry &vm);
    /** Returns whether the list would show an effect of the order by now, if it had any. */
    [[nodiscard]] bool isOverdue(const pending_order &order) const;
    /** Ends the wait for an order. */
    void finishOrder(const std::string &vm, const pending_order &order);
    /** Ends the wait for orders of VMs that have left the fleet: their places in a wave, and in the
        pool that they were to join, are free. */
    void dropOrdersOfDepartedVms();
    /** Ends the executor of a VM whose maintenance has begun, once the list shows that. */
    void endMaintainedExecutor(const vm_entry &vm, const pending_order &order);
    void endReplacedExecutors(boot_time now);
    [[nodiscard]] bool isOlderThanList(const executor_entry &executor) const;
    void plan();
    void planWaves(const fleet_snapshot &fleet, boot_time now);
    void vacateReserved(const std::vector<vm_view> &vms, boot_time now);
    /** Marks the executors whose VM still awaits maintenance in a wave. The steps that they run are
        known to the plan only then. */
    void markMaintenanceDue();
    void planPools(const std::vector<vm_view> &vms, boot_time now);
    [[nodiscard]] std::size_t vmsToKeepActive(const std::vector<planned_pool> &pools,
                                              const std::vector<vm_view> &vms, boot_time now) const;
    [[nodiscard]] std::size_t countArrivingVms(const std::string &pool) const;
    [[nodiscard]] std::vector<vm_view> makeViews() const;
    void reserve(const std::string &vm, bool reserved);
    void maintain(const std::string &vm, std::int64_t wave);
    void move(const std::string &vm, const std::string &pool);
    [[nodiscard]] vm_service::send_permission sendPermission() const;
    void handleOrderOutcome(const std::string &vm, vm_order_outcome outcome);
    [[nodiscard]] bool earlierOrdersExpired(const executor_entry *executor, boot_time now) const;
    [[nodiscard]] bool isStandby(const std::string &pool) const;
    [[nodiscard]] const vm_entry *find(const std::string &vm) const;

    vm_service &m_service;
    scheduler &m_scheduler;
    options m_options;
    order_permission m_mayOrder;
    wave_handler m_onWave;
    lost_handler m_onLost;
    boost::asio::steady_timer m_timer;
    boot_time m_startedAt{};
    boot_time m_listAskedAt{};
    boot_time m_listedAt{};
    bool m_listPending{false};
    bool m_listFailed{false};
    /** Last list of the platform, sorted by VM name. */
    std::vector<vm_entry> m_vms{};
    /** That list shows the VMs as they were at this time or later. */
    boot_time m_vmsShownAt{};
    std::unordered_map<std::string, pending_order> m_orders{};
    std::map<std::int64_t, wave_entry> m_waves{};
    std::map<std::int64_t, wave_progress> m_progress{};
    /** Waves that an earlier owner may have begun. */
    std::set<std::int64_t> m_inheritedWaves{};
    /** VMs whose maintenance was refused, and when it may be ordered again. */
    std::map<std::string, boot_time> m_refusedMaintenance{};
    /** VMs whose maintenance was ordered without an answer. */
    std::set<std::string> m_unansweredMaintenance{};
    /** Waves whose progress has yet to be reported. */
    std::set<std::int64_t> m_unreported{};
    std::vector<pool_entry> m_pools{};
    burst_predictor m_predictor{{}};
    std::vector<arrival> m_arrivals{};
    /** When short work first arrived. Before that no VM leaves its pool, and idle times count from
        it, so that the pools are full when the first burst begins. */
    std::optional<boot_time> m_firstArrivalAt{};
    std::set<std::string> m_evacuatedZones{};
    /** Moves that the platform refused; keys as made by moveKey(). */
    std::set<std::string> m_refusedMoves{};
    std::shared_ptr<bool> m_alive{std::make_shared<bool>(true)};
};

} // namespace azurelb
