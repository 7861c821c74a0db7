#pragma once

#include <stdexcept>

namespace azurelb {

/** The transport cannot operate, for example because its address is in use. */
class transport_error : public std::runtime_error
{
public:
    using std::runtime_error::runtime_error;
};

} // namespace azurelb
