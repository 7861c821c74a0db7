#include <azurelb/core/digest.hpp>

#include <openssl/evp.h>

#include <cstdint>
#include <memory>
#include <new>

namespace azurelb {

namespace {

using context_ptr = std::unique_ptr<EVP_MD_CTX, decltype(&EVP_MD_CTX_free)>;

void update(EVP_MD_CTX *context, std::string_view part)
{
    const std::uint64_t length = part.size();
    EVP_DigestUpdate(context, &length, sizeof length);
    EVP_DigestUpdate(context, part.data(), part.size());
}

} // namespace

std::string digestOf(std::initializer_list<std::string_view> parts)
{
    const context_ptr context{EVP_MD_CTX_new(), &EVP_MD_CTX_free};
    if (!context || EVP_DigestInit_ex(context.get(), EVP_sha256(), nullptr) != 1)
        throw std::bad_alloc{};
    for (const std::string_view part : parts)
        update(context.get(), part);

    unsigned char bytes[EVP_MAX_MD_SIZE];
    unsigned length = 0;
    EVP_DigestFinal_ex(context.get(), bytes, &length);
    return {reinterpret_cast<const char *>(bytes), length};
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
