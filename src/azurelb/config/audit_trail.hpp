#pragma once

#include <azurelb/config/document_source.hpp>
#include <azurelb/config/replica_options.hpp>
#include <azurelb/core/fwd.hpp>
#include <azurelb/store/fwd.hpp>

namespace azurelb {

/**
 * Lists audit records, newest first, and deletes expired ones together with the markers of their
 * changes. A listing reads the last day first and widens the time range only if that holds too few
 * records.
 */
class audit_trail
{
public:
    audit_trail(store &backend, const replica_options &options);

    /**
     * Reads the newest records, at most 1,000. The error is unavailable if the store cannot be
     * reached.
     */
    void read(std::size_t most, wall_time wallNow, document_source::audit_handler done);

    /**
     * Deletes up to 50 expired records. A record is expired if it is older than auditRetention by
     * both the given time and the time of the newest record, so that a daemon whose clock runs
     * ahead deletes nothing too early. The handler gets the number of deleted records, 0 on
     * failure.
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
