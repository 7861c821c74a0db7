#pragma once

#include <azurelb/core/service.hpp>
#include <azurelb/store/fwd.hpp>
#include <azurelb/wire/etcd.pb.h>

#include <chrono>

namespace azurelb {

/**
 * Client of the platform's key-value store. Each handler runs exactly once, on the daemon's event
 * loop and never inside the call itself.
 */
class store : public service
{
public:
    /** Name of the service in the kernel. */
    static constexpr std::string_view serviceName{"store"};

    [[nodiscard]] std::string_view name() const noexcept final { return serviceName; }

    /**
     * Reads several ranges at one revision in one call. All reads are linearizable. The request
     * contains range operations under success and nothing else.
     */
    virtual void read(const wire::etcd::txn_request &ranges, std::chrono::milliseconds timeout,
                      store_handler done) = 0;

    /**
     * Commits a transaction. After store_error::unknown its effect must be determined by reading.
     */
    virtual void commit(const wire::etcd::txn_request &transaction,
                        std::chrono::milliseconds timeout, store_handler done) = 0;
};

} // namespace azurelb
