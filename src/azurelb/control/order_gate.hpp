#pragma once

#include <azurelb/core/boot_clock.hpp>
#include <azurelb/keyspace/read_state.hpp>

#include <array>
#include <chrono>
#include <functional>
#include <optional>
#include <string_view>

namespace azurelb {

/** Orders of an owner, by the inputs that they depend on. */
enum class order_kind {
    /** Starts a run. */
    start,
    /** Renews the lease of runs, or requests a report. */
    renewal,
    /** Stops a run or limits its processor time. */
    stop,
    /** Moves a VM or begins its maintenance. */
    vm
};

/** What an order depends on. */
enum class order_input {
    /** The owner's lease in the store. */
    lease,
    /** Jobs and their cancellations. */
    jobs,
    /** Registrations of executors and whether they drain. */
    executors,
    /** Operators' documents: the configuration, evacuated zones and waves. */
    operators
};

inline constexpr std::array allOrderInputs{order_input::lease, order_input::jobs,
                                           order_input::executors, order_input::operators};

[[nodiscard]] std::string_view toString(order_input input) noexcept;

/**
 * Returns how long a watch of an input may wait for a change if the input is to stay usable up to
 * the age. An answer confirms the input as of its request, so that the age reaches twice the wait.
 */
[[nodiscard]] std::chrono::milliseconds watchWaitFor(std::chrono::milliseconds maxAge) noexcept;

/**
 * Decides whether the inputs of an order are recent enough for it to be sent. Every order is
 * checked when it is decided and again right before it is sent, because the event loop may be held
 * up in between: by a suspended VM, by lack of processor time or by a connection that is not free.
 *
 * An input that is too old is still used while reads of the store fail, as nothing can be changed
 * in a store that is down. Any answer of the store that arrives later shows that it works, so that
 * the input must be recent; for the lease, another daemon may be the owner by then. The same holds
 * after the event loop was held up: only reads that were sent afterwards show whether the store
 * works.
 */
class order_gate
{
public:
    struct options
    {
        /** Time after its last confirmed renewal during which an owner gives orders. */
        std::chrono::milliseconds maxTimeSinceRenewal{6000};
        /** The same for orders for VMs. */
        std::chrono::milliseconds maxTimeSinceRenewalForVms{1500};
        /** Greatest age of each input while the store works. */
        std::chrono::milliseconds leaseAge{1500};
        std::chrono::milliseconds jobsAge{2500};
        std::chrono::milliseconds executorsAge{1500};
        std::chrono::milliseconds operatorsAge{1500};
        /** Time without recordActivity() after which the event loop counts as held up. */
        std::chrono::milliseconds stallThreshold{500};
    };

    using state_source = std::function<read_state()>;

    /** Sources of the state of the inputs. All members must be set. */
    struct sources
    {
        state_source lease{};
        state_source jobs{};
        state_source executors{};
        state_source operators{};
    };

    order_gate(const options &with, sources from, boot_time now);

    /** Call at least every stallThreshold while the event loop runs. */
    void recordActivity(boot_time now);

    /** Returns the input that is too old for the order; nullopt if the order may be sent. */
    [[nodiscard]] std::optional<order_input> findOutdatedInput(order_kind kind, boot_time now);

    [[nodiscard]] bool permits(order_kind kind, boot_time now)
    {
        return !findOutdatedInput(kind, now);
    }

    /** Returns the age of the input. */
    [[nodiscard]] std::chrono::milliseconds ageOf(order_input input, boot_time now) const;

    /** Returns whether the latest read of the input failed, so that the store may be down. */
    [[nodiscard]] bool isFailing(order_input input) const;

    /** Returns when the event loop was last found to have been held up. */
    [[nodiscard]] boot_time resumedAt() const noexcept { return m_resumedAt; }

private:
    [[nodiscard]] read_state stateOf(order_input input) const;
    [[nodiscard]] bool isUsable(order_input input, boot_time now) const;
    /** Returns when the store last answered. */
    [[nodiscard]] boot_time storeAnsweredAt() const;

    options m_options;
    sources m_sources;
    boot_time m_activeAt;
    boot_time m_resumedAt{};
};

} // namespace azurelb
