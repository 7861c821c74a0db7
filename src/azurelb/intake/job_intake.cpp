#include <azurelb/control/store_keys.hpp>
#include <azurelb/core/await_callback.hpp>
#include <azurelb/core/boot_clock.hpp>
#include <azurelb/core/call_after.hpp>
#include <azurelb/intake/job_intake.hpp>
#include <azurelb/jobs/job_codec.hpp>
#include <azurelb/jobs/job_progress.hpp>
#include <azurelb/jobs/job_record.hpp>
#include <azurelb/keyspace/keyspace.hpp>
#include <azurelb/log/log.hpp>

#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/json.hpp>

#include <algorithm>
#include <utility>

namespace azurelb {

namespace asio = boost::asio;
using std::chrono::milliseconds;

namespace {

/** Delay between attempts to reach the store. */
constexpr milliseconds retryDelay{70};
/** While the store refuses, an operation fails after this time, a fifth of the usual deadline, so
    that the caller can try another daemon. */
constexpr milliseconds maxRefusalRetryTime{600};
/** Consecutive failed reads after which the store counts as unavailable. While the store rejects
    this VM, callers use another daemon, the first of which may be rejected as well. */
constexpr unsigned unavailableAfterFailures{2};
/** Part of the deadline reserved for the transmission of the answer to the caller. */
constexpr milliseconds answerMargin{150};
/** Rejections and cancellations are kept for as long as an earlier submission may be held up. One
    lease serves all entries of half its term, so that each lasts for a minute at least. */
constexpr milliseconds rejectionLeaseTerm{120'000};

/** Returns the key after a conflict; null if it does not exist. */
const keyspace_item *findItem(const keyspace_commit &conflict, const std::string &key)
{
    const auto found = std::find_if(conflict.current.begin(), conflict.current.end(),
                                    [&key](const keyspace_item &each) { return each.key == key; });
    return found == conflict.current.end() || found->removed || found->revision == 0 ? nullptr
                                                                                     : &*found;
}

std::string encode(const submission_barrier &barrier)
{
    boost::json::object out{{"first_ms", barrier.firstSubmittedAt.count()}};
    if (barrier.cancelled)
        out["cancelled"] = true;
    return boost::json::serialize(out);
}

/** Decodes a barrier; of a damaged one, the first submission counts as made now. */
submission_barrier decodeBarrier(const keyspace_item &item)
{
    boost::system::error_code failure;
    const boost::json::value value = boost::json::parse(item.value, failure);
    const boost::json::object *const in = failure ? nullptr : value.if_object();
    const boost::json::value *const time = in ? in->if_contains("first_ms") : nullptr;
    if (!time || !time->is_int64()) {
        logEvent(event::stored_value_damaged, {{"key", item.key}});
        return {unixNow(), false};
    }
    const boost::json::value *const cancelled = in->if_contains("cancelled");
    return {milliseconds{time->get_int64()},
            cancelled && cancelled->is_bool() && cancelled->get_bool()};
}

boot_time latestAnswerTime(boot_time from, milliseconds deadline)
{
    return from + std::max(deadline - answerMargin, milliseconds{0});
}

} // namespace

job_intake::job_intake(asio::io_context &loop, keyspace &with)
    : m_loop{loop}
    , m_keyspace{with}
    , m_probeTimer{loop}
{ }

asio::awaitable<void> job_intake::waitBeforeRetry()
{
    asio::steady_timer timer{m_loop, retryDelay};
    co_await timer.async_wait(asio::use_awaitable);
}

/**
 * Handles store outages of some seconds during which all callers keep sending requests: operations
 * that cannot be stored are refused at once instead of waiting, and periodic reads detect when the
 * store is back. A write without an answer is no sign of an outage, as single answers may be lost.
 */
void job_intake::probe()
{
    if (std::exchange(m_probing, true))
        return;
    m_keyspace.get(
        std::string{store_keys::owner}, [this, alive = std::weak_ptr<bool>{m_alive}](auto &&read) {
            if (alive.expired())
                return;
            m_probing = false;
            const bool answers =
                read.error == keyspace_error::none || read.error == keyspace_error::missing;
            const bool wasUnavailable = isStoreUnavailable();
            m_failedProbes = answers ? 0 : m_failedProbes + 1;
            if (wasUnavailable != isStoreUnavailable())
                logEvent(wasUnavailable ? event::intake_resumed : event::intake_suspended,
                         {{"failed_reads", m_failedProbes}});
            if (!answers)
                callAfter(m_probeTimer, retryDelay, m_alive, [this] { probe(); });
        });
}

bool job_intake::isStoreUnavailable() const noexcept
{
    return m_failedProbes >= unavailableAfterFailures;
}

asio::awaitable<keyspace_commit> job_intake::commit(const keyspace_write &write)
{
    auto outcome = co_await awaitCallback<keyspace_commit>(
        m_loop, [this, &write](auto done) { m_keyspace.commit(write, std::move(done)); });
    co_return outcome ? std::move(*outcome) : keyspace_commit{keyspace_error::unknown, 0, {}};
}

asio::awaitable<keyspace_range> job_intake::get(std::string key, milliseconds deadline)
{
    const boot_time begun = boot_clock::now();
    const boot_time latest =
        std::min(latestAnswerTime(begun, deadline), begun + maxRefusalRetryTime);
    while (true) {
        if (isStoreUnavailable())
            co_return keyspace_range{keyspace_error::refused, {}, false, 0};
        auto answer = co_await awaitCallback<keyspace_range>(
            m_loop, [this, &key](auto done) { m_keyspace.get(key, std::move(done)); });
        keyspace_range read =
            answer ? std::move(*answer) : keyspace_range{keyspace_error::unknown, {}, false, 0};
        const bool final =
            read.error == keyspace_error::none || read.error == keyspace_error::missing;
        if (!final)
            probe();
        if (final || boot_clock::now() + retryDelay >= latest)
            co_return read;
        co_await waitBeforeRetry();
    }
}

asio::awaitable<submit_result> job_intake::submit(job_record job, milliseconds deadline,
                                                  resubmission mode)
{
    const boot_time begun = boot_clock::now();
    const std::string key = store_keys::jobRecord(job.id);
    const std::string rejection = store_keys::jobRejection(job.id);
    const std::string record = encode(job);
    store_revision rejectedAt = 0;
    bool mayExist = false;
    while (true) {
        if (isStoreUnavailable() && !mayExist)
            co_return submit_result{intake_outcome::refused};
        keyspace_write write;
        write.replace({key, record, 0}, 0);
        if (rejectedAt != 0)
            write.remove(rejection, rejectedAt);
        else
            write.require(rejection, 0);
        const keyspace_commit outcome = co_await commit(write);
        const bool conflict = outcome.error == keyspace_error::conflict;
        if (outcome.error == keyspace_error::none || (conflict && findItem(outcome, key)))
            co_return submit_result{intake_outcome::done};
        if (conflict) {
            const keyspace_item *const earlier = findItem(outcome, rejection);
            const submission_barrier barrier =
                earlier ? decodeBarrier(*earlier) : submission_barrier{};
            // No earlier write of this submission can take effect any more either.
            if (barrier.cancelled)
                co_return submit_result{intake_outcome::cancelled_before};
            if (earlier && mode == resubmission::ask)
                co_return submit_result{intake_outcome::rejected_before, barrier.firstSubmittedAt};
            rejectedAt = earlier ? earlier->revision : 0;
        } else {
            probe();
            mayExist = mayExist || outcome.error != keyspace_error::refused;
        }
        // If the record may exist, only the store can tell, so retry until the deadline.
        const boot_time latest = mayExist
            ? latestAnswerTime(begun, deadline)
            : std::min(latestAnswerTime(begun, deadline), begun + maxRefusalRetryTime);
        if (boot_clock::now() + retryDelay >= latest)
            co_return submit_result{mayExist ? intake_outcome::unknown : intake_outcome::refused};
        if (!conflict)
            co_await waitBeforeRetry();
    }
}

asio::awaitable<store_lease_id> job_intake::rejectionLease()
{
    const boot_time now = boot_clock::now();
    if (m_rejectionLease == 0 || now - m_rejectionLeaseAt >= rejectionLeaseTerm / 2) {
        const auto granted = co_await awaitCallback<keyspace_lease>(m_loop, [this](auto done) {
            m_keyspace.grant(rejectionLeaseTerm, [done](keyspace_lease &&reply) { done(reply); });
        });
        const bool ok = granted && granted->error == keyspace_error::none;
        m_rejectionLease = ok ? granted->lease : 0;
        m_rejectionLeaseAt = now;
    }
    co_return m_rejectionLease;
}

asio::awaitable<intake_outcome> job_intake::reject(job_id id, milliseconds firstSubmittedAt,
                                                   milliseconds deadline)
{
    return blockSubmissions(std::move(id), {firstSubmittedAt, false}, deadline);
}

asio::awaitable<intake_outcome> job_intake::blockSubmissions(job_id id, submission_barrier with,
                                                             milliseconds deadline)
{
    const boot_time begun = boot_clock::now();
    const boot_time latest =
        std::min(latestAnswerTime(begun, deadline), begun + maxRefusalRetryTime);
    const std::string key = store_keys::jobRecord(id);
    const std::string rejection = store_keys::jobRejection(id);
    store_revision rejectedAt = 0;
    while (true) {
        if (isStoreUnavailable())
            co_return intake_outcome::refused;
        const store_lease_id lease = co_await rejectionLease();
        bool conflict = false;
        if (lease != 0) {
            // Rewritten also if it exists: that makes an earlier acceptance fail that is on its
            // way.
            const keyspace_write write = keyspace_write{}.require(key, 0).replace(
                {rejection, encode(with), lease}, rejectedAt);
            const keyspace_commit outcome = co_await commit(write);
            if (outcome.error == keyspace_error::none)
                co_return intake_outcome::done;
            conflict = outcome.error == keyspace_error::conflict;
            if (conflict && findItem(outcome, key))
                co_return intake_outcome::missing;
            const keyspace_item *const earlier = conflict ? findItem(outcome, rejection) : nullptr;
            rejectedAt = earlier ? earlier->revision : 0;
            if (earlier) {
                const submission_barrier known = decodeBarrier(*earlier);
                with.firstSubmittedAt = std::min(with.firstSubmittedAt, known.firstSubmittedAt);
                // A rejection does not lift a cancellation.
                with.cancelled = with.cancelled || known.cancelled;
            }
            if (outcome.error == keyspace_error::missing)
                m_rejectionLease = 0;
        }
        if (!conflict)
            probe();
        if (boot_clock::now() + retryDelay >= latest)
            co_return intake_outcome::unknown;
        if (!conflict)
            co_await waitBeforeRetry();
    }
}

asio::awaitable<intake_outcome> job_intake::cancel(job_id id, milliseconds deadline)
{
    const boot_time latest = latestAnswerTime(boot_clock::now(), deadline);
    const std::string record = store_keys::jobRecord(id);
    const std::string cancelKey = store_keys::jobCancel(id);
    while (true) {
        const keyspace_range read = co_await get(record, deadline);
        if (read.error == keyspace_error::missing) {
            // A submission whose write is still on its way must not create the job any more.
            const intake_outcome blocked =
                co_await blockSubmissions(id, {unixNow(), true}, deadline);
            if (blocked == intake_outcome::done)
                co_return intake_outcome::missing;
            if (blocked != intake_outcome::missing)
                co_return intake_outcome::unknown;
        }
        if (read.error == keyspace_error::none) {
            const keyspace_write write = keyspace_write{}
                                             .require(record, read.items.front().revision)
                                             .replace({cancelKey, "{}", 0}, 0);
            const keyspace_commit outcome = co_await commit(write);
            if (outcome.error == keyspace_error::none)
                co_return intake_outcome::done;
            const bool isCancelled =
                std::any_of(outcome.current.begin(), outcome.current.end(),
                            [&cancelKey](const keyspace_item &each) {
                                return each.key == cancelKey && each.revision != 0;
                            });
            if (outcome.error == keyspace_error::conflict && isCancelled)
                co_return intake_outcome::done;
        }
        if (boot_clock::now() + retryDelay >= latest)
            co_return intake_outcome::unknown;
        co_await waitBeforeRetry();
    }
}

asio::awaitable<state_result> job_intake::state(job_id id, milliseconds deadline)
{
    const keyspace_range progress = co_await get(store_keys::jobProgress(id), deadline);
    if (progress.error == keyspace_error::none) {
        const auto decoded = decodeProgress(progress.items.front().value);
        if (decoded)
            co_return state_result{intake_outcome::done, decoded->state};
        logEvent(event::stored_value_damaged, {{"key", store_keys::jobProgress(id)}});
        co_return state_result{intake_outcome::refused, job_state::pending};
    }
    if (progress.error != keyspace_error::missing)
        co_return state_result{intake_outcome::refused, job_state::pending};
    const keyspace_range record = co_await get(store_keys::jobRecord(id), deadline);
    if (record.error == keyspace_error::missing)
        co_return state_result{intake_outcome::missing, job_state::pending};
    if (record.error != keyspace_error::none)
        co_return state_result{intake_outcome::refused, job_state::pending};
    co_return state_result{intake_outcome::done, job_state::pending};
}

asio::awaitable<waiting_result> job_intake::waiting(std::string queue, milliseconds deadline)
{
    const keyspace_range read = co_await get(std::string{store_keys::waiting}, deadline);
    if (read.error == keyspace_error::missing)
        co_return waiting_result{intake_outcome::done, 0};
    if (read.error != keyspace_error::none)
        co_return waiting_result{};
    boost::system::error_code failure;
    const boost::json::value counts = boost::json::parse(read.items.front().value, failure);
    if (failure || !counts.is_object()) {
        logEvent(event::stored_value_damaged, {{"key", store_keys::waiting}});
        co_return waiting_result{};
    }
    const boost::json::value *const count = counts.get_object().if_contains(queue);
    if (count && !count->is_uint64() && !count->is_int64()) {
        logEvent(event::stored_value_damaged, {{"key", store_keys::waiting}});
        co_return waiting_result{};
    }
    co_return waiting_result{intake_outcome::done,
                             count ? count->to_number<std::size_t>(failure) : std::size_t{0}};
}

} // namespace azurelb
