#pragma once

#include "store_model.hpp"

#include <azurelb/config/change_outcome.hpp>
#include <azurelb/config/config_view.hpp>
#include <azurelb/config/fleet_view.hpp>
#include <azurelb/config/replicated_documents.hpp>
#include <azurelb/core/kernel.hpp>
#include <azurelb/membership/heartbeat_membership.hpp>
#include <azurelb/metrics/metrics.hpp>
#include <azurelb/peer/peer_transport.hpp>
#include <azurelb/wire/peer.pb.h>

#include <boost/asio/io_context.hpp>
#include <boost/log/core.hpp>

#include <set>

namespace azurelb {

class cluster_model;

/** Sends envelopes through the simulated network. */
class model_transport final : public peer_transport
{
public:
    model_transport(cluster_model &cluster, std::size_t slot, incarnation id);

    void start(kernel &) override { }
    void stop() noexcept override { }
    [[nodiscard]] const vm_id &self() const noexcept override { return m_self; }
    [[nodiscard]] incarnation selfIncarnation() const noexcept override { return m_id; }
    void send(const vm_id &to, std::string_view peerService,
              const google::protobuf::MessageLite &message) override;

    void subscribe(std::string_view localService, envelope_handler handler) override
    {
        m_handlers[std::string{localService}] = std::move(handler);
    }

    void deliver(const wire::envelope &envelope)
    {
        if (const auto found = m_handlers.find(envelope.service()); found != m_handlers.end())
            found->second(envelope);
    }

    [[nodiscard]] std::uint64_t sentBytes() const noexcept { return m_sentBytes; }

private:
    cluster_model &m_cluster;
    std::size_t m_slot;
    vm_id m_self;
    incarnation m_id;
    std::map<std::string, envelope_handler> m_handlers{};
    std::uint64_t m_sentBytes{0};
};

/** One process with its services, under virtual time. */
struct model_daemon
{
    model_daemon(cluster_model &cluster, std::size_t slot, incarnation id);

    /** Runs an event of this process now, or once it is resumed; never if it was killed. */
    void handle(std::function<void()> event)
    {
        if (paused)
            held.push_back(std::move(event));
        else if (!dead)
            event();
    }

    /**
     * Returns true if the event must not run now: it is queued while the process is paused, and
     * dropped if the process was killed.
     */
    bool hold(std::function<void()> event)
    {
        if (paused)
            held.push_back(std::move(event));
        return paused || dead;
    }

    kernel services{};
    model_store *backend{};
    model_transport *transport{};
    heartbeat_membership *members{};
    replicated_documents *documents{};
    bool paused{false};
    bool dead{false};
    std::vector<std::function<void()>> held{};
    document_revisions seen{};
};

/** Several daemons, their network and their store, under one virtual clock. */
class cluster_model
{
public:
    static constexpr std::chrono::microseconds oneWay{1500};

    /**
     * The parameter expected is the number of daemons in the settings; it may be less than the
     * size.
     */
    cluster_model(std::size_t size, std::size_t expected, std::chrono::milliseconds tickPeriod)
        : m_size{size}
        , m_tickPeriod{tickPeriod}
        , m_cut(size, std::vector<bool>(size, false))
        , m_daemons(size)
    {
        boost::log::core::get()->set_logging_enabled(false);
        options.expectedMembers = static_cast<std::uint32_t>(expected);
        for (std::size_t slot = 0; slot < size; ++slot)
            start(slot);
    }

    [[nodiscard]] std::size_t size() const noexcept { return m_size; }
    [[nodiscard]] model_daemon &daemon(std::size_t slot) { return *m_daemons[slot]; }
    [[nodiscard]] static vm_id nameOf(std::size_t slot)
    {
        return vm_id{"vm-" + std::to_string(slot)};
    }

    virtual_time time{};
    store_model backend{};
    fault_state faults{};
    boost::asio::io_context context{};
    replica_options options{};

    /** Kills the process in the slot and starts another one. */
    void start(std::size_t slot)
    {
        kill(slot);
        auto made = std::make_shared<model_daemon>(*this, slot, incarnation{++m_started});
        m_daemons[slot] = made;
        m_all.push_back(made);
        std::vector<vm_id> peers;
        for (std::size_t other = 0; other < m_size; ++other)
            peers.push_back(nameOf(other));
        made->members->setPeers(peers);
        tick(made);
    }

    void kill(std::size_t slot)
    {
        if (!m_daemons[slot])
            return;
        m_daemons[slot]->dead = true;
        m_daemons[slot]->paused = false;
        m_daemons[slot]->held.clear();
    }

    /**
     * Starts a second process under the same VM name. The old one continues to send messages and to
     * reach the store, but messages to the name are delivered to the new one.
     */
    void replace(std::size_t slot)
    {
        if (!m_daemons[slot]->dead)
            m_replaced.push_back(m_daemons[slot]);
        m_daemons[slot] = nullptr;
        start(slot);
    }

    /** All processes that have not been killed. */
    [[nodiscard]] std::vector<model_daemon *> processes() const
    {
        std::vector<model_daemon *> alive;
        for (const auto *list : {&m_daemons, &m_replaced}) {
            for (const auto &each : *list) {
                if (!each->dead)
                    alive.push_back(each.get());
            }
        }
        return alive;
    }

    void resume(std::size_t slot)
    {
        model_daemon &resumed = daemon(slot);
        resumed.paused = false;
        for (const auto &event : std::exchange(resumed.held, {}))
            resumed.handle(event);
    }

    void cut(std::size_t from, std::size_t to, bool isCut) { m_cut[from][to] = isCut; }

    /** Ends all faults and restarts killed processes. */
    void heal()
    {
        faults.mode = store_mode::up;
        faults.lostPercent = faults.repeatedPercent = faults.latePercent = 0;
        m_cut.assign(m_size, std::vector<bool>(m_size, false));
        for (const auto &each : std::exchange(m_replaced, {}))
            each->dead = true;
        for (std::size_t slot = 0; slot < m_size; ++slot) {
            if (daemon(slot).dead)
                start(slot);
            daemon(slot).backend->setReachable(true);
            if (daemon(slot).paused)
                resume(slot);
        }
    }

    void send(std::size_t from, const vm_id &to, const wire::envelope &envelope)
    {
        for (std::size_t slot = 0; slot < m_size; ++slot) {
            if (nameOf(slot) == to && !m_cut[from][slot])
                transmit(slot, envelope);
        }
    }

private:
    void transmit(std::size_t to, const wire::envelope &envelope)
    {
        const int copies = faults.drawFault(faults.lostPercent) ? 0
            : faults.drawFault(faults.repeatedPercent)          ? 2
                                                                : 1;
        for (int copy = 0; copy < copies; ++copy) {
            const bool late = faults.drawFault(faults.latePercent);
            const duration delay =
                oneWay + (late ? faults.randomUpTo(std::chrono::seconds{4}) : duration{});
            time.after(delay, [this, to, envelope] {
                const auto receiver = m_daemons[to];
                receiver->handle([receiver, envelope] { receiver->transport->deliver(envelope); });
            });
        }
    }

    void tick(const std::shared_ptr<model_daemon> &each)
    {
        if (each->dead)
            return;
        if (!each->paused) {
            each->members->tick();
            each->documents->tick();
        }
        time.after(m_tickPeriod, [this, each] { tick(each); });
    }

    std::size_t m_size;
    std::chrono::milliseconds m_tickPeriod;
    std::vector<std::vector<bool>> m_cut;
    std::vector<std::shared_ptr<model_daemon>> m_daemons;
    /**
     * All processes ever started, also killed ones: their calls may still take effect in the store.
     */
    std::vector<std::shared_ptr<model_daemon>> m_all{};
    std::uint64_t m_started{0};
    std::vector<std::shared_ptr<model_daemon>> m_replaced{};
};

inline model_transport::model_transport(cluster_model &cluster, std::size_t slot, incarnation id)
    : m_cluster{cluster}
    , m_slot{slot}
    , m_self{cluster_model::nameOf(slot)}
    , m_id{id}
{ }

inline void model_transport::send(const vm_id &to, std::string_view peerService,
                                  const google::protobuf::MessageLite &message)
{
    wire::envelope envelope;
    envelope.set_from_vm(m_self.value());
    envelope.set_from_incarnation(static_cast<std::uint64_t>(m_id));
    envelope.set_service(std::string{peerService});
    envelope.set_payload(message.SerializeAsString());
    m_sentBytes += envelope.ByteSizeLong();
    m_cluster.send(m_slot, to, envelope);
}

inline model_daemon::model_daemon(cluster_model &cluster, std::size_t slot, incarnation id)
{
    services.emplace<metrics>();
    backend = &services.emplace<model_store>(cluster.time, cluster.backend, cluster.faults);
    backend->setHoldFunction(
        [this](std::function<void()> event) { return hold(std::move(event)); });
    transport = &services.emplace<model_transport>(cluster, slot, id);
    members = &services.emplace<heartbeat_membership>(cluster.context, cluster.time);
    documents =
        &services.emplace<replicated_documents>(cluster.context, cluster.time, cluster.options);
    services.start();
}

} // namespace azurelb
