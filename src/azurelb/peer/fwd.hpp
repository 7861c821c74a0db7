#pragma once

#include <functional>

namespace azurelb {

namespace wire {
class envelope;
} // namespace wire

class peer_transport;
class nng_transport;
class transport_error;
struct nng_options;
struct peer_address;
struct transport_counters;
class transport_metrics;

using envelope_handler = std::function<void(const wire::envelope &)>;

namespace internal {

class nng_handle;
class nng_inbox;

} // namespace internal

} // namespace azurelb
