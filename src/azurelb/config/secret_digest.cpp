#include <azurelb/config/secret_digest.hpp>
#include <azurelb/core/digest.hpp>

namespace azurelb {

std::string secretDigest(std::string_view secret)
{
    return sha256(secret);
}

} // namespace azurelb
