#pragma once

namespace azurelb {

class metrics;

} // namespace azurelb
