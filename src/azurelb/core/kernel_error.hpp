#pragma once

#include <stdexcept>

namespace azurelb {

/**
 * Invalid composition of the daemon: a service name is registered twice, or a service is registered
 * after the start, is missing or has another type than requested.
 */
class kernel_error : public std::logic_error
{
public:
    using std::logic_error::logic_error;
};

} // namespace azurelb
