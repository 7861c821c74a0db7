#pragma once

#include <stdexcept>

namespace azurelb {

/** The daemon is put together wrongly: a name stands twice or a service is missing. */
class kernel_error : public std::logic_error
{
public:
    using std::logic_error::logic_error;
};

} // namespace azurelb
