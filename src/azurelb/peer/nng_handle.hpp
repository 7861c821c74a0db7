#pragma once

#include <nng/nng.h>

#include <memory>

namespace azurelb::internal {

/** Owns one nng socket. */
class nng_handle
{
public:
    explicit nng_handle(nng_socket socket) noexcept
        : m_socket{socket}
    { }

    nng_handle(const nng_handle &) = delete;
    nng_handle &operator=(const nng_handle &) = delete;

    ~nng_handle() { (void)nng_close(m_socket); }

    [[nodiscard]] nng_socket get() const noexcept { return m_socket; }

private:
    nng_socket m_socket;
};

struct nng_msg_deleter
{
    void operator()(nng_msg *message) const noexcept { nng_msg_free(message); }
};

/** Owns one nng message. */
using nng_msg_ptr = std::unique_ptr<nng_msg, nng_msg_deleter>;

} // namespace azurelb::internal
