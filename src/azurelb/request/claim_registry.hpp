#pragma once

#include <azurelb/core/fwd.hpp>
#include <azurelb/http/message.hpp>
#include <azurelb/request/claim_result.hpp>
#include <azurelb/request/fwd.hpp>
#include <azurelb/store/fwd.hpp>
#include <azurelb/store/store_reply.hpp>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>

#include <random>
#include <string>

namespace azurelb {

/**
 * Registry of idempotency keys in the store. A key is claimed before its request is sent, so that
 * no other daemon sends the request too; the response is added afterwards. Claims are kept for at
 * least 24 hours. Each day has its own key prefix, so that all claims of a day are deleted in one
 * operation.
 */
class claim_registry
{
public:
    /**
     * Maximum body size of a stored response. Larger bodies are not stored; the response
     * to a repeated request then states only that the first one ran.
     */
    static constexpr std::size_t maxStoredBodyBytes = 64 * 1024;

    claim_registry(boost::asio::io_context &loop, const clock_source &clock, store &keyValueStore);
    claim_registry(const claim_registry &) = delete;
    claim_registry &operator=(const claim_registry &) = delete;

    /**
     * Claims the request's idempotency key. If the store's reply is lost, the claim is repeated,
     * which finds the record if it was written.
     */
    [[nodiscard]] boost::asio::awaitable<claim_result> claim(const caller_request &request);

    /** Stores the response in a claim made by this registry. */
    [[nodiscard]] boost::asio::awaitable<void> complete(const claim_result &ownClaim,
                                                        const http_response &response);

    /** Deletes the claim of a request that did not run, so that a repeat of it may run. */
    [[nodiscard]] boost::asio::awaitable<void> release(const claim_result &ownClaim);

    /** Deletes the claims of days past the retention period. */
    void deleteOldClaims();

private:
    [[nodiscard]] boost::asio::awaitable<store_reply>
    commit(const wire::etcd::txn_request &transaction);

    boost::asio::io_context &m_loop;
    const clock_source &m_clock;
    store &m_store;
    std::mt19937_64 m_random;
};

} // namespace azurelb
