#pragma once

#include <functional>

namespace azurelb {

namespace wire {
class envelope;
} // namespace wire

class peer_transport;
class nng_transport;

using envelope_handler = std::function<void(const wire::envelope &)>;

} // namespace azurelb
