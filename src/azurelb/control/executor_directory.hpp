#pragma once

#include <azurelb/keyspace/read_state.hpp>
#include <azurelb/scheduling/fwd.hpp>

#include <functional>
#include <memory>

namespace azurelb {

/** Source of executor registrations: reports additions, changes and removals. */
class executor_directory
{
public:
    /** Callbacks, run on the event loop. All members must be set. */
    struct listener
    {
        /** An executor has registered or changed its registration. */
        std::function<void(const executor_registration &)> updated{};
        std::function<void(const executor_id &)> removed{};
        /** Called once, after all existing entries have been reported. */
        std::function<void()> synced{};
    };

    executor_directory() = default;
    executor_directory(const executor_directory &) = delete;
    executor_directory &operator=(const executor_directory &) = delete;
    virtual ~executor_directory() = default;

    virtual void start(listener to) = 0;

    /** Returns the age of the registrations. */
    [[nodiscard]] virtual read_state state() const = 0;
};

/** Creates a directory that reports all entries from the start; each owner creates its own. */
using executor_directory_factory = std::function<std::unique_ptr<executor_directory>()>;

} // namespace azurelb
