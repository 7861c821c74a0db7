#include <azurelb/log/line_writer.hpp>

#include <algorithm>
#include <array>
#include <climits>

#include <poll.h>
#include <unistd.h>

namespace azurelb {

bool writeLine(int descriptor, std::string_view line) noexcept
{
    // A pipe that polls as writable takes PIPE_BUF bytes without blocking.
    pollfd state{descriptor, POLLOUT, 0};
    if (::poll(&state, 1, 0) != 1 || (state.revents & POLLOUT) == 0)
        return false;
    std::array<char, PIPE_BUF> buffer{};
    const std::size_t length = std::min(line.size(), buffer.size() - 1);
    std::copy_n(line.data(), length, buffer.data());
    buffer[length] = '\n';
    return ::write(descriptor, buffer.data(), length + 1) == static_cast<ssize_t>(length + 1);
}

} // namespace azurelb
