#include <azurelb/core/digest.hpp>
#include <azurelb/operations/operator_directory.hpp>

#include <openssl/crypto.h>

namespace azurelb {

operator_directory::operator_directory(const std::vector<operator_setting> &operators)
{
    for (const operator_setting &each : operators)
        m_operators.push_back({each.name, digestOf({each.token})});
}

std::string_view operator_directory::find(std::string_view token) const
{
    const std::string digest = digestOf({token});
    std::string_view found;
    for (const operator_entry &each : m_operators) {
        if (CRYPTO_memcmp(each.digest.data(), digest.data(), digest.size()) == 0)
            found = each.name;
    }
    return found;
}

} // namespace azurelb
