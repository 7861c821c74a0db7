#pragma once

#include <stdexcept>

namespace azurelb {

/** The transport cannot work at all, as when its address is taken. */
class transport_error : public std::runtime_error
{
public:
    using std::runtime_error::runtime_error;
};

} // namespace azurelb
