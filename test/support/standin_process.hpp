#pragma once

#include "child_process.hpp"

#include <fault.pb.h>

#include <boost/asio/ip/tcp.hpp>

#include <string>
#include <vector>

namespace azurelb::test {

/** A stand-in that runs as a process on ephemeral ports, with its control port. */
class standin_process
{
public:
    using endpoint = boost::asio::ip::tcp::endpoint;

    /** Starts it in that mode, with more flags if any, and waits until it listens. */
    explicit standin_process(const std::string &mode, std::vector<std::string> flags = {});

    /** The address of the one listener of that index. */
    [[nodiscard]] const endpoint &address(std::size_t index = 0) const;

    [[nodiscard]] const std::vector<endpoint> &addresses() const noexcept { return m_addresses; }

    /** Replaces the faults of the listener of that index. */
    void setFault(const wire::standin::fault &wanted, std::size_t index = 0);

    /** Ends all faults of the listener of that index. */
    void clearFault(std::size_t index = 0) { setFault({}, index); }

    [[nodiscard]] wire::standin::status status(std::size_t index = 0);

    /** Executor: how often each request id ran. */
    [[nodiscard]] wire::standin::run_counts runs(std::size_t index = 0);

    /** The body of the answer to a request on the control port; throws if it is an error. */
    std::string control(const std::string &path, const std::string &body = {});

    [[nodiscard]] child_process &process() noexcept { return m_process; }

private:
    child_process m_process;
    std::vector<endpoint> m_addresses;
    endpoint m_control;
};

} // namespace azurelb::test
