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
    /** True if its last calls to the store have failed. */
    bool storeUnreachable{};
};

/**
 * Decides when this daemon reads the store. Two of the fresh members, selected by rendezvous
 * hashing, read at a fixed period on behalf of all, whatever the number of members. A daemon whose
 * reads fail is replaced by another and retries at a period proportional to the number of members,
 * so that the total call rate does not depend on the size of the cluster. Performs no I/O and reads
 * no clock; callers pass the time.
 */
class poll_schedule
{
public:
    poll_schedule(vm_id self, const replica_options &options, incarnation seed, time_point now);

    /**
     * True if a read is due. The candidates are the fresh members, this one included;
     * staysConfirmed is false if the confirmation of the documents expires within one read period.
     */
    [[nodiscard]] bool isReadDue(const std::vector<poll_candidate> &candidates, bool staysConfirmed,
                                 time_point now);

    void onReadSent(time_point now);
    void onReadFinished(bool succeeded);

    /** True after several consecutive failures. */
    [[nodiscard]] bool isStoreUnreachable() const noexcept;

    /** True if this daemon is one of the readers selected among the candidates. */
    [[nodiscard]] bool isStoreReader(const std::vector<poll_candidate> &candidates) const;

private:
    [[nodiscard]] duration period(std::size_t members, bool reader, bool unconfirmed) const;

    vm_id m_self;
    replica_options m_options;
    std::minstd_rand m_random;
    time_point m_lastSentAt;
    /** Random factor of the jitter that delays the next read, between 0 and 1. */
    double m_jitter{0};
    unsigned m_failures{0};
    bool m_inFlight{false};
};

} // namespace azurelb
