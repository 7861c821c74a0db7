#pragma once

#include <azurelb/config/replica_options.hpp>
#include <azurelb/core/identifier.hpp>

#include <random>
#include <vector>

namespace azurelb {

/** A daemon that may read the store for the others. */
struct poll_candidate
{
    vm_id vm{};
    /** Its last calls to the store have failed. */
    bool storeUnreachable{};
};

/**
 * Decides when this daemon reads the store. Two readers among the fresh members do so at a fixed
 * period, whatever their number. A daemon whose calls fail gives the task to others and tries
 * again at a period that grows with the number of members, so that the calls of all stay the same.
 * It reads no clock and sends nothing.
 */
class poll_schedule
{
public:
    poll_schedule(vm_id self, const replica_options &options, incarnation seed, time_point now);

    /** True if a read is to be sent now. The candidates are the fresh members, this one included.
     */
    [[nodiscard]] bool isReadDue(const std::vector<poll_candidate> &candidates, bool staysConfirmed,
                                 time_point now);

    void onReadSent(time_point now);
    void onReadFinished(bool succeeded);

    /** True after several failures in a row. */
    [[nodiscard]] bool isStoreUnreachable() const noexcept;

    /** True if this daemon is one of the readers that the candidates give. */
    [[nodiscard]] bool isStoreReader(const std::vector<poll_candidate> &candidates) const;

private:
    [[nodiscard]] duration period(std::size_t members, bool reader, bool unconfirmed) const;

    vm_id m_self;
    replica_options m_options;
    std::minstd_rand m_random;
    time_point m_lastSentAt;
    /** Part of a period by which the next read is put off, between 0 and 1. */
    double m_jitter{0};
    unsigned m_failures{0};
    bool m_inFlight{false};
};

} // namespace azurelb
