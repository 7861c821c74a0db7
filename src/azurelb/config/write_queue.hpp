#pragma once

#include <azurelb/config/confirmation_tracker.hpp>
#include <azurelb/config/store_write.hpp>
#include <azurelb/store/fwd.hpp>

#include <functional>
#include <list>
#include <memory>

namespace azurelb {

/** Interface of the daemon that a write_queue uses. */
class write_environment
{
public:
    write_environment() = default;
    write_environment(const write_environment &) = delete;
    write_environment &operator=(const write_environment &) = delete;
    virtual ~write_environment() = default;

    [[nodiscard]] virtual reply_time now() const noexcept = 0;

    /**
     * Sends the next request of a write. The handler gets the error refused for a response with
     * outdated data.
     */
    virtual void call(const store_write &write, store_handler done) = 0;

    /** Called when a write is committed; applies it and notifies the peers. */
    virtual void onCommitted(const store_write &write) = 0;

    /** Number of fresh members, this one included. */
    [[nodiscard]] virtual std::size_t countFreshMembers() const = 0;
};

/**
 * Runs writes of the documents concurrently and reports each as done once it is accepted, that is,
 * committed and held by a majority of the daemons.
 */
class write_queue
{
    struct queued_write
    {
        std::unique_ptr<store_write> write;
        change_handler done;
        bool inFlight{false};
        /** Time at which the commit became known. */
        time_point committedAt{};
    };

    using queued_writes = std::list<std::shared_ptr<queued_write>>;

public:
    write_queue(const replica_options &options, write_environment &environment,
                const confirmation_tracker &confirmed);

    /**
     * Starts the write. The handler is called exactly once, unless the queue is destroyed first.
     */
    void enqueue(std::unique_ptr<store_write> write, change_handler done);

    /** Sends due calls and reports finished writes. */
    void advance();

    [[nodiscard]] std::size_t size() const noexcept { return m_writes.size(); }

private:
    void send(const std::shared_ptr<queued_write> &each);
    void onReply(queued_write &each, const store_reply &reply);
    void sendDueCalls();
    [[nodiscard]] bool isDone(const queued_write &each) const;
    [[nodiscard]] change_outcome outcomeOf(const queued_write &each) const;

    replica_options m_options;
    write_environment &m_environment;
    const confirmation_tracker &m_confirmation;
    queued_writes m_writes{};
};

} // namespace azurelb
