#pragma once

#include <azurelb/config/document_source.hpp>
#include <azurelb/config/replica_options.hpp>
#include <azurelb/core/fwd.hpp>
#include <azurelb/store/fwd.hpp>

namespace azurelb {

/**
 * Lists audit records, newest first, and deletes old ones together with their markers. A listing
 * reads the last day and goes further back only if that holds too few.
 */
class audit_trail
{
public:
    audit_trail(store &backend, const replica_options &options);

    /** The handler gets at most 1,000 records; unavailable if the store cannot be reached. */
    void read(std::size_t most, wall_time wallNow, document_source::audit_handler done);

    /**
     * Deletes up to fifty records that are past their age, both by the clock given and by the time
     * of the newest record, so that one daemon whose clock runs ahead deletes nothing too early.
     * The handler gets the number, 0 on failure.
     */
    void trim(wall_time wallNow, std::function<void(std::size_t)> done);

private:
    void readWindow(std::size_t most, wall_time wallNow, std::chrono::hours window,
                    const document_source::audit_handler &done);
    void remove(const store_reply &found, const std::function<void(std::size_t)> &done);

    store &m_store;
    replica_options m_options;
};

} // namespace azurelb
