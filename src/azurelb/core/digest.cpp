#include <azurelb/core/digest.hpp>

#include <openssl/evp.h>

#include <array>
#include <new>

namespace azurelb {

std::string sha256(std::string_view bytes)
{
    std::array<unsigned char, EVP_MAX_MD_SIZE> digest{};
    unsigned size = 0;
    const int done =
        EVP_Digest(bytes.data(), bytes.size(), digest.data(), &size, EVP_sha256(), nullptr);
    if (done != 1)
        throw std::bad_alloc{};
    return std::string{digest.begin(), digest.begin() + size};
}

std::string digestOf(std::initializer_list<std::string_view> parts)
{
    std::string joined;
    for (const std::string_view part : parts)
        joined.append(std::to_string(part.size())).append(":").append(part);
    return sha256(joined);
}

std::string toHex(std::string_view bytes)
{
    constexpr std::string_view digits{"0123456789abcdef"};
    std::string text;
    text.reserve(2 * bytes.size());
    for (const char byte : bytes) {
        const auto value = static_cast<unsigned char>(byte);
        text += digits[value >> 4U];
        text += digits[value & 0xfU];
    }
    return text;
}

} // namespace azurelb
