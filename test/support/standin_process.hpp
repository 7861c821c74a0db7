#pragma once

#include "child_process.hpp"

#include <fault.pb.h>

#include <boost/asio/ip/tcp.hpp>

#include <string>
#include <vector>

namespace azurelb::test {

/** Process of azurelb_standin on ephemeral ports, with its control port. */
class standin_process
{
public:
    using endpoint = boost::asio::ip::tcp::endpoint;

    /** Starts it with --mode and further flags, and waits until it listens. */
    explicit standin_process(const std::string &mode, std::vector<std::string> flags = {});

    /** Address of a listener. */
    [[nodiscard]] const endpoint &address(std::size_t index = 0) const;

    [[nodiscard]] const std::vector<endpoint> &addresses() const noexcept { return m_addresses; }

    /** Replaces the faults of a listener. */
    void setFault(const wire::standin::fault &wanted, std::size_t index = 0);

    /** Clears all faults of a listener. */
    void clearFault(std::size_t index = 0) { setFault({}, index); }

    [[nodiscard]] wire::standin::status status(std::size_t index = 0);

    /** Executor: number of runs per request id. */
    [[nodiscard]] wire::standin::run_counts runs(std::size_t index = 0);

    /** Sends a control request, a POST if body is given. Returns the body; throws on an error. */
    std::string control(const std::string &path, const std::string &body = {});

    [[nodiscard]] child_process &process() noexcept { return m_process; }

private:
    child_process m_process;
    std::vector<endpoint> m_addresses;
    endpoint m_control;
};

} // namespace azurelb::test
