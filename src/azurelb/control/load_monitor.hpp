#pragma once

#include <azurelb/core/boot_clock.hpp>

#include <chrono>

namespace azurelb {

/**
 * Detects that an owner is overloaded: its event loop runs, but it processes events so late that
 * its inputs are outdated while the store answers, or its timers expire late again and again. A
 * single long pause is no overload.
 */
class load_monitor
{
public:
    struct options
    {
        /** Interval at which recordTick() is due. */
        std::chrono::milliseconds tickInterval{50};
        /** Lateness from which a tick counts as late. */
        std::chrono::milliseconds lateAfter{250};
        /** Consecutive ticks that are late or blocked at which the owner counts as overloaded. */
        unsigned maxBadTicks{15};
    };

    explicit load_monitor(const options &with)
        : m_options{with}
    { }

    /**
     * Records a tick of the event loop. blocked says whether orders wait for an input that is
     * outdated although the store answers.
     */
    void recordTick(bool blocked, boot_time now);

    [[nodiscard]] bool isOverloaded() const noexcept { return m_badTicks >= m_options.maxBadTicks; }

    /** Returns the greatest lateness of a tick since the last call. */
    [[nodiscard]] std::chrono::milliseconds takeMaxDelay() noexcept;

private:
    options m_options;
    boot_time m_lastTick{};
    std::chrono::milliseconds m_maxDelay{0};
    unsigned m_badTicks{0};
};

} // namespace azurelb
