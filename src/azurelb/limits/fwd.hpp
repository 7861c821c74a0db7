#pragma once

namespace azurelb {

class limit_service;

} // namespace azurelb
