#include <azurelb/http/socket_options.hpp>

#include <chrono>

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

namespace azurelb {

namespace {

constexpr std::chrono::seconds keepaliveIdle{5};
constexpr std::chrono::seconds keepaliveInterval{2};
constexpr int keepaliveProbes{3};
constexpr std::chrono::milliseconds userTimeout{10'000};

void setOption(int socket, int level, int option, int value) noexcept
{
    (void)::setsockopt(socket, level, option, &value, sizeof value);
}

} // namespace

void setConnectionOptions(boost::asio::ip::tcp::socket &socket)
{
    const int native = socket.native_handle();
    setOption(native, IPPROTO_TCP, TCP_NODELAY, 1);
    setOption(native, SOL_SOCKET, SO_KEEPALIVE, 1);
    setOption(native, IPPROTO_TCP, TCP_KEEPIDLE, static_cast<int>(keepaliveIdle.count()));
    setOption(native, IPPROTO_TCP, TCP_KEEPINTVL, static_cast<int>(keepaliveInterval.count()));
    setOption(native, IPPROTO_TCP, TCP_KEEPCNT, keepaliveProbes);
    setOption(native, IPPROTO_TCP, TCP_USER_TIMEOUT, static_cast<int>(userTimeout.count()));
}

bool isIdleConnectionAlive(boost::asio::ip::tcp::socket &socket) noexcept
{
    char byte = 0;
    const auto result = ::recv(socket.native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
    return result < 0 && (errno == EAGAIN || errno == EWOULDBLOCK);
}

} // namespace azurelb
