#pragma once

namespace azurelb {

struct http_limits;
struct problem;
class http_server;
class http_session;
enum class run_state;

} // namespace azurelb
