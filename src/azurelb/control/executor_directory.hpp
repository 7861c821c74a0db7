#pragma once

#include <azurelb/scheduling/fwd.hpp>

#include <functional>
#include <memory>

namespace azurelb {

/** Follows what the executors say of themselves. */
class executor_directory
{
public:
    /** Told on the event loop. All members must be set. */
    struct listener
    {
        std::function<void(const executor_registration &)> updated{};
        std::function<void(const executor_id &)> removed{};
        /** All entries have been told once. */
        std::function<void()> synced{};
    };

    executor_directory() = default;
    executor_directory(const executor_directory &) = delete;
    executor_directory &operator=(const executor_directory &) = delete;
    virtual ~executor_directory() = default;

    virtual void start(listener to) = 0;
};

/** Makes a directory that begins anew; an owner has one of its own. */
using executor_directory_factory = std::function<std::unique_ptr<executor_directory>()>;

} // namespace azurelb
