#include <azurelb/config/secret_digest.hpp>

#include <openssl/evp.h>

#include <array>
#include <new>

namespace azurelb {

std::string secretDigest(std::string_view secret)
{
    std::array<unsigned char, EVP_MAX_MD_SIZE> bytes{};
    unsigned size = 0;
    const int done =
        EVP_Digest(secret.data(), secret.size(), bytes.data(), &size, EVP_sha256(), nullptr);
    if (done != 1)
        throw std::bad_alloc{};
    return std::string{bytes.begin(), bytes.begin() + size};
}

} // namespace azurelb
