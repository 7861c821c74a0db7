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
 * Idempotency keys in the store. A claim is made before the request is sent, so that no other
 * daemon sends it too; the answer is added afterwards. Claims are kept at least 24 hours,
 * under one prefix for each day, and old days are deleted as a whole.
 */
class claim_registry
{
public:
    /** Answers with larger bodies are not kept; a repeat is told that the request ran. */
    static constexpr std::size_t maxStoredBodyBytes = 64 * 1024;

    claim_registry(boost::asio::io_context &loop, const clock_source &clock, store &keyValueStore);
    claim_registry(const claim_registry &) = delete;
    claim_registry &operator=(const claim_registry &) = delete;

    /** Claims the request's key. A lost answer of the store is settled by reading back. */
    [[nodiscard]] boost::asio::awaitable<claim_result> claim(const caller_request &request);

    /** Adds the answer to a claim made by this registry. */
    [[nodiscard]] boost::asio::awaitable<void> complete(const claim_result &ownClaim,
                                                        const http_response &response);

    /** Gives up a claim whose request did not run, so that a repeat may run. */
    [[nodiscard]] boost::asio::awaitable<void> release(const claim_result &ownClaim);

    /** Deletes the claims of days that nobody asks for any more. */
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
