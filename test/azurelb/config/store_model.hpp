#pragma once

#include "virtual_time.hpp"

#include <azurelb/store/store.hpp>
#include <azurelb/store/store_reply.hpp>

#include <algorithm>
#include <map>
#include <random>

namespace azurelb {

/** Fault mode of the simulated store. */
enum class store_mode { up, refusing, silent, slow, losing, old };

/** In-memory model of the keys and revisions of the store, without a network. */
class store_model
{
    struct snapshot
    {
        std::int64_t at;
        std::map<std::string, wire::etcd::key_value> documents;
    };

public:
    using pairs = std::map<std::string, wire::etcd::key_value>;

    [[nodiscard]] const pairs &contents() const noexcept { return m_pairs; }

    [[nodiscard]] wire::etcd::txn_response execute(const wire::etcd::txn_request &request)
    {
        wire::etcd::txn_response response;
        response.set_succeeded(std::all_of(request.compare().begin(), request.compare().end(),
                                           [this](const auto &each) { return holds(each); }));
        const auto &operations = response.succeeded() ? request.success() : request.failure();
        const bool writes = std::any_of(operations.begin(), operations.end(),
                                        [](const auto &each) { return !each.has_request_range(); });
        m_revision += writes ? 1 : 0;
        for (const auto &each : operations)
            run(each, *response.add_responses());
        response.mutable_header()->set_revision(m_revision);
        if (writes)
            remember();
        return response;
    }

    /** Reads as of the newest revision below the one given; like execute() if there is none. */
    [[nodiscard]] wire::etcd::txn_response readBelow(const wire::etcd::txn_request &request,
                                                     std::int64_t below)
    {
        const auto found = std::find_if(m_snapshots.rbegin(), m_snapshots.rend(),
                                        [below](const snapshot &each) { return each.at < below; });
        if (found == m_snapshots.rend())
            return execute(request);
        store_model past;
        past.m_revision = found->at;
        past.m_pairs = found->documents;
        return past.execute(request);
    }

private:
    [[nodiscard]] bool holds(const wire::etcd::compare &compare) const
    {
        const auto found = m_pairs.find(compare.key());
        const std::int64_t at = found == m_pairs.end() ? 0 : found->second.mod_revision();
        return at == compare.mod_revision();
    }

    void run(const wire::etcd::request_op &operation, wire::etcd::response_op &result)
    {
        if (operation.has_request_range())
            range(operation.request_range(), *result.mutable_response_range());
        else if (operation.has_request_put())
            put(operation.request_put());
        else
            erase(operation.request_delete_range());
    }

    void range(const wire::etcd::range_request &request, wire::etcd::range_response &response)
    {
        const auto first = m_pairs.lower_bound(request.key());
        const auto last = request.range_end().empty() ? m_pairs.upper_bound(request.key())
                                                      : m_pairs.lower_bound(request.range_end());
        std::vector<wire::etcd::key_value> found;
        for (auto each = first; each != last; ++each) {
            if (each->second.mod_revision() >= request.min_mod_revision())
                found.push_back(each->second);
        }
        if (request.order() == wire::etcd::range_request::DESCEND)
            std::reverse(found.begin(), found.end());
        if (request.limit() > 0 && found.size() > static_cast<std::size_t>(request.limit()))
            found.resize(static_cast<std::size_t>(request.limit()));
        for (wire::etcd::key_value &each : found) {
            if (request.keys_only())
                each.clear_value();
            *response.add_kvs() = std::move(each);
        }
    }

    void put(const wire::etcd::put_request &request)
    {
        wire::etcd::key_value &pair = m_pairs[request.key()];
        pair.set_key(request.key());
        pair.set_value(request.value());
        pair.set_mod_revision(m_revision);
    }

    void erase(const wire::etcd::delete_range_request &request) { m_pairs.erase(request.key()); }

    void remember()
    {
        constexpr std::size_t kept{8};
        snapshot now{m_revision, {}};
        for (const char *key : {"/azurelb/config", "/azurelb/fleet"}) {
            if (const auto found = m_pairs.find(key); found != m_pairs.end())
                now.documents.insert(*found);
        }
        m_snapshots.push_back(std::move(now));
        if (m_snapshots.size() > kept)
            m_snapshots.erase(m_snapshots.begin());
    }

    pairs m_pairs{};
    std::int64_t m_revision{1};
    std::vector<snapshot> m_snapshots{};
};

/** Faults of the network and the store, shared by all daemons of a test. */
struct fault_state
{
    store_mode mode{store_mode::up};
    unsigned lostPercent{0};
    unsigned repeatedPercent{0};
    unsigned latePercent{0};
    std::minstd_rand random{1};

    [[nodiscard]] bool drawFault(unsigned percent) { return random() % 100 < percent; }

    [[nodiscard]] duration randomUpTo(duration most)
    {
        return duration{static_cast<duration::rep>(random()) % (most.count() + 1)};
    }
};

/** One daemon's connection to the simulated store. */
class model_store final : public store
{
public:
    model_store(virtual_time &time, store_model &model, fault_state &faults)
        : m_time{time}
        , m_model{model}
        , m_faults{faults}
    { }

    void start(kernel &) override { }
    void stop() noexcept override { }

    void read(const wire::etcd::txn_request &ranges, std::chrono::milliseconds timeout,
              store_handler done) override
    {
        call(ranges, timeout, std::move(done), true);
    }

    void commit(const wire::etcd::txn_request &transaction, std::chrono::milliseconds timeout,
                store_handler done) override
    {
        call(transaction, timeout, std::move(done), false);
    }

    void setReachable(bool reachable) noexcept { m_reachable = reachable; }
    [[nodiscard]] std::uint64_t calls() const noexcept { return m_calls; }

private:
    using handler_ptr = std::shared_ptr<store_handler>;

    static constexpr std::chrono::microseconds oneWay{1500};

    void call(const wire::etcd::txn_request &request, std::chrono::milliseconds timeout,
              store_handler done, bool isRead)
    {
        ++m_calls;
        const auto waiting = std::make_shared<store_handler>(std::move(done));
        if (m_faults.mode == store_mode::refusing) {
            answer(oneWay, waiting, {store_error::refused, {}});
            return;
        }
        answer(timeout, waiting, {store_error::unknown, {}});
        if (!m_reachable || m_faults.mode == store_mode::silent)
            return;
        const bool slow = m_faults.mode == store_mode::slow;
        const duration delay =
            oneWay + (slow ? m_faults.randomUpTo(std::chrono::seconds{4}) : duration{});
        m_time.after(delay, [=, this, below = m_delivered] {
            arrive(request, waiting, isRead ? below : 0);
        });
    }

    void arrive(const wire::etcd::txn_request &request, const handler_ptr &waiting, bool isRead)
    {
        const bool old = isRead && m_faults.mode == store_mode::old;
        store_reply reply{store_error::none,
                          old ? m_model.readBelow(request, m_delivered) : m_model.execute(request)};
        const bool lost = !m_reachable || m_faults.mode == store_mode::silent
            || (m_faults.mode == store_mode::losing && m_faults.drawFault(70));
        if (!lost)
            answer(oneWay, waiting, std::move(reply));
    }

    void answer(duration delay, const handler_ptr &waiting, store_reply reply)
    {
        m_time.after(delay, [this, waiting, reply = std::move(reply)] { run(waiting, reply); });
    }

    void run(const handler_ptr &waiting, const store_reply &reply)
    {
        if (m_hold && m_hold([this, waiting, reply] { run(waiting, reply); }))
            return;
        if (const store_handler done = std::exchange(*waiting, nullptr)) {
            m_delivered = std::max(m_delivered, reply.response.header().revision());
            done(reply);
        }
    }

public:
    /** Queues a response while the daemon is paused; returns false if it can be delivered now. */
    using hold_function = std::function<bool(std::function<void()>)>;

    void setHoldFunction(hold_function hold) { m_hold = std::move(hold); }

private:
    virtual_time &m_time;
    store_model &m_model;
    fault_state &m_faults;
    hold_function m_hold{};
    bool m_reachable{true};
    std::uint64_t m_calls{0};
    /** Highest revision that a response has delivered to this daemon. */
    std::int64_t m_delivered{0};
};

} // namespace azurelb
