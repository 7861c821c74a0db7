#include <azurelb/core/await_callback.hpp>
#include <azurelb/core/clock_source.hpp>
#include <azurelb/core/digest.hpp>
#include <azurelb/request/caller_request.hpp>
#include <azurelb/request/claim_registry.hpp>
#include <azurelb/store/store.hpp>
#include <azurelb/store/transaction.hpp>

#include <array>

namespace azurelb {

namespace asio = boost::asio;
namespace etcd = wire::etcd;

namespace {

using days = std::chrono::sys_days;

constexpr std::chrono::milliseconds storeTimeout{2000};
constexpr std::string_view claimsPrefix{"/azurelb/claim/"};

std::string dayPrefix(days day)
{
    return std::string{claimsPrefix} + std::to_string(day.time_since_epoch().count()) + "/";
}

std::string claimKey(days day, const caller_request &request)
{
    return dayPrefix(day) + toHex(digestOf({request.team.value(), request.idempotencyKey}));
}

days today(const clock_source &clock)
{
    return std::chrono::floor<std::chrono::days>(clock.wallNow());
}

// Another daemon's clock may already show the next day, or still the previous one.
std::array<days, 3> searchedDays(days day)
{
    return {day, day - std::chrono::days{1}, day + std::chrono::days{1}};
}

std::string digestOfRequest(const caller_request &request)
{
    const auto method = request.message.method_string();
    const auto target = request.message.target();
    return digestOf({request.queue.value(), std::string_view{method.data(), method.size()},
                     std::string_view{target.data(), target.size()}, request.message.body()});
}

etcd::txn_request claimTransaction(const caller_request &request, days day,
                                   const std::string &value)
{
    etcd::txn_request transaction;
    for (const days each : searchedDays(day)) {
        requireAbsent(transaction, claimKey(each, request));
        readOnFailure(transaction, claimKey(each, request));
    }
    putOnSuccess(transaction, claimKey(day, request), value);
    return transaction;
}

const etcd::key_value *firstFound(const etcd::txn_response &response)
{
    for (const etcd::response_op &each : response.responses()) {
        if (each.response_range().kvs_size() > 0)
            return &each.response_range().kvs(0);
    }
    return nullptr;
}

claim_state claimStateOf(const wire::claim &found, const wire::claim &ownClaim)
{
    if (found.owner() == ownClaim.owner())
        return claim_state::claimed;
    if (found.request_digest() != ownClaim.request_digest())
        return claim_state::mismatch;
    return found.answered() ? claim_state::answered : claim_state::in_flight;
}

claim_result claimResultOf(const store_reply &reply, const claim_result &ownClaim)
{
    if (reply.response.succeeded())
        return {claim_state::claimed, ownClaim.record, ownClaim.key};
    wire::claim found;
    const etcd::key_value *stored = firstFound(reply.response);
    if (!stored || !found.ParseFromString(stored->value()))
        return {claim_state::unavailable, ownClaim.record, ownClaim.key};
    return {claimStateOf(found, ownClaim.record), found, stored->key()};
}

void setResponse(wire::claim &record, const http_response &response)
{
    const auto type = response[boost::beast::http::field::content_type];
    record.set_answered(true);
    record.set_status(response.result_int());
    record.set_content_type(type.data(), type.size());
    record.set_body_omitted(response.body().size() > claim_registry::maxStoredBodyBytes);
    if (!record.body_omitted())
        record.set_body(response.body());
}

} // namespace

claim_registry::claim_registry(asio::io_context &loop, const clock_source &clock,
                               store &keyValueStore)
    : m_loop{loop}
    , m_clock{clock}
    , m_store{keyValueStore}
    , m_random{std::random_device{}()}
{ }

asio::awaitable<claim_result> claim_registry::claim(const caller_request &request)
{
    const days day = today(m_clock);
    claim_result ownClaim{claim_state::unavailable, {}, claimKey(day, request)};
    ownClaim.record.set_owner(m_random());
    ownClaim.record.set_request_digest(digestOfRequest(request));
    const auto transaction = claimTransaction(request, day, ownClaim.record.SerializeAsString());
    // If the store's reply to a commit was lost, the repeated transaction finds its own record.
    constexpr int maxTries = 3;
    for (int attempt = 0; attempt < maxTries && m_clock.now() < request.deadline; ++attempt) {
        const store_reply reply = co_await commit(transaction);
        if (reply.error == store_error::none)
            co_return claimResultOf(reply, ownClaim);
    }
    co_return ownClaim;
}

asio::awaitable<void> claim_registry::complete(const claim_result &ownClaim,
                                               const http_response &response)
{
    wire::claim record{ownClaim.record};
    setResponse(record, response);
    etcd::txn_request transaction;
    requireValue(transaction, ownClaim.key, ownClaim.record.SerializeAsString());
    putOnSuccess(transaction, ownClaim.key, record.SerializeAsString());
    co_await commit(transaction);
}

asio::awaitable<void> claim_registry::release(const claim_result &ownClaim)
{
    etcd::txn_request transaction;
    requireValue(transaction, ownClaim.key, ownClaim.record.SerializeAsString());
    deleteOnSuccess(transaction, ownClaim.key);
    co_await commit(transaction);
}

void claim_registry::deleteOldClaims()
{
    constexpr std::chrono::days retention{2};
    etcd::txn_request transaction;
    auto &range = *transaction.add_success()->mutable_request_delete_range();
    range.set_key(std::string{claimsPrefix});
    range.set_range_end(dayPrefix(today(m_clock) - retention));
    m_store.commit(transaction, storeTimeout, [](const store_reply &) {});
}

asio::awaitable<store_reply> claim_registry::commit(const etcd::txn_request &transaction)
{
    const auto reply = co_await awaitCallback<store_reply>(m_loop, [&](store_handler done) {
        m_store.commit(transaction, storeTimeout, std::move(done));
    });
    co_return reply.value_or(store_reply{store_error::unknown, {}});
}

} // namespace azurelb
