#pragma once

#include <azurelb/core/service.hpp>
#include <azurelb/store/fwd.hpp>
#include <azurelb/wire/etcd.pb.h>

#include <chrono>

namespace azurelb {

/**
 * The platform's key-value service. Handlers run on the daemon's event loop, exactly once for each
 * call, never inside the call itself.
 */
class store : public service
{
public:
    /** Name of the service in the kernel. */
    static constexpr std::string_view serviceName{"store"};

    [[nodiscard]] std::string_view name() const noexcept final { return serviceName; }

    /**
     * Reads several ranges at one revision, as one call. All reads are linearizable. The request
     * holds range operations under success and nothing else.
     */
    virtual void read(const wire::etcd::txn_request &ranges, std::chrono::milliseconds timeout,
                      store_handler done) = 0;

    /** Commits a transaction. With store_error::unknown its effect must be read back. */
    virtual void commit(const wire::etcd::txn_request &transaction,
                        std::chrono::milliseconds timeout, store_handler done) = 0;
};

} // namespace azurelb
