#pragma once

namespace azurelb {

struct operator_setting;
struct peer_setting;
struct settings;
struct settings_error;

} // namespace azurelb
