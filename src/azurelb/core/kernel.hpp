#pragma once

#include <azurelb/core/fwd.hpp>
#include <azurelb/core/kernel_error.hpp>
#include <azurelb/core/service.hpp>

#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace azurelb {

/** Owns the services of one process, finds them by name, and starts and stops them. */
class kernel
{
public:
    using value_type = std::unique_ptr<service>;
    using size_type = std::size_t;

    kernel() = default;
    kernel(const kernel &) = delete;
    kernel &operator=(const kernel &) = delete;
    ~kernel();

    /** Registers a service. Throws kernel_error if the name is taken or start() has been called. */
    template <typename Service, typename... Args>
    Service &emplace(Args &&...args)
    {
        auto owned = std::make_unique<Service>(std::forward<Args>(args)...);
        Service &added = *owned;
        insert(std::move(owned));
        return added;
    }

    /** The service of that name. Throws kernel_error if there is none or it has another type. */
    template <typename Interface>
    [[nodiscard]] Interface &find(std::string_view name) const
    {
        auto *found = dynamic_cast<Interface *>(&findService(name));
        if (!found)
            throw kernel_error("service has another type: " + std::string{name});
        return *found;
    }

    [[nodiscard]] size_type size() const noexcept { return m_services.size(); }

    /**
     * Starts all services in the order of registration. If one throws, those already started are
     * stopped and the exception is rethrown.
     */
    void start();

    /** Stops the started services in reverse order. */
    void stop() noexcept;

private:
    void insert(value_type added);
    [[nodiscard]] service &findService(std::string_view name) const;

    std::vector<value_type> m_services;
    size_type m_started{0};
};

} // namespace azurelb
