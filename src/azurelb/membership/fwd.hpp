#pragma once

namespace azurelb {

struct member;
class membership;

} // namespace azurelb
