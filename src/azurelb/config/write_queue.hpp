#pragma once

#include <azurelb/config/confirmation.hpp>
#include <azurelb/config/store_write.hpp>
#include <azurelb/store/fwd.hpp>

#include <functional>
#include <list>
#include <memory>

namespace azurelb {

/** What the queue of writes needs of the daemon around it. */
class write_environment
{
public:
    write_environment() = default;
    write_environment(const write_environment &) = delete;
    write_environment &operator=(const write_environment &) = delete;
    virtual ~write_environment() = default;

    [[nodiscard]] virtual reply_time now() const noexcept = 0;

    /** Sends the call of a write. The handler gets refused for an answer that is old data. */
    virtual void call(const store_write &write, store_handler done) = 0;

    /** The write is committed; the peers are to be told. */
    virtual void onCommitted(const store_write &write) = 0;

    /** Number of fresh members, this one included. */
    [[nodiscard]] virtual std::size_t countFresh() const = 0;
};

/**
 * Runs writes of the documents side by side and reports each as done once it is accepted: committed
 * and held by a majority of the daemons.
 */
class write_queue
{
    struct task
    {
        std::unique_ptr<store_write> write;
        change_handler done;
        bool inFlight{false};
        /** When the commit became known. */
        time_point committedAt{};
    };

    using tasks = std::list<std::shared_ptr<task>>;

public:
    write_queue(const replica_options &options, write_environment &environment,
                const confirmation &confirmed);

    /** Runs the write. The handler runs exactly once, unless the queue is destroyed before. */
    void insert(std::unique_ptr<store_write> write, change_handler done);

    /** Makes the calls that are due and reports what is done. */
    void advance();

    [[nodiscard]] std::size_t size() const noexcept { return m_tasks.size(); }

private:
    void send(const std::shared_ptr<task> &each);
    void onReply(task &each, const store_reply &reply);
    void makeCalls();
    [[nodiscard]] bool isDone(const task &each) const;
    [[nodiscard]] change_outcome outcomeOf(const task &each) const;

    replica_options m_options;
    write_environment &m_environment;
    const confirmation &m_confirmation;
    tasks m_tasks{};
};

} // namespace azurelb
