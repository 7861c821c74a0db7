#pragma once

namespace azurelb {

class operator_api;
class operator_directory;

} // namespace azurelb
